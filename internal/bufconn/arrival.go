package bufconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// maxArrivalAge is the largest plausible age of the last received bytes, as no input stays unread
// for longer. SinceLastArrival returns 0 for a larger one.
const maxArrivalAge = 10 * time.Second

// SinceLastArrival returns how long ago the kernel received the latest bytes of a TCP connection,
// regardless of when they are read: the connection may have waited in the accept queue, or this
// process may have been paused. It returns 0 if the kernel does not report the time.
func SinceLastArrival(conn net.Conn) time.Duration {
	var age time.Duration
	err := WithDescriptor(conn, func(fd int) error {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
		return err
	})
	if err != nil || age > maxArrivalAge {
		return 0
	}
	return age
}
