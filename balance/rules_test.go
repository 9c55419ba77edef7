package balance

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// world plays legal events at random against one Balancer and holds every
// action against the rules. It models no load: it only keeps the books that
// the rules are about.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	set      Settings
	d        *bench
	requests map[string]*job
	servers  map[string]*ServerEntry
	told     map[string]time.Duration // when a server was told draining or gone
	probes   []string
	ids      int
	log      []Action
}

// job is the world's book of a request.
type job struct {
	Request
	class    Class
	out      string // the server its attempt is at
	attempts int
	open     bool
	ran      *ServerEntry
	ranAt    time.Duration
	answered bool // over, in whatever way
}

func newWorld(t *testing.T, seed uint64, set Settings) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: set, requests: map[string]*job{},
		servers: map[string]*ServerEntry{}, told: map[string]time.Duration{}}
	w.d = newBench(t, set)
	for i := range 6 {
		w.servers[fmt.Sprint("s", i)] = &ServerEntry{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), Cell: i % 3}
	}
	w.list(ListFull)
	return w
}

// ordered returns the servers' names in order.
func (w *world) ordered() []string {
	var ids []string
	for i := range 6 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	return ids
}

func (w *world) list(kind ListKind) {
	var list []ServerEntry
	for _, id := range w.ordered() {
		if s := w.servers[id]; kind == ListDelta || s.State != Gone {
			list = append(list, *s)
		}
	}
	w.check(w.d.list(kind, list...))
}

// check holds actions against the rules and books what they start.
func (w *world) check(actions []Action) {
	w.log = append(w.log, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Attempt:
			w.attempt(a)
		case Refuse:
			j := w.owed(a.ID, "refused")
			if j.ran != nil && (j.class.Effect == Unsafe || j.class.Effect == Keyed && j.class.Scope != ScopeAll) {
				w.t.Fatalf("%s refused though it may have run", a.ID)
			}
			j.answered = true
		case Fail:
			w.owed(a.ID, "failed").answered = true
		case Probe:
			if s := w.servers[a.Server]; s == nil {
				w.t.Fatalf("probe of unknown server %s", a.Server)
			}
			w.probes = append(w.probes, a.Server)
		case Move:
			if j := w.requests[a.ID]; j == nil {
				w.t.Fatalf("move of unknown %s", a.ID)
			}
		}
	}
}

// owed returns a request that is still owed an answer and has no attempt out.
func (w *world) owed(id, what string) *job {
	j := w.requests[id]
	if j == nil || j.answered || j.open || j.out != "" {
		w.t.Fatalf("%s %s though no answer is owed", id, what)
	}
	return j
}

func (w *world) attempt(a Attempt) {
	j := w.owed(a.ID, "sent")
	s := w.servers[a.Server]
	switch {
	case j.attempts >= w.set.Limits.MaxAttempts:
		w.t.Fatalf("%s sent more than %d times", a.ID, w.set.Limits.MaxAttempts)
	case s.State != Ready && w.d.now > w.told[a.Server]+w.set.Rules.DrainGrace:
		w.t.Fatalf("%s sent to %s, which drains or is gone", a.ID, a.Server)
	case w.d.now > j.Deadline:
		w.t.Fatalf("%s sent after its deadline", a.ID)
	}
	if r := j.ran; r != nil {
		same := j.class.Scope == ScopeAll || j.class.Scope == ScopeZone && r.Zone == s.Zone ||
			j.class.Scope == ScopeCell && r.Cell == s.Cell
		if j.class.Effect == Unsafe || j.class.Effect == Keyed && (!same || w.d.now-j.ranAt > j.class.Window) {
			w.t.Fatalf("%s sent again to %s, where its effect may come twice", a.ID, a.Server)
		}
	}
	j.out = a.Server
	j.attempts++
}

// end ends a request's attempt with a random outcome.
func (w *world) end(j *job, o Outcome) {
	server := j.out
	j.out = ""
	final := o == OK || j.open
	if !final && o != Full && o != ConnectFailed && o != Moot && j.ran == nil {
		j.ran, j.ranAt = w.servers[server], w.d.now
	}
	j.answered = final
	w.check(w.d.tell(AttemptEnded{ID: j.ID, Attempt: j.attempts - 1, Server: server, Outcome: o, Final: final, Load: NoLoad}))
}

