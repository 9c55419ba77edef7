package proxy_test

// Tests of events between the start of a handover and the offer to the successor.

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
)

// blockedConn is a connection whose writes block until the test releases them or the connection is
// closed.
type blockedConn struct {
	*net.TCPConn
	writing, release chan struct{}
	once             sync.Once
}

func (c *blockedConn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	<-c.release
	return c.TCPConn.Write(p)
}

func (c *blockedConn) Close() error {
	err := c.TCPConn.Close()
	c.unblock()
	return err
}

// unblock releases all pending and later writes.
func (c *blockedConn) unblock() { c.once.Do(func() { close(c.release) }) }

// startBlockedHandover establishes a session, relays a client's line to an upstream that does not
// accept it, and then starts a handover.
func startBlockedHandover(t *testing.T) (f *fixture, successor *fakeSuccessor, upstreamConn *blockedConn) {
	t.Helper()
	upstreamConn = &blockedConn{writing: make(chan struct{}, 9), release: make(chan struct{})}
	first := true
	f = startSessionOn(t, func() (near, far net.Conn) {
		near, far = connPair(t)
		if !first {
			upstreamConn.TCPConn, near = near.(*net.TCPConn), upstreamConn
		}
		first = false
		return near, far
	})
	successor = newFakeSuccessor(t)
	f.establish(t)
	write(t, f.client, "one\r\n")
	receive(t, upstreamConn.writing)
	f.session.HandOver(successor)
	return f, successor, upstreamConn
}

// socketError returns an error if the peer has reset the connection, even after its end, where no
// read reports the reset.
func socketError(t *testing.T, c net.Conn) (err error) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	inner := raw.Control(func(fd uintptr) {
		if n, err2 := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err2 != nil ||
			n != 0 {
			err = errors.Join(err2, syscall.Errno(n))
		}
	})
	return errors.Join(inner, err)
}

// Until both relays have stopped, this process owns the session: the upstream's lines are relayed,
// and its last line reaches the client whatever the client still sends. A migration takes
// precedence.
func TestOwnsSessionUntilBothRelaysStop(t *testing.T) {
	t.Run("a line", func(t *testing.T) {
		f, successor, upstreamConn := startBlockedHandover(t)
		write(t, f.upstream, "LOAD 7\r\n")
		f.expectLine(t, f.clientReader, "LOAD 7\r\n")
		upstreamConn.unblock()
		f.expectLine(t, f.upstreamReader, "one\r\n")
		receive(t, successor.offered)
		successor.accepts <- false
		f.expectLine(t, f.clientReader, "MOVE\r\n")
	})
	upstreamWrites := func(line string) func(t *testing.T, f *fixture) string {
		return func(t *testing.T, f *fixture) string {
			write(t, f.upstream, line)
			f.upstream.Close()
			return line
		}
	}
	migrate := func(_ *testing.T, f *fixture) string {
		f.session.Migrate()
		return "MOVE\r\n"
	}
	tests := map[string]func(t *testing.T, f *fixture) (lastLine string){
		"MOVE":        upstreamWrites("MOVE\r\n"),
		"BYE":         upstreamWrites("BYE\r\n"),
		"a migration": migrate,
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			f, successor, _ := startBlockedHandover(t)
			write(t, f.client, "two\r\n") // stays unread: a plain close would reset the connection
			lastLine := end(t, f)
			receive(t, f.finished)
			if err := socketError(t, f.client); err != nil {
				t.Errorf("the client's last line was followed by a reset: %v", err)
			}
			if got, err := io.ReadAll(f.clientReader); err != nil || string(got) != lastLine {
				t.Errorf("the client read %q, %v; want %q", got, err, lastLine)
			}
			select {
			case <-successor.offered:
				t.Error("the session was handed over as well")
			default:
			}
		})
	}
}
