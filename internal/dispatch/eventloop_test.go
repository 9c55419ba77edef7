package dispatch

import (
	"context"
	"sync"
	"testing"
	"time"

	"coralrelay/balance"
)

const testTimeout = 10 * time.Second // reached only by a test that fails

// With time counted from the start of the process, the start of an older server would be negative. The
// module would take that for a start long ago and send full load to a server in slow start.
func TestClockIsUnixTime(t *testing.T) {
	clock := NewClock()
	now := time.Now()
	if off := clock.At(now) - time.Duration(now.UnixNano()); off.Abs() > time.Second {
		t.Errorf("At(now) differs from Unix time by %v", off)
	}
	if got := clock.At(now.Add(time.Hour)) - clock.At(now); got != time.Hour {
		t.Errorf("an hour later At returns %v more", got)
	}
}

// fakeEndpoints records the calls of the loop to endpoints and to discovery.
type fakeEndpoints struct {
	started    chan string
	probed     chan string
	subscribed chan struct{}
}

func (e *fakeEndpoints) StartAttempt(_ Placement, _ int, server string, _ time.Time) {
	e.started <- server
}
func (e *fakeEndpoints) Probe(server string) { e.probed <- server }
func (e *fakeEndpoints) Subscribe()          { e.subscribed <- struct{}{} }

// receive waits for the next value and fails the test if none arrives within testTimeout.
func receive[T any](t *testing.T, channel <-chan T) (value T) {
	t.Helper()
	select {
	case value = <-channel:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for a value")
	}
	return value
}

// listOf returns a list update with ready servers.
func listOf(kind balance.ListKind, ids ...string) balance.ListUpdate {
	update := balance.ListUpdate{Kind: kind}
	for _, id := range ids {
		update.Entries = append(update.Entries, balance.ServerEntry{ID: id})
	}
	return update
}

// lightLoad returns the load report of a server with spare capacity.
func lightLoad() balance.LoadReport {
	load := balance.EmptyLoadReport
	load.Utilization = 0.1
	return load
}

// startWithEndpoints returns a running loop whose cached list has the servers s1 and s2.
func startWithEndpoints(t *testing.T) (*EventLoop, *fakeEndpoints) {
	t.Helper()
	endpoints := &fakeEndpoints{make(chan string, 16), make(chan string, 16), make(chan struct{}, 16)}
	loop := startLoop(t, endpoints, endpoints)
	loop.UpdateEndpoints(listOf(balance.ListCached, "s1", "s2"))
	return loop, endpoints
}

// startLoop returns a loop that runs until the test ends.
func startLoop(t testing.TB, prober Prober, discovery Discovery) *EventLoop {
	t.Helper()
	settings := balance.Settings{
		Instances:         1,
		Tick:              4 * time.Millisecond,
		SubscribeRequired: true,
		SubscribeTimeout:  time.Second,
		Classes: []balance.Class{
			{Name: "feed", LatencyObjective: 300 * time.Millisecond, Deadline: time.Second},
		},
		Rules: balance.Rules{
			DrainGrace:       time.Second,
			SlowStartWindow:  20 * time.Second,
			InitialCapacity:  0.2,
			OverloadMultiple: 3,
			OverloadDuration: time.Second,
		},
		Limits:        balance.Limits{ProbesAllowed: true, MaxAttempts: 3},
		LoadReporting: balance.LoadReporting{InProbeResults: true},
	}
	loop, err := New(NewClock(), 1, settings, prober, discovery)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); loop.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return loop
}

// fakePlacement closes done at its final answer.
type fakePlacement struct {
	Request
	settled sync.Once
	done    chan struct{}
}

func newFakePlacement(request Request) *fakePlacement {
	request.Class, request.Deadline = "feed", time.Now().Add(testTimeout)
	return &fakePlacement{Request: request, done: make(chan struct{})}
}

func (p *fakePlacement) PlacementRequest() *Request { return &p.Request }
func (p *fakePlacement) Reject(time.Duration) bool  { return p.Fail() }
func (p *fakePlacement) Migrate()                   {}
func (p *fakePlacement) Fail() (first bool) {
	p.settled.Do(func() { first = true; close(p.done) })
	return first
}

func submit(loop *EventLoop, endpoints *fakeEndpoints, request Request) *fakePlacement {
	placement := newFakePlacement(request)
	loop.Submit(placement, endpoints)
	return placement
}

