package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// world plays legal events at random against one Balancer and writes every one, and
// every action, into the rules' book. It models no load.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	set      Settings
	d        *bench
	book     *refmodel.Checker
	requests map[string]*job
	servers  map[string]*ServerEntry
	probes   []string
	ids      int
	log      []Action
	word     QuotaLease // the fleet's last
	wordTo   time.Duration
	into     map[string]int // attempts by zone in its half
}

// job is what the world has to know of a request to go on with it.
type job struct {
	Request
	out      string // the server its attempt is at
	attempts int
	open     bool
	over     bool
}

func newWorld(t *testing.T, seed uint64, set Settings) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), set: set, requests: map[string]*job{},
		servers: map[string]*ServerEntry{}, book: refmodel.NewChecker(refmodel.Rules{AnswerGrace: set.Rules.AnswerGrace,
			MaxAttempts: set.Limits.MaxAttempts, DrainGrace: set.Rules.DrainGrace, PromptLimit: 2 * set.Tick})}
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
		s := w.servers[id]
		w.book.NodeNotified(w.d.now, id, refmodel.ServerState(s.State), s.StartedAt)
		if kind == ListDelta || s.State != Gone {
			list = append(list, *s)
		}
	}
	w.check(w.d.list(kind, list...))
}

// repeats is what the book has to know of a class.
func (w *world) repeats(c Class) refmodel.Retries {
	r := refmodel.Retries{Forbidden: c.Idempotency == NonIdempotent}
	if c.Idempotency == IdempotencyKeyed {
		r.Within = c.KeyWindow
		switch c.KeyScope {
		case ScopeZone:
			r.AllowedOn = func(ran, s string) bool { return w.servers[ran].Zone == w.servers[s].Zone }
		case ScopeCell:
			r.AllowedOn = func(ran, s string) bool { return w.servers[ran].Cell == w.servers[s].Cell }
		}
	}
	return r
}

// check writes actions into the book and notes what they start.
func (w *world) check(actions []Action) {
	w.t.Helper()
	w.log = append(w.log, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Attempt:
			w.book.AttemptSent(w.d.now, a.ID, a.Server)
			j := w.requests[a.ID]
			w.within(j.Constraint, w.servers[a.Server].Zone)
			j.out = a.Server
			j.attempts++
		case Reject:
			w.book.RequestAnswered(w.d.now, a.ID, refmodel.Refused)
			w.requests[a.ID].over = true
		case Fail:
			w.book.RequestAnswered(w.d.now, a.ID, refmodel.Failed)
			w.requests[a.ID].over = true
		case Probe:
			if s := w.servers[a.Server]; s == nil {
				w.t.Fatalf("probe of unknown server %s", a.Server)
			}
			w.probes = append(w.probes, a.Server)
		case Migrate:
			if j := w.requests[a.ID]; j == nil {
				w.t.Fatalf("move of unknown %s", a.ID)
			}
		}
	}
	if len(w.book.Violations) > 0 {
		w.t.Fatal(w.book.Violations)
	}
}

// end ends a request's attempt, or its connection, with an outcome.
func (w *world) end(j *job, o Outcome) {
	server := j.out
	j.out = ""
	final := o == OK || j.open
	switch {
	case j.open:
	case o == OK:
		w.book.RequestAnswered(w.d.now, j.ID, refmodel.Served)
	case o == AtCapacity || o == ConnectFailed || o == NotSent:
		w.book.AttemptEnded(w.d.now, j.ID, refmodel.NotRun)
	case o == Errored:
		w.book.AttemptEnded(w.d.now, j.ID, refmodel.MayRun)
	default:
		w.book.AttemptEnded(w.d.now, j.ID, refmodel.NoReply)
	}
	j.over = final
	w.check(w.d.tell(AttemptEnded{ID: j.ID, Attempt: j.attempts - 1, Server: server, Outcome: o, Final: final, LoadReport: EmptyLoadReport}))
}

