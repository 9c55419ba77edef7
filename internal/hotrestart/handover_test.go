package hotrestart

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/proxy"
)

// taker keeps what it is given, unless it wants nothing.
type taker struct {
	mu      sync.Mutex
	wants   bool
	given   []proxy.EstablishedSession
	caller  []net.Conn
	hop     []net.Conn
	learned []balance.LearnedState
}

func (k *taker) Adopt(s proxy.EstablishedSession, caller, hop net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.wants {
		k.given, k.caller, k.hop = append(k.given, s), append(k.caller, caller), append(k.hop, hop)
	}
	return k.wants
}

func (k *taker) Learn(m balance.LearnedState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learned = append(k.learned, m)
}

// close ends what was given: left to the collector, it would be open for others to count.
func (k *taker) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range append(k.caller, k.hop...) {
		c.Close()
	}
}

func (k *taker) last() (s proxy.EstablishedSession, caller, hop net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.given) - 1
	return k.given[n], k.caller[n], k.hop[n]
}

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if near, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// serve starts a taker, and returns what ends it.
func serve(t *testing.T, dir string, k Receiver) (end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	if err := Listen(ctx, &parts, dir, "node.1", k); err != nil {
		t.Fatal(err)
	}
	end = func() { cancel(); parts.Wait() }
	t.Cleanup(func() {
		end()
		if k, ok := k.(interface{ close() }); ok {
			k.close()
		}
	})
	return end
}

func give(t *testing.T, dir string) *Sender {
	t.Helper()
	g, err := Dial(dir, "node.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Close)
	return g
}

// works tells whether what is written at one end arrives at the other.
func works(t *testing.T, near, far net.Conn) {
	t.Helper()
	for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
		ends[1].SetReadDeadline(time.Now().Add(5 * time.Second))
		b := make([]byte, 4)
		if _, err := fmt.Fprint(ends[0], "line"); err != nil {
			t.Error(err)
		} else if n, err := ends[1].Read(b); string(b[:n]) != "line" {
			t.Errorf("%q, %v", b[:n], err)
		}
	}
}

// descriptors counts those of this process.
func descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// settles waits for as many descriptors as there were: others of this process open and
// close some, too.
func settles(t *testing.T, before int) {
	t.Helper()
	after := descriptors(t)
	for begun := time.Now(); after != before && time.Since(begun) < 5*time.Second; after = descriptors(t) {
	}
	if after != before {
		t.Errorf("%d descriptors before, %d after", before, after)
	}
}

// number is a connection's descriptor.
func number(t *testing.T, c net.Conn) (fd int) {
	t.Helper()
	if err := with(c, func(n int) error { fd = n; return nil }); err != nil {
		t.Fatal(err)
	}
	return fd
}
