package udp

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/flowtable"
)

const testTimeout = 10 * time.Second // no test waits this long unless it fails

// chooser stands in for the Core: it places each flow at the next hop that is named,
// or refuses it, or keeps it waiting.
type fakeDispatcher struct {
	mu         sync.Mutex
	endpointID string // empty: nobody is placed
	reject     bool
	submitted  []dispatch.Placement
	ended      []balance.Outcome
	placed     map[dispatch.Placement]string
	retryAt    string // where a branch that has failed goes on; empty for nowhere
	starter    dispatch.AttemptStarter
}

func (c *fakeDispatcher) Submit(x dispatch.Placement, b dispatch.AttemptStarter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.submitted, c.starter = append(c.submitted, x), b
	switch {
	case c.reject:
		x.Reject(0)
	case c.endpointID != "":
		b.StartAttempt(x, 0, c.endpointID, x.PlacementRequest().Deadline)
	}
}
func (c *fakeDispatcher) ClientGone(dispatch.Placement) {}
func (c *fakeDispatcher) PlacementEnded(_ dispatch.Placement, o balance.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, o)
}
func (c *fakeDispatcher) AttemptEstablished(x dispatch.Placement, _ int, server string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placed[x] = server
}
func (c *fakeDispatcher) AttemptEnded(x dispatch.Placement, attempt int, _ string, _ balance.Outcome, _ time.Duration, _ balance.LoadReport) {
	c.mu.Lock()
	retryAt := c.retryAt
	c.mu.Unlock()
	if retryAt == "" {
		x.Fail()
	} else {
		c.starter.StartAttempt(x, attempt+1, retryAt, x.PlacementRequest().Deadline)
	}
}
func (c *fakeDispatcher) placeAt(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpointID = server
}

// hops are next hops that echo what they get under their name.
type fakeEndpoints struct {
	mu           sync.Mutex
	addresses    map[string]string
	draining     map[string]bool
	unresponsive map[string]bool // answers no probes
	hung         map[string]bool // answers nothing else
	received     map[string][]string
	conns        map[string]*net.UDPConn
}

func (h *fakeEndpoints) Address(s string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.addresses[s]
}
func (h *fakeEndpoints) CanSend(s string, _ time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.draining[s]
}
func (h *fakeEndpoints) IsResponsive(s string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.unresponsive[s]
}
func (h *fakeEndpoints) IsDraining(s string, now time.Time) bool { return !h.CanSend(s, now) }
func (h *fakeEndpoints) count(s string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.received[s])
}

func (h *fakeEndpoints) start(t testing.TB, name string) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	h.mu.Lock()
	h.addresses[name], h.conns[name] = conn.LocalAddr().String(), conn
	h.mu.Unlock()
	go func() {
		buffer := make([]byte, maxDatagramSize)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			h.mu.Lock()
			header, payload := []byte{}, buffer[:n]
			if _, _, _, rest, err := parseProxyHeader(payload); err == nil { // it says whose its answer is
				header, payload = bytes.Clone(payload[:n-len(rest)]), rest
			}
			h.received[name] = append(h.received[name], string(payload[:min(len(payload), 20)]))
			hung := h.hung[name]
			h.mu.Unlock()
			if hung {
				continue
			}
			answer := append(append(header, name+":"...), payload...)
			_, _ = conn.WriteToUDPAddrPort(answer[:min(len(answer), maxDatagramSize)], from)
		}
	}()
}

func startListener(t testing.TB, change func(*Options)) (*Listener, *fakeDispatcher, *fakeEndpoints) {
	t.Helper()
	listeners, dispatcher, endpoints := startListeners(t, 1, change)
	return listeners[0], dispatcher, endpoints
}

