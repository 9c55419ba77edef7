package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
)

const patience = 10 * time.Second // no test waits this long unless it fails

// Counted from the start of the process, a server's start an hour ago would be
// negative: the module would read it as long ago and send a cold server all.
func TestClockIsUnixTime(t *testing.T) {
	c := NewClock()
	now := time.Now()
	if got := c.At(now); got < time.Duration(now.UnixNano())-time.Second || got > time.Duration(now.UnixNano())+time.Second {
		t.Errorf("now is %v, want Unix time", got)
	}
	if got := c.At(now.Add(time.Hour)) - c.At(now); got != time.Hour {
		t.Errorf("an hour counts %v", got)
	}
}

// parties stand in for the next hops and the roster.
type parties struct {
	started chan string
	probed  chan string
	asked   chan struct{}
}

func (p *parties) StartAttempt(_ Placement, _ int, server string, _ time.Time) {
	p.started <- server
}
func (p *parties) Probe(server string) { p.probed <- server }
func (p *parties) Subscribe()          { p.asked <- struct{}{} }

func wait[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(patience):
		t.Fatal("nothing came")
	}
	return v
}

func start(t *testing.T) (*EventLoop, *parties) {
	t.Helper()
	p := &parties{make(chan string, 16), make(chan string, 16), make(chan struct{}, 16)}
	c := startCore(t, p, p)
	c.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListCached, Entries: []balance.ServerEntry{{ID: "s1"}, {ID: "s2"}}})
	return c, p
}

func startCore(t testing.TB, p Prober, r Discovery) *EventLoop {
	t.Helper()
	c, err := New(NewClock(), 1, balance.Settings{Instances: 1, Tick: 4 * time.Millisecond, SubscribeRequired: true, SubscribeTimeout: time.Second,
		Classes: []balance.Class{{Name: "feed", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second}},
		Rules:   balance.Rules{DrainGrace: time.Second, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadDuration: time.Second},
		Limits:  balance.Limits{ProbesAllowed: true, MaxAttempts: 3}, LoadReporting: balance.LoadReporting{InProbeResults: true}}, p, r)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return c
}

// item keeps its final answer.
type item struct {
	Request
	settled sync.Once
	done    chan struct{}
}

func (x *item) PlacementRequest() *Request { return &x.Request }
func (x *item) Reject(time.Duration) bool  { return x.Fail() }
func (x *item) Migrate()                   {}
func (x *item) Fail() (first bool) {
	x.settled.Do(func() { first = true; close(x.done) })
	return first
}

func submit(c *EventLoop, p *parties, r Request) *item {
	r.Class, r.Deadline = "feed", time.Now().Add(patience)
	x := &item{Request: r, done: make(chan struct{})}
	c.Submit(x, p)
	return x
}

// A draw is a probe, a failed connection starts the drawing anew elsewhere, and
// a reset is never sent again: the transaction is answered.
func TestAttempts(t *testing.T) {
	c, p := start(t)
	wait(t, p.asked) // the module asks for the list
	load := balance.EmptyLoadReport
	load.Utilization = 0.1
	x := submit(c, p, Request{ID: "a"})
	first := wait(t, p.probed)
	c.ProbeEnded(first, balance.OK, time.Millisecond, load)
	if s := wait(t, p.started); s != first {
		t.Fatalf("probed %s, started at %s", first, s)
	}
	c.AttemptEnded(x, 0, first, balance.ConnectFailed, time.Millisecond, balance.EmptyLoadReport)
	second := wait(t, p.probed)
	c.ProbeEnded(second, balance.OK, time.Millisecond, load)
	if s := wait(t, p.started); s == first {
		t.Fatalf("%s was tried again", s)
	}
	c.AttemptEnded(x, 1, second, balance.Reset, time.Millisecond, balance.EmptyLoadReport)
	wait(t, x.done)
	if len(p.started) > 0 {
		t.Error("sent again after a reset")
	}
}

// A bound that leaves no next hop is the module's to answer, at once.
func TestBoundReachesTheModule(t *testing.T) {
	c, p := start(t)
	wait(t, submit(c, p, Request{ID: "a", Bound: &balance.ZoneConstraint{Zones: []balance.ZoneShare{{Zone: "far", Share: 1}}}}).done)
	if len(p.probed) > 0 {
		t.Error("a next hop was drawn")
	}
}

// A second transaction of an id in use is failed, and the first goes on.
func TestIDInUse(t *testing.T) {
	c, p := start(t)
	first := submit(c, p, Request{ID: "a"})
	wait(t, p.probed)
	wait(t, submit(c, p, Request{ID: "a"}).done)
	select {
	case <-first.done:
		t.Error("the first was answered too")
	default:
	}
}

// A connection that its next hop holds already goes there and nowhere else, and
// is offered again while that is harmless.
func TestBackHome(t *testing.T) {
	c, p := start(t)
	x := submit(c, p, Request{ID: "a", CurrentServer: "s7"})
	for range 2 {
		if s := wait(t, p.started); s != "s7" {
			t.Fatalf("started at %s", s)
		}
		c.AttemptEnded(x, 0, "s7", balance.ConnectFailed, 0, balance.EmptyLoadReport)
	}
	wait(t, p.started)
	c.AttemptEnded(x, 0, "s7", balance.Reset, 0, balance.EmptyLoadReport)
	wait(t, x.done)
}

// Nobody can take back a connection whose next hop is gone: its caller hears so at
// once. It was offered again until its deadline, up to 40 s later.
func TestHomeThatIsGone(t *testing.T) {
	c, p := start(t)
	list := []balance.ServerEntry{{ID: "s1"}, {ID: "s7"}}
	c.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListFull, Entries: list})
	x := submit(c, p, Request{ID: "a", CurrentServer: "s7"})
	wait(t, p.started)
	c.AttemptEnded(x, 0, "s7", balance.ConnectFailed, 0, balance.EmptyLoadReport)
	wait(t, p.started) // it is named: its process may be back in a moment
	c.UpdateEndpoints(balance.ListUpdate{Kind: balance.ListDelta, Entries: []balance.ServerEntry{{ID: "s7", State: balance.Gone}}})
	c.AttemptEnded(x, 0, "s7", balance.ConnectFailed, 0, balance.EmptyLoadReport)
	select {
	case <-x.done:
	case s := <-p.started:
		t.Errorf("offered to %s again, which is gone", s)
	}
}

// A connection may end before its branch has said that it stood: the module
// still hears of both in order, and the id is free again.
func TestEndToldBeforeItsStart(t *testing.T) {
	c, p := start(t)
	x := submit(c, p, Request{ID: "a", CurrentServer: "s1"})
	wait(t, p.started)
	c.PlacementEnded(x, balance.OK)
	c.AttemptEstablished(x, 0, "s1", time.Millisecond)
	submit(c, p, Request{ID: "a"})
	wait(t, p.probed)
}
