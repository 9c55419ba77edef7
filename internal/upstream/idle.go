package upstream

import (
	"errors"
	"syscall"

	"coralrelay/internal/bufconn"
)

// isIdle is whether nothing has come on a kept connection since its last answer, so that the
// next line answers the next request. An end of file means that the endpoint has closed the
// connection while it was idle, and nobody would answer. A line is a second answer to the last
// request: taken for the next one's, all later answers would be one behind.
//
// It does not block. What it reads is lost, so a connection that is not idle must be closed.
func isIdle(buffered *bufconn.Conn) bool {
	if buffered.R.Buffered() > 0 {
		return false
	}
	conn, ok := buffered.Conn.(syscall.Conn)
	if !ok {
		return true // a test's, without a descriptor
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(fd), buffer[:])
		idle = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR)
		return true
	})
	return err == nil && idle
}
