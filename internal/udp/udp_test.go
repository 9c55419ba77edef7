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

const patience = 10 * time.Second // no test waits this long unless it fails

// chooser stands in for the Core: it places each flow at the next hop that is named,
// or refuses it, or keeps it waiting.
type chooser struct {
	mu     sync.Mutex
	server string // empty: nobody is placed
	refuse bool
	asked  []dispatch.Placement
	ended  []balance.Outcome
	placed map[dispatch.Placement]string
	again  string // where a branch that has failed goes on; empty for nowhere
	front  dispatch.AttemptStarter
}

func (c *chooser) Submit(x dispatch.Placement, b dispatch.AttemptStarter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.asked, c.front = append(c.asked, x), b
	switch {
	case c.refuse:
		x.Reject(0)
	case c.server != "":
		b.StartAttempt(x, 0, c.server, x.PlacementRequest().Deadline)
	}
}
func (c *chooser) ClientGone(dispatch.Placement) {}
func (c *chooser) PlacementEnded(_ dispatch.Placement, o balance.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = append(c.ended, o)
}
func (c *chooser) AttemptEstablished(x dispatch.Placement, _ int, server string, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placed[x] = server
}
func (c *chooser) AttemptEnded(x dispatch.Placement, attempt int, _ string, _ balance.Outcome, _ time.Duration, _ balance.LoadReport) {
	c.mu.Lock()
	again := c.again
	c.mu.Unlock()
	if again == "" {
		x.Fail()
	} else {
		c.front.StartAttempt(x, attempt+1, again, x.PlacementRequest().Deadline)
	}
}
func (c *chooser) set(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server = server
}

// hops are next hops that echo what they get under their name.
type hops struct {
	mu      sync.Mutex
	addr    map[string]string
	leaving map[string]bool
	mute    map[string]bool // answers no probes
	hung    map[string]bool // answers nothing else
	got     map[string][]string
	conns   map[string]*net.UDPConn
}

func (h *hops) Address(s string) string { h.mu.Lock(); defer h.mu.Unlock(); return h.addr[s] }
func (h *hops) CanSend(s string, _ time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.leaving[s]
}
func (h *hops) IsResponsive(s string) bool              { h.mu.Lock(); defer h.mu.Unlock(); return !h.mute[s] }
func (h *hops) IsDraining(s string, now time.Time) bool { return !h.CanSend(s, now) }
func (h *hops) count(s string) int                      { h.mu.Lock(); defer h.mu.Unlock(); return len(h.got[s]) }

func (h *hops) add(t testing.TB, name string) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	h.mu.Lock()
	h.addr[name], h.conns[name] = conn.LocalAddr().String(), conn
	h.mu.Unlock()
	go func() {
		b := make([]byte, maxDatagramSize)
		for {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			h.mu.Lock()
			head, text := []byte{}, b[:n]
			if _, _, _, rest, err := parseProxyHeader(text); err == nil { // it says whose its answer is
				head, text = bytes.Clone(text[:n-len(rest)]), rest
			}
			h.got[name] = append(h.got[name], string(text[:min(len(text), 20)]))
			hung := h.hung[name]
			h.mu.Unlock()
			if hung {
				continue
			}
			answer := append(append(head, name+":"...), text...)
			_, _ = conn.WriteToUDPAddrPort(answer[:min(len(answer), maxDatagramSize)], from)
		}
	}()
}

func front(t testing.TB, change func(*Options)) (*Listener, *chooser, *hops) {
	t.Helper()
	all, c, h := fronts(t, 1, change)
	return all[0], c, h
}

