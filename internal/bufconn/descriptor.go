package bufconn

import (
	"errors"
	"net"
	"syscall"
)

// ErrNoDescriptor is returned for a connection that is not a socket, such as a net.Pipe in a test.
var ErrNoDescriptor = errors.New("connection has no file descriptor")

// WithDescriptor calls use with the file descriptor of conn, which remains owned by conn. It
// returns the error of use, or an error if conn is closed or has no descriptor.
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
