package main

import (
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// defaultAcceptBacklog is the length of the accept queue, unless the process may hold more sockets.
const defaultAcceptBacklog = 2048

// limitBacklog bounds the listener's accept queue in the kernel. With the system's limit, connections
// could wait in the queue for seconds, and their clients would be answered too late. The kernel drops a
// connection request that finds the queue full, and the client's kernel sends it again.
func limitBacklog(listener net.Listener, sockets int) error {
	tcp, ok := listener.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	controlErr := raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), max(defaultAcceptBacklog, sockets)) })
	if controlErr != nil {
		err = controlErr
	}
	if err != nil {
		return fmt.Errorf("listen: backlog: %w", err)
	}
	return nil
}

// acceptQueue returns the length of the listener's accept queue, or 0 where the system does not report it.
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
		// For a listening socket, Linux reports the length of the accept queue in tcpi_unacked.
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			waiting = int(info.Unacked)
		}
	})
	return waiting
}
