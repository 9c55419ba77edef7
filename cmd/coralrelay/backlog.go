package main

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// usualAcceptBacklog is how many connections may wait to be accepted, unless the process can hold more.
const usualAcceptBacklog = 2048

// limitBacklog bounds how many connections may wait in the kernel to be accepted: the system's limit may be a queue of
// seconds, behind which an answer comes too late. A connection that finds it full is not taken, and its client's system
// tries again.
func limitBacklog(listener net.Listener, sockets int) error {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), max(usualAcceptBacklog, sockets)) })
	if controlErr != nil {
		err = controlErr
	}
	if err != nil {
		return fmt.Errorf("listen: backlog: %w", err)
	}
	return nil
}

// acceptQueue returns how many connections wait to be accepted; 0 where the system does not say.
func acceptQueue(listener net.Listener) int {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0
	}
	waiting := 0
	_ = raw.Control(func(fd uintptr) {
		// Of a listening socket the system gives the length of its queue as the unacknowledged segments.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
