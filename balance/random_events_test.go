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
type randomEvents struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	driver       *driver
	book         *refmodel.Checker
	requests     map[string]*trackedRequest
	servers      map[string]*ServerEntry
	probes       []string
	requestCount int
	actions      []Action
	lease        QuotaLease // the fleet's last
	leaseEndsAt  time.Duration
	zoneAttempts map[string]int // attempts by zone in its half
}

// job is what the world has to know of a request to go on with it.
type trackedRequest struct {
	Request
	attemptServer string // the server its attempt is at
	attemptCount  int
	established   bool
	answered      bool
}

func newRandomEvents(t *testing.T, seed uint64, set Settings) *randomEvents {
	w := &randomEvents{t: t, rng: rand.New(rand.NewPCG(seed, 1)), settings: set, requests: map[string]*trackedRequest{},
		servers: map[string]*ServerEntry{}, book: refmodel.NewChecker(refmodel.Rules{AnswerGrace: set.Rules.AnswerGrace,
			MaxAttempts: set.Limits.MaxAttempts, DrainGrace: set.Rules.DrainGrace, PromptLimit: 2 * set.Tick})}
	w.driver = newDriver(t, set)
	for i := range 6 {
		w.servers[fmt.Sprint("s", i)] = &ServerEntry{ID: fmt.Sprint("s", i), Zone: fmt.Sprint("z", i%2), Cell: i % 3}
	}
	w.updateList(ListFull)
	return w
}

// ordered returns the servers' names in order.
func (w *randomEvents) serverIDs() []string {
	var ids []string
	for i := range 6 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	return ids
}

func (w *randomEvents) updateList(kind ListKind) {
	var list []ServerEntry
	for _, id := range w.serverIDs() {
		s := w.servers[id]
		w.book.NodeNotified(w.driver.now, id, refmodel.ServerState(s.State), s.StartedAt)
		if kind == ListDelta || s.State != Gone {
			list = append(list, *s)
		}
	}
	w.recordActions(w.driver.updateList(kind, list...))
}