func fronts(t testing.TB, n int, change func(*Options)) (Listeners, *chooser, *hops) {
	t.Helper()
	o := Options{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Class: "feed", Deadline: time.Second, Sockets: 100,
		Table:     flowtable.Options{Entries: 50, IdleTimeout: 10 * time.Second, SettledDatagrams: 1},
		FlowQueue: flowtable.QueueLimit{Count: 3, Bytes: 1 << 17}, QueueBudget: flowtable.QueueBudget{Count: 100, Bytes: 1 << 20}, NewFlows: flowtable.Pacer{Rate: 1000, Burst: 10}, ReplacedFlows: flowtable.Pacer{Rate: 1000, Burst: 10}}
	if change != nil {
		change(&o)
	}
	c := &chooser{server: "a", placed: map[dispatch.Placement]string{}}
	h := &hops{addr: map[string]string{}, leaving: map[string]bool{}, mute: map[string]bool{}, hung: map[string]bool{}, got: map[string][]string{}, conns: map[string]*net.UDPConn{}}
	h.add(t, "a")
	h.add(t, "b")
	all, err := Open(o, n, c, h)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); all.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		for _, f := range all {
			if _, placed := f.Len(); placed != 0 {
				t.Errorf("%d sockets are left", placed)
			}
		}
	})
	return all, c, h
}

// modes are the ways to next hops; a shared socket's replies need the header.
var modes = map[string]func(*Options){"a socket each": nil, "shared": shared}

func shared(o *Options) { o.SharedSockets, o.ProxyHeader = true, true }

// both changes options for a mode and a test.
func both(mode, more func(*Options)) func(*Options) {
	return func(o *Options) {
		if mode != nil {
			mode(o)
		}
		more(o)
	}
}

type client struct {
	t *testing.T
	*net.UDPConn
}

func dial(t *testing.T, f interface{ Addr() netip.AddrPort }) client {
	t.Helper()
	conn, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.Addr()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(patience))
	return client{t, conn}
}

func (c client) send(s string) {
	c.t.Helper()
	if _, err := c.Write([]byte(s)); err != nil {
		c.t.Fatal(err)
	}
}

func (c client) expect(want string) {
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
		if time.Since(begun) > patience {
			t.Fatal("never: " + what)
		}
	}
}

// Datagrams of a flow go to its next hop in order, whatever their size, and replies
// to its own client.
func TestForwards(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) { testForwards(t, mode) })
	}
}

func testForwards(t *testing.T, mode func(*Options)) {
	f, _, h := front(t, mode)
	one, two := dial(t, f), dial(t, f)
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
	eventually(t, "the large one arrives", func() bool { return h.count("a") == 8 })
	if n := f.Counts.In.Load(); n != 8 || f.Counts.Forwarded.Load() != 8 || f.Counts.Opened.Load() != 2 {
		t.Errorf("%d in, %d forwarded, %d flows", n, f.Counts.Forwarded.Load(), f.Counts.Opened.Load())
	}
}

// Nothing reaches a next hop that drains: the flow goes on elsewhere, in mid-flow.
func TestDrain(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) { testDrain(t, mode) })
	}
}

func testDrain(t *testing.T, mode func(*Options)) {
	f, c, h := front(t, mode)
	x := dial(t, f)
	x.send("1")
	x.expect("a:1")
	c.set("b")
	h.mu.Lock()
	h.leaving["a"] = true
	h.mu.Unlock()
	x.send("2") // the guard at the send sees it, though nobody has told the front
	x.expect("b:2")
	h.mu.Lock()
	h.leaving["a"], h.leaving["b"] = false, true
	h.mu.Unlock()
	c.set("a")
	f.EndpointsChanged() // and told, it does not wait for a datagram to let the next hop go
	eventually(t, "the placement ends", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.ended) == 2
	})
	x.send("3")
	x.expect("a:3")
	if h.count("a") != 2 || h.count("b") != 1 {
		t.Errorf("a got %d, b %d", h.count("a"), h.count("b"))
	}
}

// A next hop whose port nobody has refuses: the module hears of a reset, and the
// flow is placed again.
func TestRefused(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) { testRefused(t, mode) })
	}
}

