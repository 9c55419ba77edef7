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

// acceptWithin is how long an accept may look for the client that it was called for: a
// process that holds the same socket may have taken it.
const acceptWithin = time.Millisecond

// clientsListener opens the clients' listener, or takes the one that the platform holds.
func clientsListener(c config.Config) (net.Listener, error) {
	if c.InheritedFD == 0 {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		return l, nil
	}
	syscall.CloseOnExec(c.InheritedFD)
	file := os.NewFile(uintptr(c.InheritedFD), "inherited")
	if file == nil {
		return nil, fmt.Errorf("BALANCER_INHERITED_FD: %d is no descriptor", c.InheritedFD)
	}
	defer file.Close() // the listener has a copy of its own
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_INHERITED_FD: descriptor %d is no listening socket: %w", c.InheritedFD, err)
	}
	if !listens(l) {
		_ = l.Close()
		return nil, fmt.Errorf("BALANCER_INHERITED_FD: descriptor %d is no listening TCP socket", c.InheritedFD)
	}
	return newInherited(l.(*net.TCPListener))
}

// listens tells whether l takes TCP connections. A connected socket passes for a
// listener until its first Accept.
func listens(l net.Listener) (yes bool) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		v, err := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN)
		yes = err == nil && v == 1
	})
	return yes
}

// inherited is a listener whose socket other processes hold too. Whether an accept blocks
// is a flag that all of them share, and the platform clears it as it starts another one
// with the socket: an accept that began just then would wait in the kernel for the next
// client, and until then the listener's end would wait for it, and with that all that
// stands. So it is called for a client that is there, right after the flag was set.
type inherited struct {
	*net.TCPListener
	look   *os.File // the same socket, to wait on
	raw    syscall.RawConn
	closed atomic.Bool
}

func newInherited(l *net.TCPListener) (*inherited, error) {
	look, err := copied(l)
	if err == nil {
		in := &inherited{TCPListener: l, look: look}
		if in.raw, err = look.SyscallConn(); err == nil {
			return in, nil
		}
		_ = look.Close()
	}
	_ = l.Close()
	return nil, fmt.Errorf("BALANCER_INHERITED_FD: %w", err)
}

// copied returns a descriptor of l's that can be waited on.
func copied(l *net.TCPListener) (file *os.File, err error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	inner := raw.Control(func(fd uintptr) {
		n := 0
		if n, err = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0); err == nil {
			_ = unix.SetNonblock(n, true) // else nobody could wait on it
			file = os.NewFile(uintptr(n), "clients")
		}
	})
	return file, errors.Join(inner, err)
}

// Accept implements net.Listener.
func (l *inherited) Accept() (net.Conn, error) {
	for {
		switch err := l.raw.Read(there); {
		case l.closed.Load():
			return nil, net.ErrClosed
		case err != nil:
			return nil, err
		}
		if err := l.SetDeadline(time.Now().Add(acceptWithin)); err != nil {
			return nil, err
		}
		if conn, err := l.TCPListener.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
}

// there tells whether a client waits, and has an accept not block.
func there(fd uintptr) bool {
	n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	if err == nil && n == 0 {
		return false
	}
	_ = unix.SetNonblock(int(fd), true)
	return true
}

// Close implements net.Listener.
func (l *inherited) Close() error {
	l.closed.Store(true)
	return errors.Join(l.look.Close(), l.TCPListener.Close())
}