func startListeners(t testing.TB, n int, change func(*Options)) (Listeners, *fakeDispatcher, *fakeEndpoints) {
	t.Helper()
	options := Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Class: "feed", Deadline: time.Second, Sockets: 100,
		Table:     flowtable.Options{Entries: 50, IdleTimeout: 10 * time.Second, SettledDatagrams: 1},
		FlowQueue: flowtable.QueueLimit{Count: 3, Bytes: 1 << 17}, QueueBudget: flowtable.QueueBudget{Count: 100, Bytes: 1 << 20}, NewFlows: flowtable.Pacer{Rate: 1000, Burst: 10}, ReplacedFlows: flowtable.Pacer{Rate: 1000, Burst: 10}}
	if change != nil {
		change(&options)
	}
	dispatcher := &fakeDispatcher{endpointID: "a", placed: map[dispatch.Placement]string{}}
	endpoints := &fakeEndpoints{addresses: map[string]string{}, draining: map[string]bool{}, unresponsive: map[string]bool{}, hung: map[string]bool{}, received: map[string][]string{}, conns: map[string]*net.UDPConn{}}
	endpoints.start(t, "a")
	endpoints.start(t, "b")
	listeners, err := Open(options, n, dispatcher, endpoints)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); listeners.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		for _, listener := range listeners {
			if _, placed := listener.Len(); placed != 0 {
				t.Errorf("%d sockets are left", placed)
			}
		}
	})
	return listeners, dispatcher, endpoints
}

// modes are the ways to next hops; a shared socket's replies need the header.
var socketModes = map[string]func(*Options){"a socket each": nil, "shared": sharedSockets}

func sharedSockets(o *Options) { o.SharedSockets, o.ProxyHeader = true, true }

// both changes options for a mode and a test.
func combine(mode, more func(*Options)) func(*Options) {
	return func(o *Options) {
		if mode != nil {
			mode(o)
		}
		more(o)
	}
}

type testClient struct {
	t *testing.T
	*net.UDPConn
}

func dial(t *testing.T, f interface{ Addr() netip.AddrPort }) testClient {
	t.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return testClient{t, conn}
}

func (c testClient) send(s string) {
	c.t.Helper()
	if _, err := c.Write([]byte(s)); err != nil {
		c.t.Fatal(err)
	}
}

func (c testClient) expect(want string) {
	c.t.Helper()
	b := make([]byte, maxDatagramSize)
	n, err := c.Read(b)
	if got := string(b[:n]); err != nil || got != want {
		c.t.Fatalf("got %.40q, %v, want %.40q", got, err, want)
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for begun := time.Now(); !ok(); time.Sleep(time.Millisecond) {
		if time.Since(begun) > testTimeout {
			t.Fatal("never: " + what)
		}
	}
}

// Datagrams of a flow go to its next hop in order, whatever their size, and replies
// to its own client.
func TestForwardsInOrderAndRepliesToItsClient(t *testing.T) {
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) { testForwards(t, mode) })
	}
}

func testForwards(t *testing.T, mode func(*Options)) {
	listener, _, endpoints := startListener(t, mode)
	one, two := dial(t, listener), dial(t, listener)
	for _, s := range []string{"1", "", "3"} {
		one.send("one" + s)
		two.send("two" + s)
		one.expect("a:one" + s)
		two.expect("a:two" + s)
	}
	one.send("")
	one.expect("a:")
	big := string(bytes.Repeat([]byte("x"), 60_000))
	two.send(big)
	eventually(t, "the large one arrives", func() bool { return endpoints.count("a") == 8 })
	if n := listener.Counts.In.Load(); n != 8 || listener.Counts.Forwarded.Load() != 8 || listener.Counts.Opened.Load() != 2 {
		t.Errorf("%d in, %d forwarded, %d flows", n, listener.Counts.Forwarded.Load(), listener.Counts.Opened.Load())
	}
}

// Nothing reaches a next hop that drains: the flow goes on elsewhere, in mid-flow.
func TestDrainingEndpointGetsNothingMore(t *testing.T) {
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) { testDrain(t, mode) })
	}
}