func testRefused(t *testing.T, mode func(*Options)) {
	f, c, h := front(t, mode)
	x := dial(t, f)
	x.send("1")
	x.expect("a:1")
	c.set("b")
	h.conns["a"].Close()
	for n := 0; ; n++ { // what is sent before the refusal is seen is lost
		x.send("2")
		_ = x.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		b := make([]byte, 100)
		if n, err := x.Read(b); err == nil && string(b[:n]) == "b:2" {
			break
		}
		if n > 200 {
			t.Fatal("never placed again")
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended) != 1 || c.ended[0] != balance.Reset {
		t.Errorf("told %v", c.ended)
	}
}

// The first datagrams wait, the oldest gives way, and a refused flow's are dropped;
// the counts add up.
func TestWaits(t *testing.T) {
	f, c, _ := front(t, nil)
	c.set("")
	x := dial(t, f)
	for _, s := range []string{"1", "2", "3", "4", "5"} {
		x.send(s)
	}
	var asked []dispatch.Placement
	eventually(t, "all came", func() bool { // what is asked goes by way of the front's outbox
		c.mu.Lock()
		defer c.mu.Unlock()
		asked = c.asked
		return f.Counts.In.Load() == 5 && len(asked) > 0
	})
	if len(asked) != 1 || f.Counts.Queue.Load() != 2 {
		t.Fatalf("asked %d times, %d dropped", len(asked), f.Counts.Queue.Load())
	}
	f.StartAttempt(asked[0], 0, "a", time.Now().Add(time.Second))
	for _, s := range []string{"3", "4", "5"} {
		x.expect("a:" + s)
	}
	c.mu.Lock()
	c.refuse = true
	c.mu.Unlock()
	y := dial(t, f)
	y.send("1")
	eventually(t, "it is refused", func() bool { return f.Counts.Refused.Load() == 1 })
	if in, out := f.Counts.In.Load(), f.Counts.Forwarded.Load()+f.Counts.Dropped(); in != out {
		t.Errorf("%d in, %d out or dropped", in, out)
	}
	if known, placed := f.Len(); known != 1 || placed != 1 {
		t.Errorf("%d known, %d placed", known, placed)
	}
}

// A drain is told while the first datagrams of thousands of flows wait for a decision, half
// of which has been made: nothing reaches who drains, and nothing is lost. A client whose
// port is another from then on is another flow.
func TestDrainWhileMostWait(t *testing.T) {
	const flows = 2000
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			f, c, h := front(t, both(mode, func(o *Options) {
				o.Table.Entries, o.Sockets, o.QueueBudget.Count, o.NewFlows.Burst = 2*flows, 2*flows, 2*flows, 2*flows
				o.Deadline = time.Minute
			}))
			c.set("")
			clients := make([]client, flows)
			for i := range clients {
				clients[i] = dial(t, f)
				clients[i].send(fmt.Sprint(i))
				if i%100 == 99 { // sockets' buffers hold some 200
					eventually(t, "they wait", func() bool { return f.Counts.In.Load() == int64(i+1) })
				}
			}
			eventually(t, "all are asked for", func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.asked) == flows })
			c.mu.Lock()
			asked := c.asked
			c.server, c.again = "b", "b"
			c.mu.Unlock()
			h.mu.Lock()
			h.leaving["a"] = true
			h.mu.Unlock()
			f.EndpointsChanged()
			for i, x := range asked {
				f.StartAttempt(x, 0, []string{"a", "b"}[i%2], x.PlacementRequest().Deadline)
				if i%100 == 99 {
					eventually(t, "they arrive", func() bool { return h.count("b") == i+1 })
				}
			}
			for i, x := range clients {
				x.expect(fmt.Sprint("b:", i))
			}
			rebound := dial(t, f)
			rebound.send("1")
			rebound.expect("b:1")
			if n := h.count("a"); n != 0 || f.Counts.Opened.Load() != flows+1 || f.Counts.Dropped() != 0 {
				t.Errorf("%d reached who drains, %d flows, %d dropped", n, f.Counts.Opened.Load(), f.Counts.Dropped())
			}
		})
	}
}

// Flows that are silent are forgotten with their sockets; what a next hop still
// answers reaches nobody.
func TestExpiry(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) { testExpiry(t, mode) })
	}
}

