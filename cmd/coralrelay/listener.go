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

// acceptTimeout is how long an accept may wait for the client that it was called for: a process
// that holds the same socket may have taken it.
const acceptTimeout = time.Millisecond

// openClientListener opens the clients' listener, or takes the one that the platform holds.
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
	defer file.Close() // the listener has a copy of its own
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

// isListening reports whether l accepts TCP connections. A connected socket passes for a
// listener until its first Accept.
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

// inheritedListener is a listener whose socket other processes hold too. Whether an accept
// blocks is a flag that all of them share, and the platform clears it as it starts another
// process with the socket: an accept that began just then would wait in the kernel for the next
// client, Close would wait for the accept, and the sessions for Close. So accept is called only
// when a client waits, right after the flag was set.
type inheritedListener struct {
	*net.TCPListener
	pollFile *os.File        // the same socket, to wait on
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

// duplicateDescriptor returns a descriptor of l's socket that can be waited on.
func duplicateDescriptor(l *net.TCPListener) (file *os.File, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		n := 0
		if n, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0); err == nil {
			_ = unix.SetNonblock(n, true) // else the runtime could not wait on it
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

// prepareAccept reports whether a client waits, and if so sees to it that an accept does not block.
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
