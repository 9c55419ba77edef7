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

// byteReader reads a byte at a time, and no more than a message may have. Asked for more bytes,
// the reader of chunks would wait for the rest of a chunk while it holds a complete list.
type byteReader struct {
	body        io.Reader
	remaining   int    // bytes that the message may still have
	onFirstByte func() // called at the first byte that is not white space, and then nil
}

// Read reads at most one byte.
func (r *byteReader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := r.body.Read(p[:min(len(p), 1)])
	r.remaining -= n
	if r.onFirstByte != nil && n > 0 && p[0] > ' ' {
		r.onFirstByte()
		r.onFirstByte = nil
	}
	return n, err
}
