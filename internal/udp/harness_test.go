package udp

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"coralrelay/internal/flowtable"
)

const (
	// testTimeout is the time after which a test fails if an expected event has not occurred.
	testTimeout = 10 * time.Second
	// retryInterval is the time that a client waits for an answer before it sends again.
	retryInterval = 20 * time.Millisecond
)

// configure modifies the options of a test's listeners. It may be nil.
type configure func(*Options)

// and returns a configure that applies c and then more.
func (c configure) and(more configure) configure {
	return func(options *Options) {
		if c != nil {
			c(options)
		}
		more(options)
	}
}

// withSharedSockets enables shared sockets, and the PROXY header that replies then need.
var withSharedSockets configure = func(options *Options) {
	options.SharedSockets = true
	options.ProxyHeader = true
}

// forEachSocketMode runs a test with one socket per flow, and with shared sockets.
func forEachSocketMode(t *testing.T, test func(t *testing.T, mode configure)) {
	t.Helper()
	for name, mode := range map[string]configure{"a socket each": nil, "shared": withSharedSockets} {
		t.Run(name, func(t *testing.T) { test(t, mode) })
	}
}

func testOptions() Options {
	return Options{
		Listen:        netip.MustParseAddrPort("127.0.0.1:0"),
		Class:         "feed",
		Deadline:      time.Second,
		Sockets:       100,
		Table:         flowtable.Options{Entries: 50, IdleTimeout: 10 * time.Second, SettledDatagrams: 1},
		FlowQueue:     flowtable.QueueLimit{Count: 3, Bytes: 1 << 17},
		QueueBudget:   flowtable.QueueBudget{Count: 100, Bytes: 1 << 20},
		NewFlows:      flowtable.Pacer{Rate: 1000, Burst: 10},
		ReplacedFlows: flowtable.Pacer{Rate: 1000, Burst: 10},
	}
}

// startListener starts one listener with the endpoints a and b. Flows are placed at a.
func startListener(t testing.TB, change configure) (*Listener, *fakeDispatcher, *fakeEndpoints) {
	t.Helper()
	listeners, dispatcher, endpoints := startListeners(t, 1, change)
	return listeners[0], dispatcher, endpoints
}

// startListeners starts several listeners at one address, like startListener. They end with the
// test, which then checks that no flow has a socket left.
func startListeners(t testing.TB, count int, change configure) (Listeners, *fakeDispatcher, *fakeEndpoints) {
	t.Helper()
	options := testOptions()
	if change != nil {
		change(&options)
	}
	dispatcher := newFakeDispatcher("a")
	endpoints := newFakeEndpoints(t, "a", "b")
	listeners, err := Open(options, count, dispatcher, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		listeners.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		for _, listener := range listeners {
			if _, bound := listener.Len(); bound != 0 {
				t.Errorf("%d flows still have a socket", bound)
			}
		}
	})
	return listeners, dispatcher, endpoints
}

// refOfClient returns the Ref of a client's flow, or the zero value if the table has none.
func (l *Listener) refOfClient(client netip.AddrPort) flowtable.Ref {
	l.mu.Lock()
	defer l.mu.Unlock()
	ref, _ := l.table.Lookup(flowtable.Key{Addr: client.Addr().As16(), Port: client.Port()})
	return ref
}

// sharedSocketAddresses returns the local addresses of the shared sockets, by endpoint.
func (l *Listener) sharedSocketAddresses() map[string]netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := map[string]netip.AddrPort{}
	for endpointID, socket := range l.sharedSockets {
		addresses[endpointID] = socket.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return addresses
}

// testClient is a client with its own socket, and therefore its own flow.
type testClient struct {
	t *testing.T
	*net.UDPConn
}

func dial(t *testing.T, listener interface{ Addr() netip.AddrPort }) testClient {
	t.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(listener.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return testClient{t, conn}
}

func (c testClient) localAddrPort() netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (c testClient) send(datagram string) {
	c.t.Helper()
	if _, err := c.Write([]byte(datagram)); err != nil {
		c.t.Fatal(err)
	}
}

func (c testClient) expect(want string) {
	c.t.Helper()
	buffer := make([]byte, maxDatagramSize)
	n, err := c.Read(buffer)
	if got := string(buffer[:n]); err != nil || got != want {
		c.t.Fatalf("got %.40q, %v, want %.40q", got, err, want)
	}
}

// sendUntil sends a datagram repeatedly until done returns true for the answer. The answer is empty
// if none arrived within retryInterval.
func (c testClient) sendUntil(datagram string, done func(answer string) bool) {
	c.t.Helper()
	buffer := make([]byte, 100)
	for startedAt := time.Now(); time.Since(startedAt) < testTimeout; {
		c.send(datagram)
		_ = c.SetReadDeadline(time.Now().Add(retryInterval))
		n, err := c.Read(buffer)
		if err != nil {
			n = 0
		}
		if done(string(buffer[:n])) {
			return
		}
	}
	c.t.Fatalf("no expected answer to %q", datagram)
}

// eventually fails the test if isTrue does not return true within testTimeout.
func eventually(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for startedAt := time.Now(); !isTrue(); time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > testTimeout {
			t.Fatal("condition not reached: " + what)
		}
	}
}

// checkBalance checks that each datagram was forwarded or dropped. No datagram may be waiting.
func checkBalance(t *testing.T, counts *Counts) {
	t.Helper()
	in, out := counts.In.Load(), counts.Forwarded.Load()+counts.Dropped()
	if in != out {
		t.Errorf("%d datagrams in, %d forwarded or dropped", in, out)
	}
}
