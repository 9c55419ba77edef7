package main

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/internal/config"
)

// acceptTimeout bounds an accept that was called because a connection is waiting: another process
// that shares the socket may have accepted that connection in the meantime.
const acceptTimeout = time.Millisecond

// openClientListener opens the clients' listener, or uses the socket that the platform passes on.
func openClientListener(cfg config.Config) (net.Listener, error) {
	if cfg.InheritedFD == 0 {
		listener, err := net.Listen("tcp", cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return listener, nil
	}
	syscall.CloseOnExec(cfg.InheritedFD)
	file := os.NewFile(uintptr(cfg.InheritedFD), "inherited")
	if file == nil {
		return nil, fmt.Errorf("BALANCER_INHERITED_FD: %d is no descriptor", cfg.InheritedFD)
	}
	defer file.Close() // net.FileListener duplicates the descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_INHERITED_FD: descriptor %d is no listening socket: %w", cfg.InheritedFD, err)
	}
	if !isListening(listener) {
		_ = listener.Close()
		return nil, fmt.Errorf("BALANCER_INHERITED_FD: descriptor %d is no listening TCP socket", cfg.InheritedFD)
	}
	return newInheritedListener(listener.(*net.TCPListener))
}

// isListening reports whether l accepts TCP connections. net.FileListener also returns a listener
// for a connected socket, whose first Accept then fails.
func isListening(l net.Listener) (listening bool) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		accepts, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
		listening = err == nil && accepts == 1
	})
	return listening
}

// inheritedListener is a listener whose socket is shared with other processes. The O_NONBLOCK flag
// is shared too, and the platform clears it when it starts another process with the socket. An
// accept that began at that moment would block in the kernel until the next client connects; Close
// would wait for that accept, and the sessions for Close. Accept therefore calls accept(2) only when
// a connection is waiting, immediately after it has set the flag.
type inheritedListener struct {
	*net.TCPListener
	pollFile *os.File        // a duplicate of the socket's descriptor, polled for connections
	pollConn syscall.RawConn // of pollFile
	closed   atomic.Bool
}

func newInheritedListener(l *net.TCPListener) (*inheritedListener, error) {
	pollFile, err := duplicateDescriptor(l)
	if err == nil {
		inherited := &inheritedListener{TCPListener: l, pollFile: pollFile}
		if inherited.pollConn, err = pollFile.SyscallConn(); err == nil {
			return inherited, nil
		}
		_ = pollFile.Close()
	}
	_ = l.Close()
	return nil, fmt.Errorf("BALANCER_INHERITED_FD: %w", err)
}

// duplicateDescriptor returns a duplicate of l's descriptor that the runtime can poll.
func duplicateDescriptor(l *net.TCPListener) (file *os.File, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		n := 0
		if n, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0); err == nil {
			_ = unix.SetNonblock(n, true) // os.NewFile makes only non-blocking descriptors pollable
			file = os.NewFile(uintptr(n), "clients")
		}
	})
	return file, errors.Join(controlErr, err)
}

// Accept implements net.Listener.
func (l *inheritedListener) Accept() (net.Conn, error) {
	for {
		switch err := l.pollConn.Read(prepareAccept); {
		case l.closed.Load():
			return nil, net.ErrClosed
		case err != nil:
			return nil, err
		}
		if err := l.SetDeadline(time.Now().Add(acceptTimeout)); err != nil {
			return nil, err
		}
		if conn, err := l.TCPListener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// prepareAccept reports whether a connection is waiting, and if so makes the socket non-blocking.
func prepareAccept(fd uintptr) bool {
	ready, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	if err == nil && ready == 0 {
		return false
	}
	_ = unix.SetNonblock(int(fd), true)
	return true
}

// Close implements net.Listener.
func (l *inheritedListener) Close() error {
	l.closed.Store(true)
	return errors.Join(l.pollFile.Close(), l.TCPListener.Close())
}
