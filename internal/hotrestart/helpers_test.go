package hotrestart

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/proxy"
)

// testTimeout bounds every wait: no test waits this long unless it fails.
const testTimeout = 10 * time.Second

// fakeReceiver keeps what it adopts, unless it accepts nothing.
type fakeReceiver struct {
	mu              sync.Mutex
	accepts         bool
	sessions        []proxy.EstablishedSession
	downstreamConns []net.Conn
	upstreamConns   []net.Conn
	learned         []balance.LearnedState
}

func (k *fakeReceiver) Adopt(s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.accepts {
		k.sessions = append(k.sessions, s)
		k.downstreamConns = append(k.downstreamConns, downstreamConn)
		k.upstreamConns = append(k.upstreamConns, upstreamConn)
	}
	return k.accepts
}

func (k *fakeReceiver) Learn(m balance.LearnedState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.learned = append(k.learned, m)
}

// close closes what was adopted: left to the collector, it would be open for others to count.
func (k *fakeReceiver) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range append(k.downstreamConns, k.upstreamConns...) {
		c.Close()
	}
}

func (k *fakeReceiver) last() (s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := len(k.sessions) - 1
	return k.sessions[n], k.downstreamConns[n], k.upstreamConns[n]
}

// startReceiver starts a receiver at node.1, and returns what ends it.
func startReceiver(t *testing.T, dir string, k Receiver) (end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	if err := Listen(ctx, &goroutines, dir, "node.1", k); err != nil {
		t.Fatal(err)
	}
	end = func() { cancel(); goroutines.Wait() }
	t.Cleanup(func() {
		end()
		if k, ok := k.(interface{ close() }); ok {
			k.close()
		}
	})
	return end
}

// socketPath is where a receiver at node.1 listens.
func socketPath(dir string) string { return filepath.Join(dir, socketPrefix+"node.1") }

// listenAt listens as a receiver that the test plays by hand.
func listenAt(t *testing.T, path string) *net.UnixListener {
	t.Helper()
	listener, err := net.ListenUnix(network, &net.UnixAddr{Name: path, Net: network})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func dialSender(t *testing.T, dir string) *Sender {
	t.Helper()
	sender, err := Dial(dir, "node.1")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sender.Close)
	return sender
}

// expectConnected requires that what is written at either end arrives at the other.
func expectConnected(t *testing.T, near, far net.Conn) {
	t.Helper()
	for _, ends := range [][2]net.Conn{{near, far}, {far, near}} {
		_ = ends[1].SetReadDeadline(time.Now().Add(5 * time.Second))
		b := make([]byte, 4)
		if _, err := fmt.Fprint(ends[0], "line"); err != nil {
			t.Error(err)
		} else if n, err := ends[1].Read(b); string(b[:n]) != "line" {
			t.Errorf("%q, %v", b[:n], err)
		}
	}
}

// countOpenDescriptors counts this process's descriptors.
func countOpenDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// expectOpenDescriptors waits for as many descriptors as there were: other goroutines of this
// process open and close some, too.
func expectOpenDescriptors(t *testing.T, before int) {
	t.Helper()
	after := countOpenDescriptors(t)
	for begun := time.Now(); after != before && time.Since(begun) < 5*time.Second; after = countOpenDescriptors(t) {
	}
	if after != before {
		t.Errorf("%d descriptors before, %d after", before, after)
	}
}

// descriptorOf is a connection's descriptor.
func descriptorOf(t *testing.T, c net.Conn) (fd int) {
	t.Helper()
	if err := bufconn.WithDescriptor(c, func(n int) error { fd = n; return nil }); err != nil {
		t.Fatal(err)
	}
	return fd
}
