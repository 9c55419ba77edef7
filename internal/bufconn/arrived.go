package bufconn

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ReadAvailable reads the bytes that have already been received on a connection. It does not block
// and ignores the read deadline. It returns 0 and a nil error if no bytes are available, and io.EOF
// if the peer has closed its sending side.
func ReadAvailable(conn net.Conn, buffer []byte) (n int, err error) {
	err = WithDescriptor(conn, func(fd int) error {
		for {
			read, readErr := syscall.Read(fd, buffer)
			switch {
			case errors.Is(readErr, syscall.EINTR):
				continue
			case errors.Is(readErr, syscall.EAGAIN):
				return nil
			case readErr != nil:
				return readErr
			case read == 0:
				return io.EOF
			}
			n = read
			return nil
		}
	})
	return n, err
}

// DiscardAvailable reads and discards the bytes that have already been received on a connection, up
// to fastDiscardBytes. It returns the bytes of the last successful read, or nil if there were none.
func DiscardAvailable(conn net.Conn) (last []byte) {
	buffer := make([]byte, BufferSize)
	for range fastDiscardBytes / BufferSize {
		n, err := ReadAvailable(conn, buffer)
		if n == 0 || err != nil {
			break
		}
		last = append(last[:0], buffer[:n]...)
	}
	return last
}
