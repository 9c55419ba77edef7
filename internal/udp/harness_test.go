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
	// testTimeout is how long a test waits for what does not come.
	testTimeout = 10 * time.Second
	// retryInterval is how long a client waits for an answer before it sends again.
	retryInterval = 20 * time.Millisecond
)

// configure changes the options of a test; it may be nil.
type configure func(*Options)

func (c configure) and(more configure) configure {
	return func(options *Options) {
		if c != nil {
			c(options)
		}
		more(options)
	}
}

// withSharedSockets has flows share sockets; replies need the header then.
var withSharedSockets configure = func(options *Options) {
	options.SharedSockets = true
	options.ProxyHeader = true
}

// inEachSocketMode runs a test with a socket for each flow, and with shared sockets.
func inEachSocketMode(t *testing.T, test func(t *testing.T, mode configure)) {
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

// startListener serves one listener with the endpoints a and b. Flows are placed at a.
func startListener(t testing.TB, change configure) (*Listener, *fakeDispatcher, *fakeEndpoints) {
	t.Helper()
	listeners, dispatcher, endpoints := startListeners(t, 1, change)
	return listeners[0], dispatcher, endpoints
}

// startListeners is startListener for several at one address.
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

// refOfClient is a client's flow, or the zero value if it is not known.
func (l *Listener) refOfClient(client netip.AddrPort) flowtable.Ref {
	l.mu.Lock()
	defer l.mu.Unlock()
	ref, _ := l.table.Lookup(flowtable.Key{Addr: client.Addr().As16(), Port: client.Port()})
	return ref
}

// sharedSocketAddresses are the local addresses of shared sockets, by endpoint.
func (l *Listener) sharedSocketAddresses() map[string]netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	addresses := map[string]netip.AddrPort{}
	for endpointID, socket := range l.sharedSockets {
		addresses[endpointID] = socket.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return addresses
}

// testClient is a client with a socket, and so a flow, of its own.
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

// sendUntil sends a datagram again and again until done is true of the answer, which is
// empty if none came within retryInterval.
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
	c.t.Fatalf("%q was sent in vain", datagram)
}

func eventually(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for startedAt := time.Now(); !isTrue(); time.Sleep(time.Millisecond) {
		if time.Since(startedAt) > testTimeout {
			t.Fatal("never: " + what)
		}
	}
}

// checkBalance checks that each datagram went on or was dropped, if none waits.
func checkBalance(t *testing.T, counts *Counts) {
	t.Helper()
	in, out := counts.In.Load(), counts.Forwarded.Load()+counts.Dropped()
	if in != out {
		t.Errorf("%d in, %d forwarded or dropped", in, out)
	}
}