func testExpiry(t *testing.T, mode func(*Options)) {
	f, _, h := front(t, both(mode, func(o *Options) { o.Table.IdleTimeout = 64 * time.Millisecond }))
	x := dial(t, f)
	x.send("1")
	x.expect("a:1")
	eventually(t, "it expires", func() bool { known, placed := f.Len(); return known == 0 && placed == 0 })
	x.send("2") // the same client, a moment later: a new flow
	x.expect("a:2")
	if f.Counts.Opened.Load() != 2 || h.count("a") != 2 {
		t.Errorf("%d flows", f.Counts.Opened.Load())
	}
}

func TestFullAndLimited(t *testing.T) {
	f, _, _ := front(t, func(o *Options) {
		o.Table.Entries, o.Table.Policy = 2, flowtable.RefuseNew
		o.Sources = flowtable.SourceOptions{Slots: 64, Rate: 0.001, Burst: 3}
	})
	for range 2 {
		x := dial(t, f)
		x.send("1")
		x.expect("a:1")
	}
	dial(t, f).send("1")
	eventually(t, "the table is full", func() bool { return f.Counts.Full.Load() == 1 })
	for range 8 {
		dial(t, f).send("1")
	}
	eventually(t, "the source is limited", func() bool { return f.Counts.Limited.Load() > 0 })
}

// A next hop that falls silent loses its flows to another: one that used to answer, though
// its probes are fine; one whose probes fail, though it never answered; one that does not
// answer echoes.
func TestSilent(t *testing.T) {
	for name, c := range map[string]struct {
		echo         string
		hang, probes bool
	}{"stops answering": {"", true, false}, "probes fail": {"", false, true}, "echoes fail": {"are you there", true, false}} {
		for way, mode := range modes {
			t.Run(name+", "+way, func(t *testing.T) {
				t.Parallel()
				f, core, h := front(t, both(mode, func(o *Options) {
					o.Silence = flowtable.SilenceOptions{After: 300 * time.Millisecond, Datagrams: 5}
					if o.Echo = c.echo; c.echo != "" {
						o.Silence.Datagrams = 0
					}
				}))
				x := dial(t, f)
				for range 40 {
					x.send("1")
					x.expect("a:1")
				}
				core.set("b")
				h.mu.Lock()
				h.hung["a"], h.mute["a"] = c.hang, c.probes
				h.mu.Unlock()
				for begun := time.Now(); h.count("b") == 0; {
					x.send("2")
					_ = x.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
					_, _ = x.Read(make([]byte, 100))
					if time.Since(begun) > patience {
						t.Fatal("it never left")
					}
				}
				core.mu.Lock()
				defer core.mu.Unlock()
				if len(core.ended) != 1 || core.ended[0] != balance.Reset || f.Counts.Silent.Load() != 1 {
					t.Errorf("told %v, %d flows lost to silence", core.ended, f.Counts.Silent.Load())
				}
			})
		}
	}
}

