package balance

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// settings returns settings that tests change to their need.
func settings() Settings {
	return Settings{
		Instances: 1,
		Tick:      ms,
		Classes:   []Class{{Name: "c", Aim: 400 * ms, Deadline: 2 * time.Second, MessageAim: 100 * ms}},
		AskWithin: 10 * time.Second,
		Rules: Rules{AnswerGrace: 5 * ms, DrainGrace: time.Second, ColdShare: 0.2, Ramp: 20 * time.Second,
			FallMultiple: 3, FallAfter: time.Second},
		Limits:  Limits{Probes: true, RetryAfter: true, MaxAttempts: 3, MaxRetryAfter: time.Second},
		Reports: Reports{ByProbe: true},
	}
}

// bench drives one Balancer: it keeps the clock and the pending timers.
type bench struct {
	t      *testing.T
	b      *Balancer
	now    time.Duration
	timers []timer
}

type timer struct {
	at    time.Duration
	token uint64
}

func newBench(t *testing.T, set Settings, servers ...string) *bench {
	t.Helper()
	b, err := New(1, set)
	if err != nil {
		t.Fatal(err)
	}
	d := &bench{t: t, b: b, now: time.Second}
	d.list(ListCached, entries(servers...)...)
	return d
}

func entries(ids ...string) []ServerEntry {
	list := make([]ServerEntry, len(ids))
	for i, id := range ids {
		list[i] = ServerEntry{ID: id}
	}
	return list
}

// tell hands over an event and returns the actions but for timers.
func (d *bench) tell(ev Event) []Action {
	var rest []Action
	for _, a := range d.b.Handle(d.now, ev, nil) {
		if t, ok := a.(SetTimer); ok {
			d.timers = append(d.timers, timer{d.now + t.Delay, t.Token})
		} else {
			rest = append(rest, a)
		}
	}
	return rest
}

func (d *bench) list(kind ListKind, list ...ServerEntry) []Action {
	return d.tell(ListUpdate{Kind: kind, Entries: list})
}

func (d *bench) request(id string) []Action {
	return d.tell(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
}

func (d *bench) answer(server string, x0 float64) []Action {
	l := NoLoad
	l.X0 = x0
	return d.tell(ProbeAnswer{Server: server, Outcome: OK, Latency: ms, Load: l})
}

// run lets time pass, firing timers in order, and returns the actions.
func (d *bench) run(until time.Duration) []Action {
	var all []Action
	for {
		first := -1
		for i, t := range d.timers {
			if t.at <= until && (first < 0 || t.at < d.timers[first].at) {
				first = i
			}
		}
		if first < 0 {
			d.now = until
			return all
		}
		t := d.timers[first]
		d.timers = append(d.timers[:first], d.timers[first+1:]...)
		d.now = max(d.now, t.at)
		all = append(all, d.tell(TimerFired{Token: t.token})...)
	}
}

// pick returns the actions of type T.
func pick[T Action](actions []Action) []T {
	var found []T
	for _, a := range actions {
		if t, ok := a.(T); ok {
			found = append(found, t)
		}
	}
	return found
}

// drawsUntilPlaced lets a request draw with every probe answered by loads, and
// returns how many probes it took and where the request went.
func drawsUntilPlaced(d *bench, id string, loads map[string]float64) (int, string) {
	actions, probes := d.request(id), 0
	for {
		if sent := pick[Attempt](actions); len(sent) > 0 {
			return probes, sent[0].Server
		}
		asked := pick[Probe](actions)
		if len(asked) == 0 {
			return probes, ""
		}
		probes++
		actions = d.answer(asked[0].Server, loads[asked[0].Server])
	}
}

func TestLowDrawDecidesAtOnce(t *testing.T) {
	d := newBench(t, settings(), "a", "b", "c")
	probes, at := drawsUntilPlaced(d, "r", map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1})
	if probes != 1 || at == "" {
		t.Errorf("placed on %q after %d probes, want 1 probe", at, probes)
	}
}

func TestDrawingHaltsAtTrials(t *testing.T) {
	loads := map[string]float64{}
	var ids []string
	for i := range 40 {
		id := string(rune('A' + i))
		ids = append(ids, id)
		loads[id] = fullLoad - 0.04 + float64(i)/1000
	}
	d := newBench(t, settings(), ids...)
	probes, at := drawsUntilPlaced(d, "r", loads)
	if probes > trials || probes < 2 || at == "" {
		t.Errorf("placed on %q after %d probes, want at most %d", at, probes, trials)
	}
}

// A timer that came a fraction of a microsecond before its time was taken for
// an old one, and the request it stood for was never answered.
func TestHeldRequestIsAnsweredInTime(t *testing.T) {
	for seed := range 200 {
		d := newBench(t, settings())
		b, err := New(uint64(seed), settings())
		if err != nil {
			t.Fatal(err)
		}
		d.b = b
		d.request("r")
		for i := range d.timers { // as a clock that counts in microseconds has it
			d.timers[i].at = d.timers[i].at.Truncate(time.Microsecond)
		}
		if got := pick[Refuse](d.run(3 * time.Second)); len(got) != 1 {
			t.Fatalf("seed %d: %d refusals with no server known, want 1", seed, len(got))
		}
	}
}