func testDrain(t *testing.T, mode func(*Options)) {
	listener, dispatcher, endpoints := startListener(t, mode)
	client := dial(t, listener)
	client.send("1")
	client.expect("a:1")
	dispatcher.placeAt("b")
	endpoints.mu.Lock()
	endpoints.draining["a"] = true
	endpoints.mu.Unlock()
	client.send("2") // the guard at the send sees it, though nobody has told the front
	client.expect("b:2")
	endpoints.mu.Lock()
	endpoints.draining["a"], endpoints.draining["b"] = false, true
	endpoints.mu.Unlock()
	dispatcher.placeAt("a")
	listener.EndpointsChanged() // and told, it does not wait for a datagram to let the next hop go
	eventually(t, "the placement ends", func() bool {
		dispatcher.mu.Lock()
		defer dispatcher.mu.Unlock()
		return len(dispatcher.ended) == 2
	})
	client.send("3")
	client.expect("a:3")
	if endpoints.count("a") != 2 || endpoints.count("b") != 1 {
		t.Errorf("a got %d, b %d", endpoints.count("a"), endpoints.count("b"))
	}
}

// A next hop whose port nobody has refuses: the module hears of a reset, and the
// flow is placed again.
func TestRefusedFlowIsPlacedAgain(t *testing.T) {
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) { testRefused(t, mode) })
	}
}

func testRefused(t *testing.T, mode func(*Options)) {
	listener, dispatcher, endpoints := startListener(t, mode)
	client := dial(t, listener)
	client.send("1")
	client.expect("a:1")
	dispatcher.placeAt("b")
	endpoints.conns["a"].Close()
	for n := 0; ; n++ { // what is sent before the refusal is seen is lost
		client.send("2")
		_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		b := make([]byte, 100)
		if n, err := client.Read(b); err == nil && string(b[:n]) == "b:2" {
			break
		}
		if n > 200 {
			t.Fatal("never placed again")
		}
	}
	dispatcher.mu.Lock()
	defer dispatcher.mu.Unlock()
	if len(dispatcher.ended) != 1 || dispatcher.ended[0] != balance.Reset {
		t.Errorf("told %v", dispatcher.ended)
	}
}

// The first datagrams wait, the oldest gives way, and a refused flow's are dropped;
// the counts add up.
func TestQueueDropsOldestWhileWaiting(t *testing.T) {
	listener, dispatcher, _ := startListener(t, nil)
	dispatcher.placeAt("")
	client := dial(t, listener)
	for _, s := range []string{"1", "2", "3", "4", "5"} {
		client.send(s)
	}
	var submitted []dispatch.Placement
	eventually(t, "all came", func() bool { // what is asked goes by way of the front's outbox
		dispatcher.mu.Lock()
		defer dispatcher.mu.Unlock()
		submitted = dispatcher.submitted
		return listener.Counts.In.Load() == 5 && len(submitted) > 0
	})
	if len(submitted) != 1 || listener.Counts.Queue.Load() != 2 {
		t.Fatalf("asked %d times, %d dropped", len(submitted), listener.Counts.Queue.Load())
	}
	listener.StartAttempt(submitted[0], 0, "a", time.Now().Add(time.Second))
	for _, s := range []string{"3", "4", "5"} {
		client.expect("a:" + s)
	}
	dispatcher.mu.Lock()
	dispatcher.reject = true
	dispatcher.mu.Unlock()
	rejected := dial(t, listener)
	rejected.send("1")
	eventually(t, "it is refused", func() bool { return listener.Counts.Refused.Load() == 1 })
	if in, out := listener.Counts.In.Load(), listener.Counts.Forwarded.Load()+listener.Counts.Dropped(); in != out {
		t.Errorf("%d in, %d out or dropped", in, out)
	}
	if known, placed := listener.Len(); known != 1 || placed != 1 {
		t.Errorf("%d known, %d placed", known, placed)
	}
}

