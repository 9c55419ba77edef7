package discovery

import (
	"io"
	"net"
	"time"
)

// heartbeatConn limits each read after the response's header to heartbeatTimeout.
type heartbeatConn struct {
	net.Conn
	headerReceived bool
}

// Read reads with the deadline of the next heartbeat.
func (c *heartbeatConn) Read(p []byte) (int, error) {
	if c.headerReceived {
		if err := c.SetReadDeadline(time.Now().Add(heartbeatTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Read(p)
}

// messageReader reads a byte at a time, and no more than a message may have. Asked for more bytes, the
// reader of chunks would wait for the rest of a chunk while it holds a complete list.
type messageReader struct {
	body           io.Reader
	remaining      int       // bytes that the message may still have
	inMessage      bool      // the message has begun: white space is a part of it
	messageBegunAt time.Time // when its first byte came
	onFirstByte    func()    // called at the first byte of the first message, and then nil
	onHeartbeat    func()    // called at each end of a line between messages
}

// beginMessage is called before each message is read.
func (r *messageReader) beginMessage() { r.remaining, r.inMessage = maxMessageBytes, false }

// Read reads at most one byte.
func (r *messageReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.body.Read(p[:min(len(p), 1)])
	r.remaining -= n
	if n > 0 && !r.inMessage {
		r.observe(p[0])
	}
	return n, err
}

// observe takes a byte between two messages, or the first of one.
func (r *messageReader) observe(char byte) {
	switch {
	case char > ' ':
		r.inMessage, r.messageBegunAt = true, time.Now()
		if r.onFirstByte != nil {
			r.onFirstByte()
			r.onFirstByte = nil
		}
	case char == '\n':
		r.onHeartbeat()
	}
}
