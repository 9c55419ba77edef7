package upstream

import (
	"syscall"

	"coralrelay/internal/bufconn"
)

// quiet tells whether nothing has come on a kept connection since its last answer, so that
// what comes next answers what is asked next. An end tells that its next hop has closed it
// while it rested, and nobody would answer. A line is a second answer
// to the last question; taken for the next one's, all later answers would be one behind.
// It waits for nothing. What is read is lost: a connection that is not quiet is not kept.
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
		idle = err == syscall.EAGAIN || err == syscall.EINTR
		return true
	})
	return err == nil && idle
}
