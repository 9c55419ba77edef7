package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"coralrelay/internal/rules"
)

// Arithmetic at its edges: whatever one report, hint or clock says, the next sound
// one is believed, and nobody else is harmed meanwhile.

func report(x0, inflight float64) Load {
	l := NoLoad
	l.X0, l.Inflight = x0, inflight
	return l
}

// A load counter that has wrapped was cut into a level below 0, as the whole number
// overflowed, and its server passed as low. What is no number poisoned the usual load
// and the load of one connection for good.
func TestReportsThatCannotBe(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for _, l := range []Load{report(nan, 5), report(inf, 5), report(18446744073709551615, 5), report(1e300, 5),
		report(inf, inf), report(0.3, nan), report(0.3, inf), report(0.3, 18446744073709551615),
		report(-0.3, 5), report(math.Inf(-1), 5), report(0.3, -1)} {
		t.Run(fmt.Sprint(l.X0, " with ", l.Inflight), func(t *testing.T) {
			d := newBench(t, settings(), "a", "b")
			tell := func(s string, l Load) []Action {
				return d.tell(ProbeAnswer{Server: s, Outcome: OK, Latency: ms, Load: l})
			}
			for i := range 20 {
				d.tell(OpenConn{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "b"})
				tell("a", report(0.5, 20))
				tell("b", report(0.5, 20))
			}
			usual := d.b.usual
			tell("a", l)
			if got := d.b.usual; !(math.Abs(got-usual) < 0.2) {
				t.Errorf("the usual load went from %.2f to %.2f", usual, got)
			}
			if believed := l.X0 >= 0 && l.X0 < 1; !believed {
				asked, actions := "", d.request("r")
				for asked != "a" && len(pick[Probe](actions)) > 0 { // let it be drawn
					if asked = pick[Probe](actions)[0].Server; asked == "a" {
						actions = tell("a", l)
					} else {
						actions = tell("b", report(0.95, 20))
					}
				}
				if got := pick[Attempt](actions); asked == "a" && len(got) == 1 && got[0].Server == "a" && l.X0 > 1 {
					t.Error("passed as low")
				}
			}
			if w := d.b.weight(d.b.track(Request{ID: "w", Class: "c"}), d.b.servers["a"]); !(w > 0.001) || w > 0.25 {
				t.Errorf("a connection weighs %v there", w)
			}
			tell("a", report(0.5, 20))
			if got := d.b.loadOf(d.b.servers["a"]); !(math.Abs(got-0.5) < 0.2) {
				t.Errorf("load %v after a sound report of 0.5", got)
			}
		})
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
	failed := ProbeAnswer{Server: "a", Outcome: TimedOut, Load: NoLoad}
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
		if load, share := d.b.loadOf(s), d.b.share(s); !(load < 1) || !(share > 0.05) {
			t.Errorf("%s is at %v and is left %v of its draws", s.ID, load, share)
		}
	}
}

