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

// testTimeout bounds every wait. A test waits this long only if it fails.
const testTimeout = 10 * time.Second

// fakeReceiver records the sessions and the learned state that it receives. It adopts sessions
// only if accepts is set.
type fakeReceiver struct {
	mu              sync.Mutex
	accepts         bool
	sessions        []proxy.EstablishedSession
	downstreamConns []net.Conn
	upstreamConns   []net.Conn
	learned         []balance.LearnedState
}

func (r *fakeReceiver) Adopt(s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepts {
		r.sessions = append(r.sessions, s)
		r.downstreamConns = append(r.downstreamConns, downstreamConn)
		r.upstreamConns = append(r.upstreamConns, upstreamConn)
	}
	return r.accepts
}

func (r *fakeReceiver) Learn(state balance.LearnedState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.learned = append(r.learned, state)
}

// close closes the adopted connections. Otherwise they would stay open until the next garbage
// collection, and tests that count descriptors would include them.
func (r *fakeReceiver) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range append(r.downstreamConns, r.upstreamConns...) {
		c.Close()
	}
}

func (r *fakeReceiver) last() (s proxy.EstablishedSession, downstreamConn, upstreamConn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.sessions) - 1
	return r.sessions[n], r.downstreamConns[n], r.upstreamConns[n]
}

// startReceiver starts a receiver at node.1 and returns a function that ends it.
func startReceiver(t *testing.T, dir string, receiver Receiver) (end func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	if err := Listen(ctx, &goroutines, dir, "node.1", receiver); err != nil {
		t.Fatal(err)
	}
	end = func() { cancel(); goroutines.Wait() }
	t.Cleanup(func() {
		end()
		if receiver, ok := receiver.(interface{ close() }); ok {
			receiver.close()
		}
	})
	return end
}

// socketPath returns the path of the socket of a receiver at node.1.
func socketPath(dir string) string { return filepath.Join(dir, socketPrefix+"node.1") }

// listenAt listens at path for a test that acts as the receiver itself.
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

// expectConnected requires that data written at either end arrives at the other.
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

// countOpenDescriptors returns the number of open descriptors of this process.
func countOpenDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(list)
}

// expectOpenDescriptors waits until the number of open descriptors is before again. It waits as
// other goroutines of this process open and close descriptors, too.
func expectOpenDescriptors(t *testing.T, before int) {
	t.Helper()
	after := countOpenDescriptors(t)
	for begun := time.Now(); after != before && time.Since(begun) < 5*time.Second; after = countOpenDescriptors(t) {
	}
	if after != before {
		t.Errorf("%d descriptors before, %d after", before, after)
	}
}

// descriptorOf returns the descriptor of a connection.
func descriptorOf(t *testing.T, c net.Conn) (fd int) {
	t.Helper()
	if err := bufconn.WithDescriptor(c, func(n int) error { fd = n; return nil }); err != nil {
		t.Fatal(err)
	}
	return fd
}
