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
type held struct {
	*net.TCPConn
	wrote, may chan struct{}
	once       sync.Once
}

func (h *held) Write(p []byte) (int, error) {
	h.wrote <- struct{}{}
	<-h.may
	return h.TCPConn.Write(p)
}

func (h *held) Close() error {
	err := h.TCPConn.Close()
	h.once.Do(func() { close(h.may) })
	return err
}

// holds brings up a connection whose caller's line is on its way to a next hop that does
// not take it, and then has it yielded.
func holds(t *testing.T) (b *bench, h *heir, line *held) {
	t.Helper()
	line = &held{wrote: make(chan struct{}, 9), may: make(chan struct{})}
	first := true
	b = startOn(t, func() (near, far net.Conn) {
		near, far = pair(t)
		if !first {
			line.TCPConn, near = near.(*net.TCPConn), line
		}
		first = false
		return near, far
	})
	h = newHeir(t)
	b.up(t)
	say(t, b.caller, "one\r\n")
	wait(t, line.wrote)
	b.t.HandOver(h)
	return b, h, line
}

// reset tells whether the other side has reset a connection, also behind its end, where
// no read shows it.
func reset(t *testing.T, c net.Conn) (err error) {
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
func TestBeforeBothSidesStop(t *testing.T) {
	t.Run("a line", func(t *testing.T) {
		b, h, line := holds(t)
		say(t, b.hop, "LOAD 7\r\n")
		b.expect(t, b.fromNode, "LOAD 7\r\n")
		line.once.Do(func() { close(line.may) })
		b.expect(t, b.fromCaller, "one\r\n")
		wait(t, h.asked)
		h.takes <- false
		b.expect(t, b.fromNode, "MOVE\r\n")
	})
	for name, do := range map[string]func(b *bench) (last string){
		"MOVE":              func(b *bench) string { say(t, b.hop, "MOVE\r\n"); b.hop.Close(); return "MOVE\r\n" },
		"BYE":               func(b *bench) string { say(t, b.hop, "BYE\r\n"); b.hop.Close(); return "BYE\r\n" },
		"the module's move": func(b *bench) string { b.t.Migrate(); return "MOVE\r\n" },
	} {
		t.Run(name, func(t *testing.T) {
			b, h, _ := holds(t)
			say(t, b.caller, "two\r\n") // unread here: a plain close would reset
			last := do(b)
			wait(t, b.finished)
			if err := reset(t, b.caller); err != nil {
				t.Errorf("its last line was followed by a reset: %v", err)
			}
			if got, err := io.ReadAll(b.fromNode); err != nil || string(got) != last {
				t.Errorf("the caller read %q, %v; want %q", got, err, last)
			}
			select {
			case <-h.asked:
				t.Error("it was handed over as well")
			default:
			}
		})
	}
}
