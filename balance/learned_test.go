package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// What one process has learned another goes on by, but not of a server that has started
// anew since, and nothing that can't be true.
func TestInheritedState(t *testing.T) {
	set := testSettings()
	d := newDriver(t, set, "a", "b", "c")
	loads := map[string]float64{"a": 0.6, "b": 0.6, "c": 0.6}
	for i := range 12 {
		placeRequest(d, fmt.Sprint("r", i), loads)
	}
	d.handle(ProbeResult{Server: "b", Outcome: TimedOut, LoadReport: EmptyLoadReport})
	d.handle(ProbeResult{Server: "b", Outcome: TimedOut, LoadReport: EmptyLoadReport})
	m := d.balancer.LearnedState(d.now)
	next := func(m LearnedState) *driver {
		n := newDriver(t, set, "a", "b", "c")
		n.now = d.now
		n.handle(ListUpdate{Entries: []ServerEntry{{ID: "c", StartedAt: n.now}}})
		n.handle(InheritedState{m})
		return n
	}
	n := next(m)
	if n.balancer.AvoidedServers() != 1 || n.balancer.fleet.meanLoad != d.balancer.fleet.meanLoad || n.balancer.fleet.probeRTT != d.balancer.fleet.probeRTT {
		t.Errorf("%d avoided, usual %v, trip %v; want 1, %v, %v", n.balancer.AvoidedServers(), n.balancer.fleet.meanLoad, n.balancer.fleet.probeRTT, d.balancer.fleet.meanLoad, d.balancer.fleet.probeRTT)
	}
	sent := func(b *Balancer, id string) float64 { return b.servers.byID[id].recentAttempts.value(n.now) }
	if sent(n.balancer, "a") == 0 || sent(n.balancer, "a") != sent(d.balancer, "a") || sent(n.balancer, "c") != 0 {
		t.Errorf("sent a %v, want %v; and c, which is another process, %v", sent(n.balancer, "a"), sent(d.balancer, "a"), sent(n.balancer, "c"))
	}
	n.handle(InheritedState{m}) // a third process was beside these
	if sent(n.balancer, "a") != 2*sent(d.balancer, "a") || n.balancer.AvoidedServers() != 1 {
		t.Errorf("what two have sent: %v, %d avoided", sent(n.balancer, "a"), n.balancer.AvoidedServers())
	}
	for name, change := range map[string]func(m *LearnedState){
		"no number":     func(m *LearnedState) { m.MeanLoad = math.NaN() },
		"endless":       func(m *LearnedState) { m.RecentPlacements = math.Inf(1) },
		"negative":      func(m *LearnedState) { m.Servers[1].RecentAttempts = -1 },
		"not yet there": func(m *LearnedState) { m.Age = -1 },
	} {
		bad := m
		bad.Servers = slices.Clone(m.Servers)
		change(&bad)
		if n := next(bad); sent(n.balancer, "a") != 0 || n.balancer.fleet.meanLoad != 0 || n.balancer.AvoidedServers() != 0 {
			t.Errorf("%s: part of it was taken", name)
		}
	}
}

// Other settings hold for what is asked from then on: fewer attempts for all, also for
// who waits for one; another effect or deadline only for who comes later.
func TestSettingsChanged(t *testing.T) {
	set := testSettings()
	set.Limits.MaxAttempts = 4
	set.Classes = []Class{{Name: "c", LatencyObjective: 300 * ms, Deadline: time.Second}}
	d := newDriver(t, set, "a", "b", "c", "d")
	loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}
	fail := func(id string, n int, o Outcome) []Action {
		r := d.balancer.requests.byID[id]
		return d.handle(AttemptEnded{ID: id, Attempt: n, Server: r.server.ID, Outcome: o, LoadReport: EmptyLoadReport})
	}
	retry := func(id string, actions []Action) {
		t.Helper()
		for len(actionsOf[Attempt](actions)) == 0 {
			p := actionsOf[Probe](actions)
			if len(p) == 0 {
				t.Fatalf("%s: %v", id, actions)
			}
			actions = d.handle(ProbeResult{Server: p[0].Server, Outcome: OK, Latency: ms, LoadReport: loadReport(0.1, 5)})
		}
	}
	placeRequest(d, "old", loads)
	placeRequest(d, "waits", loads)
	retry("old", fail("old", 0, Errored))
	waits := fail("waits", 0, AtCapacity) // draws again, and waits for a probe
	if len(actionsOf[Probe](waits)) == 0 {
		t.Fatalf("%v", waits)
	}

	next := set
	next.Limits.MaxAttempts = 1
	next.Classes = []Class{{Name: "c", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent}, {Name: "new", LatencyObjective: 300 * ms, Deadline: time.Second}}
	if got := actionsOf[Reject](d.handle(SettingsChanged{next})); len(got) != 1 || got[0].ID != "waits" {
		t.Errorf("of those that have made as many as are allowed now, refused: %v", got)
	}
	if got := fail("old", 1, Errored); len(actionsOf[Reject](got)) != 1 {
		t.Errorf("an old request, whose repeats do no harm: %v", got)
	}
	placeRequest(d, "later", loads)
	if got := fail("later", 0, Errored); len(actionsOf[Fail](got)) != 1 {
		t.Errorf("a request of the stricter class: %v", got)
	}
	next.Limits.MaxAttempts = 2
	d.handle(SettingsChanged{next})
	placeRequest(d, "again", loads)
	retry("again", fail("again", 0, AtCapacity))
	if d.balancer.classes["new"] == nil || len(d.balancer.classes) != 2 {
		t.Errorf("classes %v", d.balancer.classes)
	}
}