func (w *world) step() {
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		c := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
		w.ids++
		q := Request{ID: fmt.Sprint("r", w.ids), Class: c.Name, Group: fmt.Sprint("g", w.rng.IntN(4)), Deadline: w.d.now + c.Deadline}
		if w.rng.IntN(3) == 0 {
			q.Constraint = &ZoneConstraint{Zones: []ZoneShare{{"z0", float64(w.rng.IntN(3)) / 2}}, DefaultShare: float64(w.rng.IntN(3)) / 2}
		}
		w.requests[q.ID] = &job{Request: q}
		w.book.RequestArrived(w.d.now, q.ID, q.Deadline, w.repeats(c))
		w.check(w.d.tell(q))
	case 3, 4, 5:
		if n := len(w.probes); n > 0 {
			i := w.rng.IntN(n)
			id := w.probes[i]
			w.probes = append(w.probes[:i], w.probes[i+1:]...)
			l := EmptyLoadReport
			l.Utilization = w.rng.Float64() * 1.3
			o := []Outcome{OK, OK, OK, OK, AtCapacity, TimedOut, ConnectFailed}[w.rng.IntN(7)]
			if o != OK {
				l = EmptyLoadReport
			}
			w.check(w.d.tell(ProbeResult{Server: id, Outcome: o, Latency: ms, LoadReport: l}))
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
				w.book.RequestAnswered(w.d.now, j.ID, refmodel.Served)
				w.check(w.d.tell(ConnectionEstablished{ID: j.ID, Attempt: j.attempts - 1, Server: j.out}))
			default:
				w.end(j, o)
			}
			break
		}
	case 8:
		s := w.servers[fmt.Sprint("s", w.rng.IntN(6))]
		was := s.State
		s.State = []ServerState{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]
		if s.State == Ready && was != Ready {
			s.StartedAt = w.d.now
		}
		w.list([]ListKind{ListDelta, ListFull}[w.rng.IntN(2)])
	case 9:
		w.pass(time.Duration(w.rng.IntN(300)) * ms)
	case 10:
		if j := w.requests[fmt.Sprint("r", 1+w.rng.IntN(w.ids+1))]; j != nil && !j.over && !j.open {
			w.leave(j)
		}
	case 11:
		if half := int64(w.d.now / time.Second); half > w.word.Period {
			w.into = map[string]int{}
			w.word.Period = half
		}
		w.word.LeaseDuration, w.word.TokensExpireAt, w.word.RetryBudget = 800*ms, w.d.now+time.Second, 5
		w.word.Zones = []ZoneQuota{{"z0", float64(w.rng.IntN(3)) / 2, w.rng.IntN(6) - 1}, {"z1", 1, -1}}
		w.wordTo = w.d.now + w.word.LeaseDuration
		w.check(w.d.tell(w.word))
	}
}

// leave has a request's client go at whatever stage it is: while it waits, is probed
// for or is out. What was under way then may still be told, now or later.
func (w *world) leave(j *job) {
	server, try := j.out, j.attempts-1
	j.out, j.over = "", true
	w.book.ClientLeft(w.d.now, j.ID)
	w.check(w.d.tell(ClientGone{ID: j.ID}))
	if server == "" {
		return
	}
	if w.rng.IntN(2) == 0 {
		w.check(w.d.tell(ConnectionEstablished{ID: j.ID, Attempt: try, Server: server}))
	}
	for range w.rng.IntN(3) {
		o := Outcome(w.rng.IntN(8))
		w.check(w.d.tell(AttemptEnded{ID: j.ID, Attempt: try, Server: server, Outcome: o, Final: o == OK, LoadReport: EmptyLoadReport}))
	}
}

// pass lets time pass. At its deadline an attempt that is out times out.
func (w *world) pass(span time.Duration) {
	until := w.d.now + span
	for w.d.now < until {
		w.check(w.d.run(w.d.now + ms))
		for i := range w.ids {
			j := w.requests[fmt.Sprint("r", i+1)]
			if j.out != "" && !j.open && w.d.now >= j.Deadline {
				w.end(j, TimedOut)
			}
		}
		w.book.CheckDeadlines(w.d.now)
		w.check(nil)
	}
}