// A drain is told while the first datagrams of thousands of flows wait for a decision, half
// of which has been made: nothing reaches who drains, and nothing is lost. A client whose
// port is another from then on is another flow.
func TestDrainWhileMostFlowsWait(t *testing.T) {
	const flows = 2000
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) {
			listener, dispatcher, endpoints := startListener(t, combine(mode, func(o *Options) {
				o.Table.Entries, o.Sockets, o.QueueBudget.Count, o.NewFlows.Burst = 2*flows, 2*flows, 2*flows, 2*flows
				o.Deadline = time.Minute
			}))
			dispatcher.placeAt("")
			clients := make([]testClient, flows)
			for i := range clients {
				clients[i] = dial(t, listener)
				clients[i].send(fmt.Sprint(i))
				if i%100 == 99 { // sockets' buffers hold some 200
					eventually(t, "they wait", func() bool { return listener.Counts.In.Load() == int64(i+1) })
				}
			}
			eventually(t, "all are asked for", func() bool {
				dispatcher.mu.Lock()
				defer dispatcher.mu.Unlock()
				return len(dispatcher.submitted) == flows
			})
			dispatcher.mu.Lock()
			submitted := dispatcher.submitted
			dispatcher.endpointID, dispatcher.retryAt = "b", "b"
			dispatcher.mu.Unlock()
			endpoints.mu.Lock()
			endpoints.draining["a"] = true
			endpoints.mu.Unlock()
			listener.EndpointsChanged()
			for i, each := range submitted {
				listener.StartAttempt(each, 0, []string{"a", "b"}[i%2], each.PlacementRequest().Deadline)
				if i%100 == 99 {
					eventually(t, "they arrive", func() bool { return endpoints.count("b") == i+1 })
				}
			}
			for i, each := range clients {
				each.expect(fmt.Sprint("b:", i))
			}
			rebound := dial(t, listener)
			rebound.send("1")
			rebound.expect("b:1")
			if n := endpoints.count("a"); n != 0 || listener.Counts.Opened.Load() != flows+1 || listener.Counts.Dropped() != 0 {
				t.Errorf("%d reached who drains, %d flows, %d dropped", n, listener.Counts.Opened.Load(), listener.Counts.Dropped())
			}
		})
	}
}

// Flows that are silent are forgotten with their sockets; what a next hop still
// answers reaches nobody.
func TestIdleFlowExpiresWithItsSocket(t *testing.T) {
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) { testExpiry(t, mode) })
	}
}

func testExpiry(t *testing.T, mode func(*Options)) {
	listener, _, endpoints := startListener(t, combine(mode, func(o *Options) { o.Table.IdleTimeout = 64 * time.Millisecond }))
	client := dial(t, listener)
	client.send("1")
	client.expect("a:1")
	eventually(t, "it expires", func() bool { known, placed := listener.Len(); return known == 0 && placed == 0 })
	client.send("2") // the same client, a moment later: a new flow
	client.expect("a:2")
	if listener.Counts.Opened.Load() != 2 || endpoints.count("a") != 2 {
		t.Errorf("%d flows", listener.Counts.Opened.Load())
	}
}

func TestRejectsWhenTableFullOrSourceLimited(t *testing.T) {
	listener, _, _ := startListener(t, func(o *Options) {
		o.Table.Entries, o.Table.Policy = 2, flowtable.RefuseNew
		o.Sources = flowtable.SourceOptions{Slots: 64, Rate: 0.001, Burst: 3}
	})
	for range 2 {
		client := dial(t, listener)
		client.send("1")
		client.expect("a:1")
	}
	dial(t, listener).send("1")
	eventually(t, "the table is full", func() bool { return listener.Counts.Full.Load() == 1 })
	for range 8 {
		dial(t, listener).send("1")
	}
	eventually(t, "the source is limited", func() bool { return listener.Counts.Limited.Load() > 0 })
}

