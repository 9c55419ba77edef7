package proxy_test

// What happens between the start of a handover and the offer.

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
)

// blockedConn is a connection on which a write waits until the test releases it, or it is closed.
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

// unblock releases all writes, also those that are still to come.
func (c *blockedConn) unblock() { c.once.Do(func() { close(c.release) }) }

// startBlockedHandover establishes a session whose client's line is on its way to an upstream
// that does not accept it, and then hands it over.
func startBlockedHandover(t *testing.T) (b *fixture, successor *fakeSuccessor, upstreamConn *blockedConn) {
	t.Helper()
	upstreamConn = &blockedConn{writing: make(chan struct{}, 9), release: make(chan struct{})}
	first := true
	b = startSessionOn(t, func() (near, far net.Conn) {
		near, far = connPair(t)
		if !first {
			upstreamConn.TCPConn, near = near.(*net.TCPConn), upstreamConn
		}
		first = false
		return near, far
	})
	successor = newFakeSuccessor(t)
	b.establish(t)
	write(t, b.client, "one\r\n")
	receive(t, upstreamConn.writing)
	b.session.HandOver(successor)
	return b, successor, upstreamConn
}

// socketError returns an error if the other side has reset a connection, also behind its
// end, where no read shows it.
func socketError(t *testing.T, c net.Conn) (err error) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	inner := raw.Control(func(fd uintptr) {
		if n, err2 := syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR); err2 != nil || n != 0 {
			err = errors.Join(err2, syscall.Errno(n))
		}
	})
	return errors.Join(inner, err)
}

// Until both relays have stopped this process owns the session: the upstream's lines are
// relayed, and its last one reaches the client whatever that still sends. A migration wins.
func TestOwnsSessionUntilBothRelaysStop(t *testing.T) {
	t.Run("a line", func(t *testing.T) {
		b, successor, upstreamConn := startBlockedHandover(t)
		write(t, b.upstream, "LOAD 7\r\n")
		b.expectLine(t, b.clientReader, "LOAD 7\r\n")
		upstreamConn.unblock()
		b.expectLine(t, b.upstreamReader, "one\r\n")
		receive(t, successor.offered)
		successor.accepts <- false
		b.expectLine(t, b.clientReader, "MOVE\r\n")
	})
	upstreamWrites := func(line string) func(t *testing.T, b *fixture) string {
		return func(t *testing.T, b *fixture) string {
			write(t, b.upstream, line)
			b.upstream.Close()
			return line
		}
	}
	migrate := func(_ *testing.T, b *fixture) string {
		b.session.Migrate()
		return "MOVE\r\n"
	}
	tests := map[string]func(t *testing.T, b *fixture) (lastLine string){
		"MOVE":        upstreamWrites("MOVE\r\n"),
		"BYE":         upstreamWrites("BYE\r\n"),
		"a migration": migrate,
	}
	for name, end := range tests {
		t.Run(name, func(t *testing.T) {
			b, successor, _ := startBlockedHandover(t)
			write(t, b.client, "two\r\n") // unread here: a plain close would reset
			lastLine := end(t, b)
			receive(t, b.finished)
			if err := socketError(t, b.client); err != nil {
				t.Errorf("its last line was followed by a reset: %v", err)
			}
			if got, err := io.ReadAll(b.clientReader); err != nil || string(got) != lastLine {
				t.Errorf("the client read %q, %v; want %q", got, err, lastLine)
			}
			select {
			case <-successor.offered:
				t.Error("it was handed over as well")
			default:
			}
		})
	}
}