// A drawn server is probed. After a failed connection, another server is drawn. After a reset there is no
// retry, as the request may have run: the placement gets its final answer.
func TestRetriesFailedConnectionElsewhereButNeverAfterReset(t *testing.T) {
	loop, endpoints := startWithEndpoints(t)
	receive(t, endpoints.subscribed) // the module requests the list
	placement := submit(loop, endpoints, Request{ID: "a"})
	first := receive(t, endpoints.probed)
	loop.ProbeEnded(first, balance.OK, time.Millisecond, lightLoad())
	if s := receive(t, endpoints.started); s != first {
		t.Fatalf("probed %s, started at %s", first, s)
	}
	loop.AttemptEnded(placement, 0, first, balance.ConnectFailed, time.Millisecond, balance.EmptyLoadReport)
	second := receive(t, endpoints.probed)
	loop.ProbeEnded(second, balance.OK, time.Millisecond, lightLoad())
	if s := receive(t, endpoints.started); s == first {
		t.Fatalf("the retry went to %s again", s)
	}
	loop.AttemptEnded(placement, 1, second, balance.Reset, time.Millisecond, balance.EmptyLoadReport)
	receive(t, placement.done)
	if len(endpoints.started) > 0 {
		t.Error("retried after a reset")
	}
}

// A constraint that allows no server is passed to the module, which rejects the placement immediately.
func TestRejectsImmediatelyWhenConstraintAllowsNoEndpoint(t *testing.T) {
	loop, endpoints := startWithEndpoints(t)
	constraint := &balance.ZoneConstraint{Zones: []balance.ZoneShare{{Zone: "far", Share: 1}}}
	receive(t, submit(loop, endpoints, Request{ID: "a", ZoneConstraint: constraint}).done)
	if len(endpoints.probed) > 0 {
		t.Error("a server was drawn")
	}
}

// A second placement with an id in use fails; the first is not affected.
func TestFailsSecondPlacementWithSameID(t *testing.T) {
	loop, endpoints := startWithEndpoints(t)
	first := submit(loop, endpoints, Request{ID: "a"})
	receive(t, endpoints.probed)
	receive(t, submit(loop, endpoints, Request{ID: "a"}).done)
	select {
	case <-first.done:
		t.Error("the first placement was answered too")
	default:
	}
}

// A placement that a server already holds is offered to that server only, and again after a failure that
// cannot have had an effect.
func TestReattachRetriesCurrentServerOnly(t *testing.T) {
	loop, endpoints := startWithEndpoints(t)
	placement := submit(loop, endpoints, Request{ID: "a", CurrentServer: "s7"})
	for range 2 {
		if s := receive(t, endpoints.started); s != "s7" {
			t.Fatalf("attempt started at %s, want s7", s)
		}
		loop.AttemptEnded(placement, 0, "s7", balance.ConnectFailed, 0, balance.EmptyLoadReport)
	}
	receive(t, endpoints.started)
	loop.AttemptEnded(placement, 0, "s7", balance.Reset, 0, balance.EmptyLoadReport)
	receive(t, placement.done)
}

// A placement whose server has been removed from the list fails immediately. It used to be offered to that
// server until its deadline, up to 40 s later.
func TestReattachFailsOnceServerIsGone(t *testing.T) {
	loop, endpoints := startWithEndpoints(t)
	loop.UpdateEndpoints(listOf(balance.ListFull, "s1", "s7"))
	placement := submit(loop, endpoints, Request{ID: "a", CurrentServer: "s7"})
	receive(t, endpoints.started)
	loop.AttemptEnded(placement, 0, "s7", balance.ConnectFailed, 0, balance.EmptyLoadReport)
	receive(t, endpoints.started) // the server is in the list: its process may restart
	removal := listOf(balance.ListDelta, "s7")
	removal.Entries[0].State = balance.Gone
	loop.UpdateEndpoints(removal)
	loop.AttemptEnded(placement, 0, "s7", balance.ConnectFailed, 0, balance.EmptyLoadReport)
	select {
	case <-placement.done:
	case s := <-endpoints.started:
		t.Errorf("offered again to %s, which has been removed", s)
	}
}

// If the end of a placement is reported before its establishment, the module still receives both in order,
// and the id can be used again.
func TestAcceptsEndReportedBeforeEstablishment(t *testing.T) {
	loop, endpoints := startWithEndpoints(t)
	placement := submit(loop, endpoints, Request{ID: "a", CurrentServer: "s1"})
	receive(t, endpoints.started)
	loop.PlacementEnded(placement, balance.OK)
	loop.AttemptEstablished(placement, 0, "s1", time.Millisecond)
	submit(loop, endpoints, Request{ID: "a"})
	receive(t, endpoints.probed)
}