// A next hop that falls silent loses its flows to another: one that used to answer, though
// its probes are fine; one whose probes fail, though it never answered; one that does not
// answer echoes.
func TestSilentEndpointLosesItsFlows(t *testing.T) {
	for name, test := range map[string]struct {
		echo         string
		hang, probes bool
	}{"stops answering": {"", true, false}, "probes fail": {"", false, true}, "echoes fail": {"are you there", true, false}} {
		for modeName, mode := range socketModes {
			t.Run(name+", "+modeName, func(t *testing.T) {
				t.Parallel()
				listener, dispatcher, endpoints := startListener(t, combine(mode, func(o *Options) {
					o.Silence = flowtable.SilenceOptions{After: 300 * time.Millisecond, Datagrams: 5}
					if o.Echo = test.echo; test.echo != "" {
						o.Silence.Datagrams = 0
					}
				}))
				client := dial(t, listener)
				for range 40 {
					client.send("1")
					client.expect("a:1")
				}
				dispatcher.placeAt("b")
				endpoints.mu.Lock()
				endpoints.hung["a"], endpoints.unresponsive["a"] = test.hang, test.probes
				endpoints.mu.Unlock()
				for startedAt := time.Now(); endpoints.count("b") == 0; {
					client.send("2")
					_ = client.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					_, _ = client.Read(make([]byte, 100))
					if time.Since(startedAt) > testTimeout {
						t.Fatal("it never left")
					}
				}
				dispatcher.mu.Lock()
				defer dispatcher.mu.Unlock()
				if len(dispatcher.ended) != 1 || dispatcher.ended[0] != balance.Reset || listener.Counts.Silent.Load() != 1 {
					t.Errorf("told %v, %d flows lost to silence", dispatcher.ended, listener.Counts.Silent.Load())
				}
			})
		}
	}
}

// Over shared sockets an answer reaches a client only while its flow stands at the next
// hop that gives it, and without a header nobody.
func TestSharedSocketDropsUnmatchedReplies(t *testing.T) {
	listener, dispatcher, endpoints := startListener(t, sharedSockets)
	one, two := dial(t, listener), dial(t, listener)
	one.send("1")
	one.expect("a:1")
	dispatcher.placeAt("b")
	two.send("1")
	two.expect("b:1")
	// What a next hop says of its own accord, over the socket that the node has there.
	endpoints.mu.Lock()
	nodeAddresses := map[string]netip.AddrPort{}
	for s, out := range listener.sharedSocketAddresses() {
		nodeAddresses[s] = out
	}
	endpoints.mu.Unlock()
	sendReply := func(hop string, to testClient, text string) {
		t.Helper()
		client := to.LocalAddr().(*net.UDPAddr).AddrPort()
		d := append(appendProxyHeader(nil, client, listener.Addr(), listener.refOfClient(client)), text...)
		if _, err := endpoints.conns[hop].WriteToUDPAddrPort(d, nodeAddresses[hop]); err != nil {
			t.Fatal(err)
		}
	}
	expectUnmatched := func(n int64) {
		t.Helper()
		eventually(t, "what is stray is counted", func() bool { return listener.Counts.UnmatchedReplies.Load() == n })
	}
	sendReply("b", one, "stands at a") // nor at another client's next hop
	expectUnmatched(1)
	if _, err := endpoints.conns["a"].WriteToUDPAddrPort([]byte("no header"), nodeAddresses["a"]); err != nil {
		t.Fatal(err)
	}
	expectUnmatched(2)
	if _, err := endpoints.conns["a"].WriteToUDPAddrPort(make([]byte, 3*typicalDatagramSize), nodeAddresses["a"]); err != nil {
		t.Fatal(err)
	}
	expectUnmatched(3)
	stranger := dial(t, listener) // has sent nothing
	sendReply("a", stranger, "unknown")
	expectUnmatched(4)
	sendReply("a", one, "of its own accord")
	one.expect("of its own accord")
	stale := listener.refOfClient(one.LocalAddr().(*net.UDPAddr).AddrPort())
	stale.Gen-- // a flow that had this place, and this client's address, before
	if _, err := endpoints.conns["a"].WriteToUDPAddrPort(append(appendProxyHeader(nil, one.LocalAddr().(*net.UDPAddr).AddrPort(), listener.Addr(), stale), "old"...), nodeAddresses["a"]); err != nil {
		t.Fatal(err)
	}
	expectUnmatched(5)
	endpoints.mu.Lock()
	endpoints.draining["a"] = true
	endpoints.mu.Unlock()
	one.send("2") // moves to b
	one.expect("b:2")
	if n := listener.Counts.UnmatchedReplies.Load(); n != 5 {
		t.Errorf("%d stray", n)
	}
	if open := listener.sharedSocketAddresses(); len(open) != 1 {
		t.Errorf("sockets to %v", open)
	}
}

