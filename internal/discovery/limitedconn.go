package discovery

import (
	"errors"
	"net"
	"os"
	"time"

	"golang.org/x/time/rate"

	"coralrelay/internal/inputlimit"
)

// limitedConn limits what is read from the connection of a call: the size of the response's head, and
// then the rate of its bytes, the silence between them and the time that a message takes. A limit that
// is exceeded is reported as an *inputlimit.Error, silence as os.ErrDeadlineExceeded.
type limitedConn struct {
	net.Conn
	peer   string
	limits Limits

	headReceived     bool
	received         int64         // bytes of the head, then of the body
	rate             *rate.Limiter // of the bytes of the body
	messageStartedAt time.Time     // zero between two messages
	exceeded         error         // the *inputlimit.Error that all further reads return
}

func newLimitedConn(conn net.Conn, peer string, limits Limits) *limitedConn {
	return &limitedConn{Conn: conn, peer: peer, limits: limits, rate: limits.newResponseLimiter()}
}

// endHead is called when the head has been received. The limits of the body apply from then on.
func (c *limitedConn) endHead() { c.headReceived, c.received = true, 0 }

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (n int, err error) {
	switch {
	case c.exceeded != nil:
		return 0, c.exceeded
	case c.headReceived:
		return c.readBody(p)
	}
	return c.readHead(p)
}

// exceed returns the error of a limit that is exceeded.
func (c *limitedConn) exceed(limit inputlimit.Limit, received, maximum int64) error {
	c.exceeded = inputlimit.Exceeded(limit, c.peer, received, maximum)
	return c.exceeded
}

func (c *limitedConn) readHead(p []byte) (int, error) {
	remaining := maxHeadBytes - c.received
	if remaining <= 0 {
		return 0, c.exceed(inputlimit.DiscoveryHead, c.received, maxHeadBytes)
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), remaining)])
	c.received += int64(n)
	return n, err
}

func (c *limitedConn) readBody(p []byte) (int, error) {
	now := time.Now()
	deadline := now.Add(heartbeatTimeout)
	if messageDeadline := c.messageStartedAt.Add(messageTimeout); !c.messageStartedAt.IsZero() &&
		messageDeadline.Before(deadline) {
		deadline = messageDeadline
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.received += int64(n)
	switch {
	case n > 0 && !c.rate.AllowN(now, n):
		return 0, c.exceed(inputlimit.DiscoveryRate, c.received, int64(c.limits.responseBurst()))
	case errors.Is(err, os.ErrDeadlineExceeded) && c.messageTimedOut():
		return 0, c.exceed(inputlimit.DiscoveryMessageTime,
			time.Since(c.messageStartedAt).Milliseconds(), messageTimeout.Milliseconds())
	}
	return n, err
}

// recentBytes returns how many bytes of the body have arrived beyond the rate at which it may go on.
func (c *limitedConn) recentBytes() int {
	return c.limits.responseBurst() - int(c.rate.Tokens())
}

// messageTimedOut reports whether the current message has taken too long to arrive.
func (c *limitedConn) messageTimedOut() bool {
	return !c.messageStartedAt.IsZero() && time.Since(c.messageStartedAt) >= messageTimeout
}