// Over shared sockets an answer reaches a client only while its flow stands at the next
// hop that gives it, and without a header nobody.
func TestStaleReplies(t *testing.T) {
	f, c, h := front(t, shared)
	one, two := dial(t, f), dial(t, f)
	one.send("1")
	one.expect("a:1")
	c.set("b")
	two.send("1")
	two.expect("b:1")
	// What a next hop says of its own accord, over the socket that the node has there.
	h.mu.Lock()
	nodeAt := map[string]netip.AddrPort{}
	for s, out := range f.socketsOf() {
		nodeAt[s] = out
	}
	h.mu.Unlock()
	say := func(hop string, to client, text string) {
		t.Helper()
		client := to.LocalAddr().(*net.UDPAddr).AddrPort()
		d := append(appendProxyHeader(nil, client, f.Addr(), f.refOf(client)), text...)
		if _, err := h.conns[hop].WriteToUDPAddrPort(d, nodeAt[hop]); err != nil {
			t.Fatal(err)
		}
	}
	stray := func(n int64) {
		t.Helper()
		eventually(t, "what is stray is counted", func() bool { return f.Counts.UnmatchedReplies.Load() == n })
	}
	say("b", one, "stands at a") // nor at another client's next hop
	stray(1)
	if _, err := h.conns["a"].WriteToUDPAddrPort([]byte("no header"), nodeAt["a"]); err != nil {
		t.Fatal(err)
	}
	stray(2)
	if _, err := h.conns["a"].WriteToUDPAddrPort(make([]byte, 3*typicalDatagramSize), nodeAt["a"]); err != nil {
		t.Fatal(err)
	}
	stray(3)
	stranger := dial(t, f) // has sent nothing
	say("a", stranger, "unknown")
	stray(4)
	say("a", one, "of its own accord")
	one.expect("of its own accord")
	old := f.refOf(one.LocalAddr().(*net.UDPAddr).AddrPort())
	old.Gen-- // a flow that had this place, and this client's address, before
	if _, err := h.conns["a"].WriteToUDPAddrPort(append(appendProxyHeader(nil, one.LocalAddr().(*net.UDPAddr).AddrPort(), f.Addr(), old), "old"...), nodeAt["a"]); err != nil {
		t.Fatal(err)
	}
	stray(5)
	h.mu.Lock()
	h.leaving["a"] = true
	h.mu.Unlock()
	one.send("2") // moves to b
	one.expect("b:2")
	if n := f.Counts.UnmatchedReplies.Load(); n != 5 {
		t.Errorf("%d stray", n)
	}
	if open := f.socketsOf(); len(open) != 1 {
		t.Errorf("sockets to %v", open)
	}
}

// refOf is a client's flow; none if it is not known.
func (l *Listener) refOf(client netip.AddrPort) flowtable.Ref {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, _ := l.table.Lookup(flowtable.Key{Addr: client.Addr().As16(), Port: client.Port()})
	return r
}

// socketsOf is where the front has shared sockets, by next hop.
func (l *Listener) socketsOf() map[string]netip.AddrPort {
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
func TestSharedBatches(t *testing.T) {
	f, _, h := front(t, both(shared, func(o *Options) {
		o.Sockets, o.Table.Entries, o.NewFlows.Burst, o.FlowQueue.Count, o.QueueBudget.Count = 2, 500, 500, 100, 1000
	}))
	clients := make([]client, 100)
	for i := range clients {
		clients[i] = dial(t, f)
		for n := range 5 {
			clients[i].send(fmt.Sprintf("%d.%d", i, n))
		}
		if i%20 == 19 { // sockets' buffers hold some 200 of them
			eventually(t, "they arrive", func() bool { return h.count("a") == 5*(i+1) })
		}
	}
	clients[7].send(string(make([]byte, maxDatagramSize))) // with its header too large to go on
	clients[7].send("after")
	for i, c := range clients {
		for n := range 5 {
			c.expect(fmt.Sprintf("a:%d.%d", i, n))
		}
	}
	clients[7].expect("a:after")
	if open := f.socketsOf(); len(open) != 1 || f.Counts.Unsent.Load() != 1 || h.count("a") != 501 {
		t.Errorf("sockets to %v, %d unsent, %d arrived", open, f.Counts.Unsent.Load(), h.count("a"))
	}
	if in, out := f.Counts.In.Load(), f.Counts.Forwarded.Load()+f.Counts.Dropped(); in != out {
		t.Errorf("%d in, %d out or dropped", in, out)
	}
}

// At the end all flows are let go in the middle of what they send: the module hears of each
// that stood, and every datagram that was read went on, was dropped or still waits.
func TestEndsInFlight(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			var all Listeners
			var c *chooser
			var senders sync.WaitGroup
			stop := make(chan struct{})
			t.Run("serves", func(inner *testing.T) { // the fronts end with it, the clients later
				all, c, _ = fronts(inner, 2, both(mode, func(o *Options) { o.Table.Entries, o.Sockets, o.NewFlows.Burst = 200, 200, 200 }))
				var clients []client
				for range 50 {
					x := dial(t, all)
					x.send("0") // all have a place before they send as fast as they can
					x.expect("a:0")
					clients = append(clients, x)
				}
				for _, x := range clients {
					senders.Go(func() {
						for {
							select {
							case <-stop:
								return
							default:
								_, _ = x.Write([]byte("1")) // refused once they have ended
							}
						}
					})
				}
			})
			close(stop)
			senders.Wait()
			in, out := int64(0), int64(0)
			for _, f := range all {
				in += f.Counts.In.Load()
				out += f.Counts.Forwarded.Load() + f.Counts.Dropped() + int64(f.options.QueueBudget.Count-f.queueBudget.Count)
			}
			if in != out || len(c.ended) != len(c.placed) || len(c.placed) < 50 {
				t.Errorf("%d in, %d out, dropped or waiting; %d ended of %d that stood", in, out, len(c.ended), len(c.placed))
			}
		})
	}
}