// The timer of a probe's patience, still to come when the connection stood,
// was taken for the one that moves it.
func TestOldTimersMoveNothing(t *testing.T) {
	d := newBench(t, settings(), "a")
	if _, at := drawsUntilPlaced(d, "r", map[string]float64{"a": 0.1}); at != "a" {
		t.Fatalf("placed on %q", at)
	}
	d.tell(Started{ID: "r", Server: "a"})
	if got := pick[Move](d.run(d.now + 5*time.Second)); len(got) != 0 {
		t.Errorf("%d moves, want none", len(got))
	}
}

// Probe answers that kept coming carried a request past the time for its
// answer, and it was sent too late to be answered at all.
func TestProbeAnswersDoNotOutlastTheDeadline(t *testing.T) {
	d := newBench(t, settings(), "a", "b", "c")
	actions := d.request("r")
	d.now += 2*time.Second - ms // past the give-up time, its timer still to come
	asked := pick[Probe](actions)
	if len(asked) != 1 {
		t.Fatalf("%d probes, want 1", len(asked))
	}
	got := d.answer(asked[0].Server, 0.1)
	if len(pick[Refuse](got)) != 1 || len(pick[Attempt](got)) != 0 {
		t.Errorf("got %v, want one refusal", got)
	}
}

// A server drops the connections it has just taken: the report that sent them
// there was old. Placements must then keep a distance, whatever reports say.
func TestYoungResetsSlowPlacements(t *testing.T) {
	d := newBench(t, settings(), "a", "b")
	loads := map[string]float64{"a": 0.1, "b": 0.1}
	_, at := drawsUntilPlaced(d, "r1", loads)
	d.tell(Started{ID: "r1", Server: at})
	d.now += 100 * ms
	d.tell(AttemptEnded{ID: "r1", Server: at, Outcome: Reset, Final: true, Load: NoLoad})
	if probes, at := drawsUntilPlaced(d, "r2", loads); probes != 0 || at != "" {
		t.Errorf("placed on %q after %d probes at once, want a pause", at, probes)
	}
	if got := pick[Probe](d.run(d.now + firstPause*2)); len(got) != 1 {
		t.Errorf("%d probes after the pause, want 1", len(got))
	}
}

// In a long congestion the newest go first. Who was passed over for the time of its aim
// is told so, and when to return; it was kept until its client was about to give up.
func TestPassedOverIsAnsweredWithinItsAim(t *testing.T) {
	d := newBench(t, settings(), "a")
	d.b.congested()
	d.b.pausedTo = d.now + 10*time.Second
	asked := d.now
	d.request("r")
	for d.now < asked+2*time.Second {
		if got := pick[Refuse](d.run(d.now + ms)); len(got) == 1 {
			if took := d.now - asked; took > 410*ms || got[0].Pause == 0 {
				t.Errorf("answered after %v with a pause of %v, want its aim of 400 ms and a pause", took, got[0].Pause)
			}
			return
		}
	}
	t.Error("not answered")
}

// A class that names no aim left its probes no time at all: every server was passed over
// before it could answer, and the draws told nothing.
func TestProbesWithoutAnAim(t *testing.T) {
	set := settings()
	set.Classes[0].Aim = 0
	d := newBench(t, set, "a", "b")
	asked := pick[Probe](d.request("r"))
	if got := d.run(d.now + 5*ms); len(got) != 0 {
		t.Errorf("after 5 ms: %v, want to wait for %s", got, asked[0].Server)
	}
	if got := pick[Attempt](d.answer(asked[0].Server, 0.1)); len(got) != 1 {
		t.Errorf("placed by its answer: %v, want one attempt", got)
	}
}

// What was refused weighed on its server for a second all the same, as if it had been
// placed: a server that could serve the next looked fuller with each.
func TestWhatFailedWeighsNothing(t *testing.T) {
	d := newBench(t, settings(), "a")
	l := report(0.4, 8)
	d.tell(ProbeAnswer{Server: "a", Outcome: OK, Latency: ms, Load: l})
	before := d.b.loadOf(d.b.servers["a"])
	for i := range 5 {
		id := string(rune('a' + i))
		d.request(id)
		if sent := pick[Attempt](d.tell(ProbeAnswer{Server: "a", Outcome: OK, Latency: ms, Load: l})); len(sent) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		d.now += 20 * ms
		d.tell(AttemptEnded{ID: id, Server: "a", Outcome: ConnectFailed, Load: NoLoad})
		d.run(d.now + time.Second/4)
	}
	d.tell(ProbeAnswer{Server: "a", Outcome: OK, Latency: ms, Load: l})
	if got := d.b.loadOf(d.b.servers["a"]); got > before+0.01 {
		t.Errorf("load %.3f after five that failed, %.3f before", got, before)
	}
}

// Where every server had a few faults most draws were void, a fifth of the rounds ended
// with none, and that counted as congestion: placements paused although all could serve.
func TestMostlyFaultyFleetStillServes(t *testing.T) {
	d := newBench(t, settings(), "a", "b", "c", "d")
	for _, s := range d.b.ready {
		for range 20 {
			d.b.fault(s)
		}
	}
	d.run(d.now + time.Second)
	for i := range 100 {
		if _, at := drawsUntilPlaced(d, fmt.Sprint("r", i), map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1, "d": 0.1}); at == "" {
			t.Fatalf("request %d is held", i)
		}
	}
	worst := d.b.ready[0] // one that is worse than the rest is still left out
	for range 200 {
		d.b.fault(worst)
	}
	if share := d.b.share(worst); share > 0.1 {
		t.Errorf("the worst is left %.2f of its draws", share)
	}
}
