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
func TestLearned(t *testing.T) {
	set := settings()
	d := newBench(t, set, "a", "b", "c")
	loads := map[string]float64{"a": 0.6, "b": 0.6, "c": 0.6}
	for i := range 12 {
		drawsUntilPlaced(d, fmt.Sprint("r", i), loads)
	}
	d.tell(ProbeResult{Server: "b", Outcome: TimedOut, LoadReport: EmptyLoadReport})
	d.tell(ProbeResult{Server: "b", Outcome: TimedOut, LoadReport: EmptyLoadReport})
	m := d.b.LearnedState(d.now)
	next := func(m LearnedState) *bench {
		n := newBench(t, set, "a", "b", "c")
		n.now = d.now
		n.tell(ListUpdate{Entries: []ServerEntry{{ID: "c", StartedAt: n.now}}})
		n.tell(InheritedState{m})
		return n
	}
	n := next(m)
	if n.b.AvoidedServers() != 1 || n.b.meanLoad != d.b.meanLoad || n.b.probeRTT != d.b.probeRTT {
		t.Errorf("%d avoided, usual %v, trip %v; want 1, %v, %v", n.b.AvoidedServers(), n.b.meanLoad, n.b.probeRTT, d.b.meanLoad, d.b.probeRTT)
	}
	sent := func(b *Balancer, id string) float64 { return b.servers[id].recentAttempts.value(n.now) }
	if sent(n.b, "a") == 0 || sent(n.b, "a") != sent(d.b, "a") || sent(n.b, "c") != 0 {
		t.Errorf("sent a %v, want %v; and c, which is another process, %v", sent(n.b, "a"), sent(d.b, "a"), sent(n.b, "c"))
	}
	n.tell(InheritedState{m}) // a third process was beside these
	if sent(n.b, "a") != 2*sent(d.b, "a") || n.b.AvoidedServers() != 1 {
		t.Errorf("what two have sent: %v, %d avoided", sent(n.b, "a"), n.b.AvoidedServers())
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
		if n := next(bad); sent(n.b, "a") != 0 || n.b.meanLoad != 0 || n.b.AvoidedServers() != 0 {
			t.Errorf("%s: part of it was taken", name)
		}
	}
}

// Other settings hold for what is asked from then on: fewer attempts for all, also for
// who waits for one; another effect or deadline only for who comes later.
func TestRetuned(t *testing.T) {
	set := settings()
	set.Limits.MaxAttempts = 4
	set.Classes = []Class{{Name: "c", LatencyObjective: 300 * ms, Deadline: time.Second}}
	d := newBench(t, set, "a", "b", "c", "d")
	loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}
	fail := func(id string, n int, o Outcome) []Action {
		r := d.b.requests[id]
		return d.tell(AttemptEnded{ID: id, Attempt: n, Server: r.server.ID, Outcome: o, LoadReport: EmptyLoadReport})
	}
	retry := func(id string, actions []Action) {
		t.Helper()
		for len(pick[Attempt](actions)) == 0 {
			p := pick[Probe](actions)
			if len(p) == 0 {
				t.Fatalf("%s: %v", id, actions)
			}
			actions = d.tell(ProbeResult{Server: p[0].Server, Outcome: OK, Latency: ms, LoadReport: report(0.1, 5)})
		}
	}
	drawsUntilPlaced(d, "old", loads)
	drawsUntilPlaced(d, "waits", loads)
	retry("old", fail("old", 0, Errored))
	waits := fail("waits", 0, AtCapacity) // draws again, and waits for a probe
	if len(pick[Probe](waits)) == 0 {
		t.Fatalf("%v", waits)
	}

	next := set
	next.Limits.MaxAttempts = 1
	next.Classes = []Class{{Name: "c", LatencyObjective: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent}, {Name: "new", LatencyObjective: 300 * ms, Deadline: time.Second}}
	if got := pick[Reject](d.tell(SettingsChanged{next})); len(got) != 1 || got[0].ID != "waits" {
		t.Errorf("of those that have made as many as are allowed now, refused: %v", got)
	}
	if got := fail("old", 1, Errored); len(pick[Reject](got)) != 1 {
		t.Errorf("an old request, whose repeats do no harm: %v", got)
	}
	drawsUntilPlaced(d, "later", loads)
	if got := fail("later", 0, Errored); len(pick[Fail](got)) != 1 {
		t.Errorf("a request of the stricter class: %v", got)
	}
	next.Limits.MaxAttempts = 2
	d.tell(SettingsChanged{next})
	drawsUntilPlaced(d, "again", loads)
	retry("again", fail("again", 0, AtCapacity))
	if d.b.classes["new"] == nil || len(d.b.classes) != 2 {
		t.Errorf("classes %v", d.b.classes)
	}
}

