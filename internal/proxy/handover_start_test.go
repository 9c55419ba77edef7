package proxy_test

// What comes between the yield and the offer.

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
)

// held is a connection on which a write waits until the test lets it go on, or it is closed.
type blockedConn struct {
	*net.TCPConn
	writing, release chan struct{}
	once             sync.Once
}

func (h *blockedConn) Write(p []byte) (int, error) {
	h.writing <- struct{}{}
	<-h.release
	return h.TCPConn.Write(p)
}

func (h *blockedConn) Close() error {
	err := h.TCPConn.Close()
	h.once.Do(func() { close(h.release) })
	return err
}

// holds brings up a connection whose caller's line is on its way to a next hop that does
// not take it, and then has it yielded.
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

// reset tells whether the other side has reset a connection, also behind its end, where
// no read shows it.
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

// Until both sides have stopped this process owns what stands: the next hop's lines go on,
// and its last one reaches the caller whatever that still sends. A move wins.
func TestOwnsSessionUntilBothRelaysStop(t *testing.T) {
	t.Run("a line", func(t *testing.T) {
		b, successor, upstreamConn := startBlockedHandover(t)
		write(t, b.upstream, "LOAD 7\r\n")
		b.expectLine(t, b.clientReader, "LOAD 7\r\n")
		upstreamConn.once.Do(func() { close(upstreamConn.release) })
		b.expectLine(t, b.upstreamReader, "one\r\n")
		receive(t, successor.offered)
		successor.accepts <- false
		b.expectLine(t, b.clientReader, "MOVE\r\n")
	})
	for name, do := range map[string]func(b *fixture) (last string){
		"MOVE":              func(b *fixture) string { write(t, b.upstream, "MOVE\r\n"); b.upstream.Close(); return "MOVE\r\n" },
		"BYE":               func(b *fixture) string { write(t, b.upstream, "BYE\r\n"); b.upstream.Close(); return "BYE\r\n" },
		"the module's move": func(b *fixture) string { b.session.Migrate(); return "MOVE\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			b, successor, _ := startBlockedHandover(t)
			write(t, b.client, "two\r\n") // unread here: a plain close would reset
			last := do(b)
			receive(t, b.finished)
			if err := socketError(t, b.client); err != nil {
				t.Errorf("its last line was followed by a reset: %v", err)
			}
			if got, err := io.ReadAll(b.clientReader); err != nil || string(got) != last {
				t.Errorf("the caller read %q, %v; want %q", got, err, last)
			}
			select {
			case <-successor.offered:
				t.Error("it was handed over as well")
			default:
			}
		})
	}
}
