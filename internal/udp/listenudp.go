package udp

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes is the requested buffer size of listening and shared sockets. The kernel caps
// it at net.core.rmem_max and net.core.wmem_max.
const socketBufferBytes = 4 << 20

// listenUDP opens count sockets at one address.
func listenUDP(address netip.AddrPort, count int) (conns []*net.UDPConn, err error) {
	// The first bind is exclusive, to detect an address that is in use. A socket with SO_REUSEPORT
	// would share the address with a process of the same user that sets the option too, without
	// an error.
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if count == 1 {
		conns = append(conns, conn)
	} else {
		address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
		_ = conn.Close()
	}
	reusePort := net.ListenConfig{Control: setReusePort}
	for len(conns) < count {
		conn, err := reusePort.ListenPacket(context.Background(), "udp", address.String())
		if err != nil {
			for _, opened := range conns {
				_ = opened.Close()
			}
			return nil, err
		}
		conns = append(conns, conn.(*net.UDPConn))
	}
	for _, opened := range conns {
		_ = opened.SetReadBuffer(socketBufferBytes)
	}
	return conns, nil
}

func setReusePort(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	controlErr := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if controlErr != nil {
		return controlErr
	}
	return optionErr
}