func TestSettingsChecked(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"negative grace": func(s *Settings) { s.Rules.DrainGrace = -1 },
		"cold share":     func(s *Settings) { s.Rules.InitialCapacity = 2 },
		"effect":         func(s *Settings) { s.Classes[0].Idempotency = 9 },
	} {
		set := settings()
		spoil(&set)
		if _, err := New(1, set); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestLogLinesAreFew(t *testing.T) {
	d := newBench(t, settings())
	var lines []Log
	for i := range 40 { // no server for 20 seconds
		d.request(fmt.Sprint("r", i))
		lines = append(lines, pick[Log](d.run(d.now+500*ms))...)
	}
	if len(lines) < 1 || len(lines) > 2 {
		t.Errorf("%d lines in 20 seconds, want 1 or 2: %v", len(lines), lines)
	}
}

// An hour back, sums that fade over seconds grew beyond all numbers.
func TestClockStepsBack(t *testing.T) {
	d := newBench(t, settings(), "a", "b")
	d.now = 10 * time.Hour
	loads := map[string]float64{"a": 0.3, "b": 0.3}
	for i := range 20 {
		drawsUntilPlaced(d, fmt.Sprint("r", i), loads)
		d.now += 100 * ms
	}
	failed := ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport}
	d.tell(failed)
	d.now -= 2 * time.Hour
	d.tell(failed)
	d.now += 2 * time.Hour
	for i := range 20 {
		if _, at := drawsUntilPlaced(d, fmt.Sprint("q", i), loads); at == "" {
			t.Fatal("nothing is placed any more")
		}
		d.now += 100 * ms
	}
	for _, s := range d.b.ready {
		if load, share := d.b.estimatedLoad(s), d.b.drawShare(&request{}, s); !(load < 1) || !(share > 0.05) {
			t.Errorf("%s is at %v and is left %v of its draws", s.ID, load, share)
		}
	}
}

// After silence of hours nothing is left of what was usual, and nothing is missed.
func TestSilenceOfHours(t *testing.T) {
	d := newBench(t, settings())
	for round := range 3 {
		d.list(ListFull, ServerEntry{ID: "a", StartedAt: d.now}, ServerEntry{ID: "b", StartedAt: d.now})
		placed := 0
		follow := func(actions []Action) {
			for len(actions) > 0 {
				var next []Action
				for _, p := range pick[Probe](actions) {
					next = append(next, d.answer(p.Server, 0.1)...)
				}
				for _, a := range pick[Attempt](actions) { // it does not last
					placed++
					next = append(next, d.tell(ConnectionEstablished{ID: a.ID, Server: a.Server})...)
					next = append(next, d.tell(AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Final: true, LoadReport: EmptyLoadReport})...)
				}
				actions = next
			}
		}
		for i := range 40 {
			follow(d.tell(Request{ID: fmt.Sprint(round, " ", i), Class: "c", Reconnecting: true, Deadline: d.now + 2*time.Second}))
			for range 50 {
				follow(d.run(d.now + 10*ms))
			}
		}
		if placed < 10 {
			t.Errorf("round %d: %d of 40 returned clients placed at a fleet that is cold and empty", round, placed)
		}
		for range 300 { // what still waits is placed or refused
			follow(d.run(d.now + 10*ms))
		}
		d.run(d.now + 200*time.Second)
		d.now += 5 * time.Hour
	}
}