// repeats is what the book has to know of a class.
func (w *randomEvents) repeatRules(c Class) refmodel.Retries {
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
func (w *randomEvents) recordActions(actions []Action) {
	w.t.Helper()
	w.actions = append(w.actions, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Attempt:
			w.book.AttemptSent(w.driver.now, a.ID, a.Server)
			j := w.requests[a.ID]
			w.checkConstraints(j.Constraint, w.servers[a.Server].Zone)
			j.attemptServer = a.Server
			j.attemptCount++
		case Reject:
			w.book.RequestAnswered(w.driver.now, a.ID, refmodel.Refused)
			w.requests[a.ID].answered = true
		case Fail:
			w.book.RequestAnswered(w.driver.now, a.ID, refmodel.Failed)
			w.requests[a.ID].answered = true
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
func (w *randomEvents) endAttempt(j *trackedRequest, o Outcome) {
	server := j.attemptServer
	j.attemptServer = ""
	final := o == OK || j.established
	switch {
	case j.established:
	case o == OK:
		w.book.RequestAnswered(w.driver.now, j.ID, refmodel.Served)
	case o == AtCapacity || o == ConnectFailed || o == NotSent:
		w.book.AttemptEnded(w.driver.now, j.ID, refmodel.NotRun)
	case o == Errored:
		w.book.AttemptEnded(w.driver.now, j.ID, refmodel.MayRun)
	default:
		w.book.AttemptEnded(w.driver.now, j.ID, refmodel.NoReply)
	}
	j.answered = final
	w.recordActions(w.driver.handle(AttemptEnded{ID: j.ID, Attempt: j.attemptCount - 1, Server: server, Outcome: o, Final: final, LoadReport: EmptyLoadReport}))
}

func (w *randomEvents) step() {
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		c := w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
		w.requestCount++
		q := Request{ID: fmt.Sprint("r", w.requestCount), Class: c.Name, Group: fmt.Sprint("g", w.rng.IntN(4)), Deadline: w.driver.now + c.Deadline}
		if w.rng.IntN(3) == 0 {
			q.Constraint = &ZoneConstraint{Zones: []ZoneShare{{"z0", float64(w.rng.IntN(3)) / 2}}, DefaultShare: float64(w.rng.IntN(3)) / 2}
		}
		w.requests[q.ID] = &trackedRequest{Request: q}
		w.book.RequestArrived(w.driver.now, q.ID, q.Deadline, w.repeatRules(c))
		w.recordActions(w.driver.handle(q))
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
			w.recordActions(w.driver.handle(ProbeResult{Server: id, Outcome: o, Latency: ms, LoadReport: l}))
		}
	case 6, 7:
		for i := range w.requestCount { // the oldest attempt out
			j := w.requests[fmt.Sprint("r", i+1)]
			if j.attemptServer == "" {
				continue
			}
			switch o := Outcome(w.rng.IntN(8)); {
			case j.established:
				w.endAttempt(j, []Outcome{OK, Reset, Cancelled}[w.rng.IntN(3)])
			case o == OK && w.rng.IntN(2) == 0:
				j.established = true
				w.book.RequestAnswered(w.driver.now, j.ID, refmodel.Served)
				w.recordActions(w.driver.handle(ConnectionEstablished{ID: j.ID, Attempt: j.attemptCount - 1, Server: j.attemptServer}))
			default:
				w.endAttempt(j, o)
			}
			break
		}
	case 8:
		s := w.servers[fmt.Sprint("s", w.rng.IntN(6))]
		was := s.State
		s.State = []ServerState{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]
		if s.State == Ready && was != Ready {
			s.StartedAt = w.driver.now
		}
		w.updateList([]ListKind{ListDelta, ListFull}[w.rng.IntN(2)])
	case 9:
		w.advance(time.Duration(w.rng.IntN(300)) * ms)
	case 10:
		if j := w.requests[fmt.Sprint("r", 1+w.rng.IntN(w.requestCount+1))]; j != nil && !j.answered && !j.established {
			w.cancelRequest(j)
		}
	case 11:
		if half := int64(w.driver.now / time.Second); half > w.lease.Period {
			w.zoneAttempts = map[string]int{}
			w.lease.Period = half
		}
		w.lease.LeaseDuration, w.lease.TokensExpireAt, w.lease.RetryBudget = 800*ms, w.driver.now+time.Second, 5
		w.lease.Zones = []ZoneQuota{{"z0", float64(w.rng.IntN(3)) / 2, w.rng.IntN(6) - 1}, {"z1", 1, -1}}
		w.leaseEndsAt = w.driver.now + w.lease.LeaseDuration
		w.recordActions(w.driver.handle(w.lease))
	}
}

// leave has a request's client go at whatever stage it is: while it waits, is probed
// for or is out. What was under way then may still be told, now or later.
func (w *randomEvents) cancelRequest(j *trackedRequest) {
	server, try := j.attemptServer, j.attemptCount-1
	j.attemptServer, j.answered = "", true
	w.book.ClientLeft(w.driver.now, j.ID)
	w.recordActions(w.driver.handle(ClientGone{ID: j.ID}))
	if server == "" {
		return
	}
	if w.rng.IntN(2) == 0 {
		w.recordActions(w.driver.handle(ConnectionEstablished{ID: j.ID, Attempt: try, Server: server}))
	}
	for range w.rng.IntN(3) {
		o := Outcome(w.rng.IntN(8))
		w.recordActions(w.driver.handle(AttemptEnded{ID: j.ID, Attempt: try, Server: server, Outcome: o, Final: o == OK, LoadReport: EmptyLoadReport}))
	}
}

// pass lets time pass. At its deadline an attempt that is out times out.
func (w *randomEvents) advance(span time.Duration) {
	until := w.driver.now + span
	for w.driver.now < until {
		w.recordActions(w.driver.runUntil(w.driver.now + ms))
		for i := range w.requestCount {
			j := w.requests[fmt.Sprint("r", i+1)]
			if j.attemptServer != "" && !j.established && w.driver.now >= j.Deadline {
				w.endAttempt(j, TimedOut)
			}
		}
		w.book.CheckDeadlines(w.driver.now)
		w.recordActions(nil)
	}
}