// Several fronts at one address take each its flows, all of a flow, under names that no
// other has; together they keep to the bounds; and nobody else can have the address.
func TestSeveralFronts(t *testing.T) {
	for name, mode := range modes {
		t.Run(name, func(t *testing.T) {
			const flows = 60
			all, c, h := fronts(t, 3, both(mode, func(o *Options) {
				o.Table.Entries, o.Sockets, o.NewFlows.Burst, o.Table.Policy = 300, 300, 300, flowtable.RefuseNew
			}))
			for i := range flows {
				x := dial(t, all)
				for n := range 3 {
					x.send(fmt.Sprintf("%d.%d", i, n))
					x.expect(fmt.Sprintf("a:%d.%d", i, n))
				}
			}
			busy, known, forwarded := 0, 0, int64(0)
			for _, f := range all {
				n, _ := f.Len()
				known += n
				if n > 0 {
					busy++
				}
				forwarded += f.Counts.Forwarded.Load()
			}
			if busy < 2 || known != flows || forwarded != 3*flows || h.count("a") != 3*flows {
				t.Errorf("%d fronts have flows, %d in all, %d forwarded", busy, known, forwarded)
			}
			ids := map[string]bool{}
			c.mu.Lock()
			for _, x := range c.asked {
				ids[x.PlacementRequest().ID] = true
			}
			c.mu.Unlock()
			if len(ids) != flows {
				t.Errorf("%d names for %d flows", len(ids), flows)
			}
			for _, n := range []int{1, 2} {
				if more, err := Open(Options{Listen: all.Addr()}, n, nil, nil); err == nil {
					t.Errorf("%d more at the same address: %v", n, more.Addr())
				}
			}
			h.mu.Lock()
			h.leaving["a"] = true
			h.mu.Unlock()
			c.set("b")
			all.EndpointsChanged()
			if _, placed := all[0].Len(); placed != 0 {
				t.Error("a front has not heard of a drain")
			}
		})
	}
	var tight Options
	tight.Table.Entries, tight.Sockets, tight.QueueBudget, tight.NewFlows = 100, 8, flowtable.QueueBudget{Count: 4, Bytes: 10}, flowtable.Pacer{Rate: 30, Burst: 2}
	if p := tight.share(3); p.Table.Entries != 34 || p.Sockets != 2 || p.QueueBudget != (flowtable.QueueBudget{Count: 2, Bytes: 4}) || p.NewFlows.Rate != 10 || p.NewFlows.Burst != 1 {
		t.Errorf("a third of the bounds: %+v", p)
	}
	if a, b := newSourcePorts(0, 2), newSourcePorts(1, 2); a.first+a.count != b.first {
		t.Errorf("ports %+v and %+v", a, b)
	}
}

func TestListensOnOneAddress(t *testing.T) {
	if _, err := Open(Options{Listen: netip.MustParseAddrPort("0.0.0.0:0")}, 1, nil, nil); err == nil {
		t.Error("replies would come from anywhere")
	}
}

func FuzzProxy(f *testing.F) {
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
