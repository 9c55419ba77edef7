package udp

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketBufferBytes is asked for as the buffer of busy sockets; the kernel grants what
// net.core.rmem_max and wmem_max allow.
const socketBufferBytes = 4 << 20

// listenUDP opens count sockets at one address.
func listenUDP(address netip.AddrPort, count int) (conns []*net.UDPConn, err error) {
	// The first bind is exclusive. Sockets with SO_REUSEPORT share their address with any other
	// process of this user that sets it too, and nobody would learn that the address is taken.
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