func (w *world) step() {
	switch w.rng.IntN(10) {
	case 0, 1, 2:
		c := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
		w.ids++
		q := Request{ID: fmt.Sprint("r", w.ids), Class: c.Name, Group: fmt.Sprint("g", w.rng.IntN(4)), Deadline: w.d.now + c.Deadline}
		w.requests[q.ID] = &job{Request: q, class: c}
		w.check(w.d.tell(q))
	case 3, 4, 5:
		if n := len(w.probes); n > 0 {
			i := w.rng.IntN(n)
			id := w.probes[i]
			w.probes = append(w.probes[:i], w.probes[i+1:]...)
			l := NoLoad
			l.X0 = w.rng.Float64() * 1.3
			o := []Outcome{OK, OK, OK, OK, Full, TimedOut, ConnectFailed}[w.rng.IntN(7)]
			if o != OK {
				l = NoLoad
			}
			w.check(w.d.tell(ProbeAnswer{Server: id, Outcome: o, Latency: ms, Load: l}))
		}
	case 6, 7:
		for i := range w.ids { // the oldest attempt out
			j := w.requests[fmt.Sprint("r", i+1)]
			if j.out == "" {
				continue
			}
			switch o := Outcome(w.rng.IntN(8)); {
			case j.open:
				w.end(j, []Outcome{OK, Reset, Cancelled}[w.rng.IntN(3)])
			case o == OK && w.rng.IntN(2) == 0:
				j.open = true
				w.check(w.d.tell(Started{ID: j.ID, Attempt: j.attempts - 1, Server: j.out}))
			default:
				w.end(j, o)
			}
			break
		}
	case 8:
		s := w.servers[fmt.Sprint("s", w.rng.IntN(6))]
		was := s.State
		s.State = []ServerState{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]
		if s.State != Ready && was == Ready {
			w.told[s.ID] = w.d.now
		}
		if s.State == Ready && was != Ready {
			s.Started = w.d.now
		}
		w.list([]ListKind{ListDelta, ListFull}[w.rng.IntN(2)])
	case 9:
		w.pass(time.Duration(w.rng.IntN(300)) * ms)
	}
}

// pass lets time pass. At its deadline an attempt that is out times out, and
// soon after it the answer must be there.
func (w *world) pass(span time.Duration) {
	until := w.d.now + span
	for w.d.now < until {
		w.check(w.d.run(w.d.now + ms))
		for i := range w.ids {
			j := w.requests[fmt.Sprint("r", i+1)]
			if !j.answered && !j.open && w.d.now >= j.Deadline {
				if j.out != "" {
					w.end(j, TimedOut)
				}
				if !j.answered {
					w.t.Fatalf("%s was not answered by its deadline", j.ID)
				}
			}
		}
	}
}

// rulesSettings has a class of every kind of effect.
func rulesSettings() Settings {
	set := settings()
	set.Conns.Groups = true
	base := Class{Aim: 200 * ms, Deadline: time.Second, Window: 300 * ms}
	set.Classes = nil
	for i, c := range []Class{{Effect: Safe}, {Effect: Keyed}, {Effect: Keyed, Scope: ScopeZone},
		{Effect: Keyed, Scope: ScopeCell}, {Effect: Unsafe}} {
		class := base
		class.Name, class.Effect, class.Scope = fmt.Sprint("c", i), c.Effect, c.Scope
		set.Classes = append(set.Classes, class)
	}
	return set
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := range uint64(8) {
		w := newWorld(t, seed, rulesSettings())
		for range 700 {
			w.step()
		}
		w.pass(2 * time.Second)
		for _, j := range w.requests {
			if !j.answered && !j.open {
				t.Fatalf("seed %d: %s was never answered", seed, j.ID)
			}
		}
	}
}

// The same seed and events give the same actions: nothing hangs on map order.
func TestSameSeedSameActions(t *testing.T) {
	var logs [2][]Action
	for i := range logs {
		w := newWorld(t, 7, rulesSettings())
		for range 700 {
			w.step()
		}
		logs[i] = w.log
	}
	if !reflect.DeepEqual(logs[0], logs[1]) {
		t.Error("two runs of one seed differ")
	}
}

// What has ended leaves nothing behind.
func TestNoStateOutlivesItsRequest(t *testing.T) {
	w := newWorld(t, 3, rulesSettings())
	for range 1000 {
		w.step()
	}
	w.pass(2 * time.Second)
	for i := range w.ids {
		if j := w.requests[fmt.Sprint("r", i+1)]; j.open && !j.answered {
			w.end(j, OK)
		}
	}
	b := w.d.b
	if len(b.requests) != 0 || len(b.bySeq) != 0 || len(b.groups) != 0 || len(b.queue) != 0 || b.busy != 0 || b.open != 0 {
		t.Errorf("left: %d requests, %d numbers, %d groups, %d busy, %d open",
			len(b.requests), len(b.bySeq), len(b.groups), b.busy, b.open)
	}
}
