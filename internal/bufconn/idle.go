package bufconn

import (
	"errors"
	"net"
	"syscall"
	"time"

	"coralrelay/internal/mutation"
)

// Detach returns the connection without its buffers, which go back to the pool, so that the
// connection can be kept open between two exchanges. It clears the deadlines, as those of the last
// exchange would pass while the connection is idle. If input is left in the buffer, Detach closes
// the connection and returns nil, because that input would be taken for the answer to the next
// request; it does the same if the deadlines cannot be cleared.
func (c *Conn) Detach() net.Conn {
	if c.R.Buffered() > 0 {
		c.Release()
		return nil
	}
	conn := c.Conn
	if !mutation.Enabled("kept_deadline") {
		if err := conn.SetDeadline(time.Time{}); err != nil {
			c.Release()
			return nil
		}
	}
	c.releaseBuffers()
	return conn
}

// IsIdle reports whether no input has arrived on a connection returned by Detach, so that the next
// line is the answer to the next request. An end of file means that the peer has closed the
// connection and will not answer. A line is a second answer to the previous request; if it were
// taken for the answer to the next one, all later answers would be off by one.
//
// IsIdle does not block. It discards the input that it reads, so a connection that is not idle must
// be closed.
func IsIdle(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true // only in tests: the connection has no descriptor
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		idle = hasNoInput(int(fd))
		return true
	})
	return err == nil && idle
}

// hasNoInput reports whether a read from a non-blocking descriptor would have to wait.
func hasNoInput(fd int) bool {
	var buffer [1]byte
	for {
		_, err := syscall.Read(fd, buffer[:])
		if !errors.Is(err, syscall.EINTR) {
			return errors.Is(err, syscall.EAGAIN)
		}
	}
}