// After silence of hours nothing is left of what was usual, and nothing is missed.
func TestSilenceOfHours(t *testing.T) {
	d := newBench(t, settings())
	for round := range 3 {
		d.list(ListFull, ServerEntry{ID: "a", Started: d.now}, ServerEntry{ID: "b", Started: d.now})
		placed := 0
		follow := func(actions []Action) {
			for len(actions) > 0 {
				var next []Action
				for _, p := range pick[Probe](actions) {
					next = append(next, d.answer(p.Server, 0.1)...)
				}
				for _, a := range pick[Attempt](actions) { // it does not last
					placed++
					next = append(next, d.tell(Started{ID: a.ID, Server: a.Server})...)
					next = append(next, d.tell(AttemptEnded{ID: a.ID, Server: a.Server, Outcome: OK, Final: true, Load: NoLoad})...)
				}
				actions = next
			}
		}
		for i := range 40 {
			follow(d.tell(Request{ID: fmt.Sprint(round, " ", i), Class: "c", Returned: true, Deadline: d.now + 2*time.Second}))
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

// One client's hint of 1e300 became the mean, and for thousands of requests no other
// connection weighed anything: what was placed did not show.
func TestOneHugeHint(t *testing.T) {
	for _, huge := range []float64{1e300, math.Inf(1), 1e18, math.NaN(), -1, 0} {
		t.Run(fmt.Sprint(huge), func(t *testing.T) {
			d := newBench(t, settings(), "a")
			hinted := func(id string, hint float64) float64 {
				d.tell(Request{ID: id, Class: "c", Hint: hint, Deadline: d.now + time.Second})
				d.tell(ProbeAnswer{Server: "a", Outcome: OK, Latency: ms, Load: report(0.4, 40)})
				w := d.b.weight(d.b.requests[id], d.b.servers["a"])
				d.tell(ClientGone{ID: id})
				return w
			}
			usual := 0.0
			for i := range 100 {
				usual = hinted(fmt.Sprint("r", i), 0.5)
			}
			if w := hinted("huge", huge); !(w > 0) || w > 0.25 {
				t.Errorf("it weighs %v", w)
			}
			if w := hinted("q", 0.5); !(w > usual/2) || w > 2*usual {
				t.Errorf("another weighs %v after it, %v before", w, usual)
			}
		})
	}
}

// Where it came first it was the mean itself, and the others still weighed nothing.
func TestHugeHintComesFirst(t *testing.T) {
	d := newBench(t, settings(), "a")
	d.tell(ProbeAnswer{Server: "a", Outcome: OK, Latency: ms, Load: report(0.4, 40)})
	for i, hint := range []float64{1e9, 0.5, 0.5, 0.5} {
		d.tell(Request{ID: fmt.Sprint("r", i), Class: "c", Hint: hint, Deadline: d.now + time.Second})
		if w := d.b.weight(d.b.requests[fmt.Sprint("r", i)], d.b.servers["a"]); w < 0.0006 {
			t.Errorf("hint %v weighs %v, want a sixteenth of 0.01 at least", hint, w)
		}
	}
}

// The first hint after a hundred connections without one counted 1/64 of itself as
// the mean, and its connection weighed 64 times what it should.
func TestFirstHint(t *testing.T) {
	d := newBench(t, settings(), "a")
	for i := range 100 {
		d.tell(OpenConn{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	d.run(d.now + 20*time.Second)
	d.answer("a", 0.5)
	d.tell(ProbeAnswer{Server: "a", Outcome: OK, Latency: ms, Load: report(0.5, 100)})
	d.tell(Request{ID: "r", Class: "c", Hint: 7, Deadline: d.now + time.Second})
	if w := d.b.weight(d.b.requests["r"], d.b.servers["a"]); w > 0.01 {
		t.Errorf("weighs %.3f, want about 0.005 as all others", w)
	}
}

// A second end of one attempt had the request wait twice for its turn: it drew twice
// at once, and was sent twice.
func TestSecondEndChangesNothing(t *testing.T) {
	for _, o := range []Outcome{Full, ConnectFailed, Errored, Reset} {
		d := newBench(t, settings(), "a", "b", "c", "d")
		_, at := drawsUntilPlaced(d, "r", map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1})
		end := AttemptEnded{ID: "r", Server: at, Outcome: Full, Load: NoLoad}
		actions := d.tell(end)
		end.Outcome = o
		actions = append(actions, d.tell(end)...)
		sent, answers := 0, len(pick[Refuse](actions))
		for _, p := range pick[Probe](actions) {
			sent += len(pick[Attempt](d.answer(p.Server, 0.1)))
		}
		if sent != 1 || answers != 0 {
			t.Errorf("%d more attempts and %d answers after a second end, want 1 and 0", sent, answers)
		}
	}
}

// What was known of a server is its old process's: a new one under the same id was
// shunned for the faults of the one that had died with all its connections.
func TestAnotherProcessStartsAfresh(t *testing.T) {
	d := newBench(t, settings(), "a", "b")
	for i := range 200 {
		d.tell(OpenConn{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	d.answer("a", 0.9)
	d.now += 30 * time.Second
	for i := range 200 {
		d.tell(AttemptEnded{ID: fmt.Sprint("o", i), Server: "a", Outcome: Reset, Final: true, Load: NoLoad})
	}
	d.list(ListDelta, ServerEntry{ID: "a", Started: d.now})
	s := d.b.servers["a"]
	if p, cold := d.b.share(s), d.b.coldShare(d.b.warmth(s)); p < min(d.b.warmth(s), cold)*0.9 || d.b.loadOf(s) >= 0 {
		t.Errorf("share %.3f of its draws, %.3f for a cold server; load %.2f by hearsay", p, cold, d.b.loadOf(s))
	}
}

// To give up is to answer now. Requests that no ready server may be sent waited for
// their deadline all the same.
func TestGivenUpIsAnsweredAtOnce(t *testing.T) {
	keyed := func(s *Settings) { s.Classes[0].Effect, s.Classes[0].Window = Keyed, 100*ms }
	tests := []struct {
		name string
		set  func(*Settings)
		play func(d *bench) []Action
	}{
		{"nobody is ready", nil, func(d *bench) []Action {
			d.list(ListFull, ServerEntry{ID: "a", State: Draining})
			return d.request("r")
		}},
		{"the last one leaves while it is probed", nil, func(d *bench) []Action {
			d.request("r")
			return d.list(ListFull, ServerEntry{ID: "a", State: Draining})
		}},
		{"the last one leaves while it waits", nil, func(d *bench) []Action {
			d.b.congested()
			d.request("r")
			return d.list(ListFull, ServerEntry{ID: "a", State: Draining})
		}},
		{"all were tried", func(s *Settings) { s.Limits.MaxAttempts = 9 }, func(d *bench) []Action {
			actions := d.request("r")
			for i := range 3 {
				for len(pick[Probe](actions)) > 0 {
					actions = d.answer(pick[Probe](actions)[0].Server, 0.1)
				}
				for _, a := range pick[Attempt](actions) {
					actions = d.tell(AttemptEnded{ID: "r", Attempt: i, Server: a.Server, Outcome: Full, Load: NoLoad})
				}
			}
			return actions
		}},
		{"its repeats' window ends while it waits", keyed, func(d *bench) []Action {
			d.answer(pick[Probe](d.request("r"))[0].Server, 0.1)
			d.b.congested()
			d.b.pausedTo = d.now + time.Second
			d.tell(AttemptEnded{ID: "r", Server: "a", Outcome: Errored, Load: NoLoad})
			return d.run(d.now + 102*ms)
		}},
		{"its repeats' window ends while it is probed", keyed, func(d *bench) []Action {
			d.answer(pick[Probe](d.request("r"))[0].Server, 0.1)
			d.now += 90 * ms
			asked := pick[Probe](d.tell(AttemptEnded{ID: "r", Server: d.b.requests["r"].at.ID, Outcome: Errored, Load: NoLoad}))
			d.now += 20 * ms
			return d.answer(asked[0].Server, 0.1)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			set := settings()
			if tt.set != nil {
				tt.set(&set)
			}
			d := newBench(t, set, "a", "b", "c")
			if tt.set == nil {
				d.list(ListFull, entries("a")...)
			}
			got := tt.play(d)
			if refused := pick[Refuse](got); len(refused) != 1 || refused[0].Pause == 0 || len(pick[Attempt](got)) != 0 {
				t.Errorf("got %v, want one refusal that says when to return", got)
			}
		})
	}
}

// How long repeats are dropped counts from the first attempt that may have run, and
// that may have been at once. Counted from the latest end, a third came too late.
func TestRepeatsCountFromTheFirst(t *testing.T) {
	set := settings()
	set.Classes[0].Effect, set.Classes[0].Window = Keyed, 100*ms
	d := newBench(t, set, "a", "b", "c")
	loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
	_, at := drawsUntilPlaced(d, "r", loads)
	var got []Action
	for i := range 2 {
		d.now += 60 * ms
		got = d.tell(AttemptEnded{ID: "r", Attempt: i, Server: at, Outcome: Errored, Load: NoLoad})
		for len(pick[Probe](got)) > 0 {
			got = d.answer(pick[Probe](got)[0].Server, 0.1)
		}
		if sent := pick[Attempt](got); len(sent) > 0 {
			at = sent[0].Server
		}
	}
	if len(pick[Refuse](got)) != 1 {
		t.Errorf("120 ms after it may first have run: %v, want a refusal", got)
	}
}

// A newcomer holds nothing on a rough day: its reports tempt every node at once, they
// are late, clients come back in a wave, another server hangs. The rules' book counts
// what all nodes together send it.
func TestNewcomerOnARoughDay(t *testing.T) {
	const nodes, servers, rate, load, life = 4, 8, 120.0, 0.6, 10 * time.Second // rate: first arrivals a second
	for seed := range uint64(6) {
		set := settings()
		set.Instances = nodes
		set.Rules.FallAfter = 1500 * ms
		full := rate / load / servers // a second, for one warm server
		book := rules.NewBook(rules.Terms{Grace: 5 * ms, Attempts: 3, Drain: time.Second, Ramp: set.Rules.Ramp, ColdShare: 0.2,
			Rate: full, Multiple: 3, Window: set.Rules.FallAfter, Chance: 2})
		r := newRough(t, seed, set, book, nodes, servers, full*life.Seconds())
		r.play(8*time.Second, rate, 0)       // usual
		r.start("new")                       // with no connections
		r.play(1500*ms, rate, 2*rate)        // and a wave that returns
		r.hung["s1"] = true                  // and one answers nothing
		r.play(3*time.Second, rate, rate)    //
		r.start("s2")                        // a process replaced under its id
		r.play(4*time.Second, rate, rate/2)  //
		for _, broken := range book.Broken { // all rules, not the fourth alone
			t.Errorf("seed %d: %s", seed, broken)
		}
		if got := len(r.conns["new"]); got < 10 {
			t.Errorf("seed %d: the newcomer holds %d connections after 8 s", seed, got)
		}
	}
}

// Other settings hold for what is asked from then on: fewer attempts for all, also for
// who waits for one; another effect or deadline only for who comes later.
func TestRetuned(t *testing.T) {
	set := settings()
	set.Limits.MaxAttempts = 4
	set.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: time.Second}}
	d := newBench(t, set, "a", "b", "c", "d")
	loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}
	fail := func(id string, n int, o Outcome) []Action {
		r := d.b.requests[id]
		return d.tell(AttemptEnded{ID: id, Attempt: n, Server: r.at.ID, Outcome: o, Load: NoLoad})
	}
	retry := func(id string, actions []Action) {
		t.Helper()
		for len(pick[Attempt](actions)) == 0 {
			p := pick[Probe](actions)
			if len(p) == 0 {
				t.Fatalf("%s: %v", id, actions)
			}
			actions = d.tell(ProbeAnswer{Server: p[0].Server, Outcome: OK, Latency: ms, Load: report(0.1, 5)})
		}
	}
	drawsUntilPlaced(d, "old", loads)
	drawsUntilPlaced(d, "waits", loads)
	retry("old", fail("old", 0, Errored))
	waits := fail("waits", 0, Full) // draws again, and waits for a probe
	if len(pick[Probe](waits)) == 0 {
		t.Fatalf("%v", waits)
	}

	next := set
	next.Limits.MaxAttempts = 1
	next.Classes = []Class{{Name: "c", Aim: 300 * ms, Deadline: time.Second, Effect: Unsafe}, {Name: "new", Aim: 300 * ms, Deadline: time.Second}}
	if got := pick[Refuse](d.tell(Retuned{next})); len(got) != 1 || got[0].ID != "waits" {
		t.Errorf("of those that have made as many as are allowed now, refused: %v", got)
	}
	if got := fail("old", 1, Errored); len(pick[Refuse](got)) != 1 {
		t.Errorf("an old request, whose repeats do no harm: %v", got)
	}
	drawsUntilPlaced(d, "later", loads)
	if got := fail("later", 0, Errored); len(pick[Fail](got)) != 1 {
		t.Errorf("a request of the stricter class: %v", got)
	}
	next.Limits.MaxAttempts = 2
	d.tell(Retuned{next})
	drawsUntilPlaced(d, "again", loads)
	retry("again", fail("again", 0, Full))
	if d.b.classes["new"] == nil || len(d.b.classes) != 2 {
		t.Errorf("classes %v", d.b.classes)
	}
}

// What is avoided is who drains and who has failed more than the others of late.
func TestAvoided(t *testing.T) {
	d := newBench(t, settings(), "a", "b", "c")
	expect := func(n int, when string) {
		t.Helper()
		if got := d.b.Avoided(); got != n {
			t.Errorf("%s: %d avoided, want %d", when, got, n)
		}
	}
	expect(0, "at first")
	silent := ProbeAnswer{Server: "a", Outcome: TimedOut, Load: NoLoad}
	d.tell(silent)
	expect(0, "after one failure")
	d.tell(silent)
	expect(1, "after two")
	d.tell(ListUpdate{Entries: []ServerEntry{{ID: "b", State: Draining}}})
	expect(2, "while another drains")
	d.tell(ListUpdate{Entries: []ServerEntry{{ID: "b", State: Gone}}})
	expect(1, "when that is gone")
	d.now += 30 * time.Second
	d.tell(TimerFired{})
	expect(0, "later")
}

// What one process has learned another goes on by, but not of a server that has started
// anew since, and nothing that can't be true.
func TestLearned(t *testing.T) {
	set := settings()
	d := newBench(t, set, "a", "b", "c")
	loads := map[string]float64{"a": 0.6, "b": 0.6, "c": 0.6}
	for i := range 12 {
		drawsUntilPlaced(d, fmt.Sprint("r", i), loads)
	}
	d.tell(ProbeAnswer{Server: "b", Outcome: TimedOut, Load: NoLoad})
	d.tell(ProbeAnswer{Server: "b", Outcome: TimedOut, Load: NoLoad})
	m := d.b.Recall(d.now)
	next := func(m Memory) *bench {
		n := newBench(t, set, "a", "b", "c")
		n.now = d.now
		n.tell(ListUpdate{Entries: []ServerEntry{{ID: "c", Started: n.now}}})
		n.tell(Learned{m})
		return n
	}
	n := next(m)
	if n.b.Avoided() != 1 || n.b.usual != d.b.usual || n.b.rtt != d.b.rtt {
		t.Errorf("%d avoided, usual %v, trip %v; want 1, %v, %v", n.b.Avoided(), n.b.usual, n.b.rtt, d.b.usual, d.b.rtt)
	}
	sent := func(b *Balancer, id string) float64 { return b.servers[id].sent.left(n.now) }
	if sent(n.b, "a") == 0 || sent(n.b, "a") != sent(d.b, "a") || sent(n.b, "c") != 0 {
		t.Errorf("sent a %v, want %v; and c, which is another process, %v", sent(n.b, "a"), sent(d.b, "a"), sent(n.b, "c"))
	}
	n.tell(Learned{m}) // a third process was beside these
	if sent(n.b, "a") != 2*sent(d.b, "a") || n.b.Avoided() != 1 {
		t.Errorf("what two have sent: %v, %d avoided", sent(n.b, "a"), n.b.Avoided())
	}
	for name, change := range map[string]func(m *Memory){
		"no number":     func(m *Memory) { m.Usual = math.NaN() },
		"endless":       func(m *Memory) { m.Late = math.Inf(1) },
		"negative":      func(m *Memory) { m.Servers[1].Sent = -1 },
		"not yet there": func(m *Memory) { m.Age = -1 },
	} {
		bad := m
		bad.Servers = slices.Clone(m.Servers)
		change(&bad)
		if n := next(bad); sent(n.b, "a") != 0 || n.b.usual != 0 || n.b.Avoided() != 0 {
			t.Errorf("%s: part of it was taken", name)
		}
	}
}

// While another process of this instance places too, the least that a cold server is sent
// at once is shared.
func TestProcessesShareTheLeast(t *testing.T) {
	for processes, want := range map[int]int{0: 4, 1: 4, 2: 2} {
		set := settings()
		set.Processes = processes
		d := newBench(t, set, "a", "b", "c", "d")
		d.tell(ListUpdate{Entries: []ServerEntry{{ID: "a", Started: d.now}}})
		s, n := d.b.servers["a"], 0
		for ; d.b.mayTake(s); n++ {
			s.sent.add(d.b.now, 1)
		}
		if n != want {
			t.Errorf("%d processes: %d at once, want %d", processes, n, want)
		}
	}
}
