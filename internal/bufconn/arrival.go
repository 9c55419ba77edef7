package bufconn

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// maxArrivalAge is the oldest arrival that is believed: nothing is left unread for longer.
const maxArrivalAge = 10 * time.Second

// SinceLastArrival returns how long ago the latest bytes of a TCP connection have arrived at this
// machine, whenever they were read: a connection may have waited to be accepted, and the process may
// have been held up. It is 0 where the system does not say.
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