func TestSettingsValidate(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"negative grace": func(s *Settings) { s.Rules.DrainGrace = -1 },
		"cold share":     func(s *Settings) { s.Rules.InitialCapacity = 2 },
		"effect":         func(s *Settings) { s.Classes[0].Idempotency = 9 },
	} {
		set := testSettings()
		spoil(&set)
		if _, err := New(1, set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestLogIsThrottled(t *testing.T) {
	d := newDriver(t, testSettings())
	var lines []Log
	for i := range 40 { // no server for 20 seconds
		d.sendRequest(fmt.Sprint("r", i))
		lines = append(lines, actionsOf[Log](d.runUntil(d.now+500*ms))...)
	}
	if len(lines) < 1 || len(lines) > 2 {
		t.Errorf("%d lines in 20 seconds, want 1 or 2: %v", len(lines), lines)
	}
}

// An hour back, sums that fade over seconds grew beyond all numbers.
func TestClockSteppingBack(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.now = 10 * time.Hour
	loads := map[string]float64{"a": 0.3, "b": 0.3}
	for i := range 20 {
		placeRequest(d, fmt.Sprint("r", i), loads)
		d.now += 100 * ms
	}
	failed := ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport}
	d.handle(failed)
	d.now -= 2 * time.Hour
	d.handle(failed)
	d.now += 2 * time.Hour
	for i := range 20 {
		if _, at := placeRequest(d, fmt.Sprint("q", i), loads); at == "" {
			t.Fatal("nothing is placed any more")
		}
		d.now += 100 * ms
	}
	for _, s := range d.balancer.servers.ready {
		if load, share := d.balancer.estimatedLoad(s), d.balancer.drawShare(&request{}, s); !(load < 1) || !(share > 0.05) {
			t.Errorf("%s is at %v and is left %v of its draws", s.ID, load, share)
		}
	}
}

// After silence of hours nothing is left of what was usual, and nothing is missed.
func TestPlacesAfterHoursOfSilence(t *testing.T) {
	d := newDriver(t, testSettings())
	for round := range 3 {
		d.updateList(ListFull, ServerEntry{ID: "a", StartedAt: d.now}, ServerEntry{ID: "b", StartedAt: d.now})
		placed := 0
		follow := func(actions []Action) {
			for len(actions) > 0 {
				var next []Action
				for _, p := range actionsOf[Probe](actions) {
					next = append(next, d.answerProbe(p.Server, 0.1)...)
				}
				for _, a := range actionsOf[Attempt](actions) { // it does not last
					placed++
					next = append(next, d.handle(ConnectionEstablished{ID: a.ID, Server: a.Server})...)
					next = append(next, d.handle(AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Final: true, LoadReport: EmptyLoadReport})...)
				}
				actions = next
			}
		}
		for i := range 40 {
			follow(d.handle(Request{ID: fmt.Sprint(round, " ", i), Class: "c", Reconnecting: true, Deadline: d.now + 2*time.Second}))
			for range 50 {
				follow(d.runUntil(d.now + 10*ms))
			}
		}
		if placed < 10 {
			t.Errorf("round %d: %d of 40 returned clients placed at a fleet that is cold and empty", round, placed)
		}
		for range 300 { // what still waits is placed or refused
			follow(d.runUntil(d.now + 10*ms))
		}
		d.runUntil(d.now + 200*time.Second)
		d.now += 5 * time.Hour
	}
}
