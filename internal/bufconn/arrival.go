package bufconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxArrivalAge is the oldest arrival that is believed: nothing is left unread for longer.
const maxArrivalAge = 10 * time.Second

// SinceLastArrival returns how long ago the latest bytes of a TCP connection have arrived at this
// machine, whenever they were read: a connection may have waited to be accepted, and the process may
// have been held up. It is 0 where the system does not say.
func SinceLastArrival(conn net.Conn) (age time.Duration) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			age = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if age > maxArrivalAge {
		return 0
	}
	return age
}