// refOf is a client's flow; none if it is not known.
func (l *Listener) refOfClient(client netip.AddrPort) flowtable.Ref {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := l.table.Lookup(flowtable.Key{Addr: client.Addr().As16(), Port: client.Port()})
	return r
}

// socketsOf is where the front has shared sockets, by next hop.
func (l *Listener) sharedSocketAddresses() map[string]netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := map[string]netip.AddrPort{}
	for s, out := range l.sharedSockets {
		m[s] = out.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	return m
}

// Many flows take one socket, and a batch arrives whole, in order; one that is too large
// for a datagram costs itself alone.
func TestSharedSocketWritesBatchesInOrder(t *testing.T) {
	listener, _, endpoints := startListener(t, combine(sharedSockets, func(o *Options) {
		o.Sockets, o.Table.Entries, o.NewFlows.Burst, o.FlowQueue.Count, o.QueueBudget.Count = 2, 500, 500, 100, 1000
	}))
	clients := make([]testClient, 100)
	for i := range clients {
		clients[i] = dial(t, listener)
		for n := range 5 {
			clients[i].send(fmt.Sprintf("%d.%d", i, n))
		}
		if i%20 == 19 { // sockets' buffers hold some 200 of them
			eventually(t, "they arrive", func() bool { return endpoints.count("a") == 5*(i+1) })
		}
	}
	clients[7].send(string(make([]byte, maxDatagramSize))) // with its header too large to go on
	clients[7].send("after")
	for i, client := range clients {
		for n := range 5 {
			client.expect(fmt.Sprintf("a:%d.%d", i, n))
		}
	}
	clients[7].expect("a:after")
	if open := listener.sharedSocketAddresses(); len(open) != 1 || listener.Counts.Unsent.Load() != 1 || endpoints.count("a") != 501 {
		t.Errorf("sockets to %v, %d unsent, %d arrived", open, listener.Counts.Unsent.Load(), endpoints.count("a"))
	}
	if in, out := listener.Counts.In.Load(), listener.Counts.Forwarded.Load()+listener.Counts.Dropped(); in != out {
		t.Errorf("%d in, %d out or dropped", in, out)
	}
}

// At the end all flows are let go in the middle of what they send: the module hears of each
// that stood, and every datagram that was read went on, was dropped or still waits.
func TestShutdownAccountsForEveryDatagram(t *testing.T) {
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) {
			var listeners Listeners
			var dispatcher *fakeDispatcher
			var senders sync.WaitGroup
			stop := make(chan struct{})
			t.Run("serves", func(inner *testing.T) { // the fronts end with it, the clients later
				listeners, dispatcher, _ = startListeners(inner, 2, combine(mode, func(o *Options) { o.Table.Entries, o.Sockets, o.NewFlows.Burst = 200, 200, 200 }))
				var clients []testClient
				for range 50 {
					client := dial(t, listeners)
					client.send("0") // all have a place before they send as fast as they can
					client.expect("a:0")
					clients = append(clients, client)
				}
				for _, client := range clients {
					senders.Go(func() {
						for {
							select {
							case <-stop:
								return
							default:
								_, _ = client.Write([]byte("1")) // refused once they have ended
							}
						}
					})
				}
			})
			close(stop)
			senders.Wait()
			in, out := int64(0), int64(0)
			for _, listener := range listeners {
				in += listener.Counts.In.Load()
				out += listener.Counts.Forwarded.Load() + listener.Counts.Dropped() + int64(listener.options.QueueBudget.Count-listener.queueBudget.Count)
			}
			if in != out || len(dispatcher.ended) != len(dispatcher.placed) || len(dispatcher.placed) < 50 {
				t.Errorf("%d in, %d out, dropped or waiting; %d ended of %d that stood", in, out, len(dispatcher.ended), len(dispatcher.placed))
			}
		})
	}
}

