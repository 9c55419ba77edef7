package bufconn

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// ReadAvailable reads what has arrived on a connection, without waiting and whatever the read deadline is. It returns 0
// and no error if nothing has, and io.EOF if nothing will come any more.
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

// DiscardAvailable reads and discards what has arrived on a connection, and returns the last of it; nil if nothing was
// there.
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
