package bufconn

import (
	"errors"
	"net"
	"syscall"
)

// ErrNoDescriptor is the error for a connection that is no socket, as a test's pipe.
var ErrNoDescriptor = errors.New("the connection has no descriptor")

// WithDescriptor calls use with a connection's descriptor, which stays the connection's. The error is
// that of use, or that of a connection that is closed or has no descriptor.
func WithDescriptor(conn net.Conn, use func(fd int) error) error {
	withSyscalls, ok := conn.(syscall.Conn)
	if !ok {
		return ErrNoDescriptor
	}
	raw, err := withSyscalls.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(fd uintptr) { err = use(int(fd)) })
	return errors.Join(controlErr, err)
}