// Several fronts at one address take each its flows, all of a flow, under names that no
// other has; together they keep to the bounds; and nobody else can have the address.
func TestListenersShareOneAddress(t *testing.T) {
	for name, mode := range socketModes {
		t.Run(name, func(t *testing.T) {
			const flows = 60
			listeners, dispatcher, endpoints := startListeners(t, 3, combine(mode, func(o *Options) {
				o.Table.Entries, o.Sockets, o.NewFlows.Burst, o.Table.Policy = 300, 300, 300, flowtable.RefuseNew
			}))
			for i := range flows {
				x := dial(t, listeners)
				for n := range 3 {
					x.send(fmt.Sprintf("%d.%d", i, n))
					x.expect(fmt.Sprintf("a:%d.%d", i, n))
				}
			}
			busy, known, forwarded := 0, 0, int64(0)
			for _, listener := range listeners {
				n, _ := listener.Len()
				known += n
				if n > 0 {
					busy++
				}
				forwarded += listener.Counts.Forwarded.Load()
			}
			if busy < 2 || known != flows || forwarded != 3*flows || endpoints.count("a") != 3*flows {
				t.Errorf("%d fronts have flows, %d in all, %d forwarded", busy, known, forwarded)
			}
			ids := map[string]bool{}
			dispatcher.mu.Lock()
			for _, x := range dispatcher.submitted {
				ids[x.PlacementRequest().ID] = true
			}
			dispatcher.mu.Unlock()
			if len(ids) != flows {
				t.Errorf("%d names for %d flows", len(ids), flows)
			}
			for _, n := range []int{1, 2} {
				if more, err := Open(Options{Listen: listeners.Addr()}, n, nil, nil); err == nil {
					t.Errorf("%d more at the same address: %v", n, more.Addr())
				}
			}
			endpoints.mu.Lock()
			endpoints.draining["a"] = true
			endpoints.mu.Unlock()
			dispatcher.placeAt("b")
			listeners.EndpointsChanged()
			if _, placed := listeners[0].Len(); placed != 0 {
				t.Error("a front has not heard of a drain")
			}
		})
	}
	var options Options
	options.Table.Entries, options.Sockets, options.QueueBudget, options.NewFlows = 100, 8, flowtable.QueueBudget{Count: 4, Bytes: 10}, flowtable.Pacer{Rate: 30, Burst: 2}
	if p := options.share(3); p.Table.Entries != 34 || p.Sockets != 2 || p.QueueBudget != (flowtable.QueueBudget{Count: 2, Bytes: 4}) || p.NewFlows.Rate != 10 || p.NewFlows.Burst != 1 {
		t.Errorf("a third of the bounds: %+v", p)
	}
	if a, b := newSourcePorts(0, 2), newSourcePorts(1, 2); a.first+a.count != b.first {
		t.Errorf("ports %+v and %+v", a, b)
	}
}

func TestRejectsUnspecifiedAddress(t *testing.T) {
	if _, err := Open(Options{Listen: netip.MustParseAddrPort("0.0.0.0:0")}, 1, nil, nil); err == nil {
		t.Error("replies would come from anywhere")
	}
}

func FuzzProxyHeader(f *testing.F) {
	four, six := netip.MustParseAddrPort("127.0.0.9:53"), netip.MustParseAddrPort("[::1]:7")
	f.Add(append(appendProxyHeader(nil, four, four, flowtable.Ref{}), "hello"...))
	f.Add(append(appendProxyHeader(nil, six, four, flowtable.Ref{Index: 7, Gen: 3}), "hello"...))
	f.Add([]byte(proxySignature))
	f.Fuzz(func(t *testing.T, b []byte) {
		src, dst, r, rest, err := parseProxyHeader(b)
		if err != nil {
			return
		}
		if r.Gen == 0 {
			r = flowtable.Ref{} // no flow's
		}
		again, to, r2, rest2, err := parseProxyHeader(append(appendProxyHeader(nil, src, dst, r), rest...))
		if err != nil || again.Port() != src.Port() || to.Addr().Unmap() != dst.Addr().Unmap() || r2 != r || !bytes.Equal(rest, rest2) {
			t.Errorf("%v -> %v, %v", src, again, err)
		}
	})
}
