package discovery

import (
	"net"
	"time"

	"coralrelay/internal/inputlimit"
)

// maxHeadBytes is the size of the largest status line and header that are accepted. The first bytes of the
// body count as well if they arrive together with the end of the header.
const maxHeadBytes = 16 << 10

// limitedConn limits what is read from the connection of a call: the size of the response's head, and
// then the silence between its bytes. A limit that is exceeded is reported as an *inputlimit.Error,
// silence as os.ErrDeadlineExceeded.
type limitedConn struct {
	net.Conn
	peer         string
	headReceived bool
	received     int64 // bytes of the head
	exceeded     error // the *inputlimit.Error that all further reads return
}

// Read implements net.Conn.
func (c *limitedConn) Read(p []byte) (n int, err error) {
	switch {
	case c.exceeded != nil:
		return 0, c.exceeded
	case !c.headReceived:
		return c.readHead(p)
	}
	if err := c.SetReadDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func (c *limitedConn) readHead(p []byte) (int, error) {
	remaining := maxHeadBytes - c.received
	if remaining <= 0 {
		c.exceeded = inputlimit.Exceeded(inputlimit.DiscoveryHead, c.peer, c.received, maxHeadBytes)
		return 0, c.exceeded
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), remaining)])
	c.received += int64(n)
	return n, err
}
