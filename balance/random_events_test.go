package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// randomEvents plays legal events at random against one instance and has the reference model check
// every one, and every action. It models no load.
type randomEvents struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	driver       *driver
	checker      *refmodel.Checker
	requests     map[string]*trackedRequest
	requestCount int
	servers      map[string]*ServerEntry
	probes       []string // servers whose probe is out
	actions      []Action // all so far

	lease        QuotaLease // the latest
	leaseEndsAt  time.Duration
	zoneAttempts map[string]int // attempts by zone in the lease's period
}

// trackedRequest is what has to be known of a request to go on with it.
type trackedRequest struct {
	Request
	attemptServer string // where its attempt or connection is
	attemptCount  int
	established   bool
	answered      bool
}

// randomServers is how many servers the random events are about.
const randomServers = 6

func newRandomEvents(t *testing.T, seed uint64, settings Settings) *randomEvents {
	w := &randomEvents{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		settings: settings,
		requests: map[string]*trackedRequest{},
		servers:  map[string]*ServerEntry{},
		checker: refmodel.NewChecker(refmodel.Rules{
			AnswerGrace:   settings.Rules.AnswerGrace,
			MaxAttempts:   settings.Limits.MaxAttempts,
			DrainGrace:    settings.Rules.DrainGrace,
			FailFastLimit: 2 * settings.Tick,
		}),
	}
	w.driver = newDriver(t, settings)
	for i := range randomServers {
		id := fmt.Sprint("s", i)
		w.servers[id] = &ServerEntry{ID: id, Zone: fmt.Sprint("z", i%2), Cell: i % 3}
	}
	w.updateList(ListFull)
	return w
}

// updateList hands over a list of the servers as they are now.
func (w *randomEvents) updateList(kind ListKind) {
	var list []ServerEntry
	for i := range randomServers {
		s := w.servers[fmt.Sprint("s", i)]
		w.checker.NodeNotified(w.driver.now, s.ID, refmodel.ServerState(s.State), s.StartedAt)
		if kind == ListDelta || s.State != Gone {
			list = append(list, *s)
		}
	}
	w.recordActions(w.driver.updateList(kind, list...))
}

// repeatRules is what the reference model has to know of a class.
func (w *randomEvents) repeatRules(c Class) refmodel.RetryPolicy {
	rules := refmodel.RetryPolicy{Forbidden: c.Idempotency == NonIdempotent}
	if c.Idempotency != IdempotencyKeyed {
		return rules
	}
	rules.Within = c.KeyWindow
	switch c.KeyScope {
	case ScopeZone:
		rules.AllowedOn = func(ran, s string) bool { return w.servers[ran].Zone == w.servers[s].Zone }
	case ScopeCell:
		rules.AllowedOn = func(ran, s string) bool { return w.servers[ran].Cell == w.servers[s].Cell }
	}
	return rules
}

// recordActions has the actions checked and tracks what they start.
func (w *randomEvents) recordActions(actions []Action) {
	w.t.Helper()
	w.actions = append(w.actions, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Attempt:
			w.checker.AttemptSent(w.driver.now, a.ID, a.Server)
			r := w.requests[a.ID]
			w.checkConstraints(r.Constraint, w.servers[a.Server].Zone)
			r.attemptServer = a.Server
			r.attemptCount++
		case Reject:
			w.checker.RequestAnswered(w.driver.now, a.ID, refmodel.Refused)
			w.requests[a.ID].answered = true
		case Fail:
			w.checker.RequestAnswered(w.driver.now, a.ID, refmodel.Failed)
			w.requests[a.ID].answered = true
		case Probe:
			if w.servers[a.Server] == nil {
				w.t.Fatalf("probe of unknown server %s", a.Server)
			}
			w.probes = append(w.probes, a.Server)
		case Migrate:
			if w.requests[a.ID] == nil {
				w.t.Fatalf("migration of unknown %s", a.ID)
			}
		}
	}
	if len(w.checker.Violations) > 0 {
		w.t.Fatal(w.checker.Violations)
	}
}

// checkConstraints holds an attempt to its request's constraint and to the lease.
func (w *randomEvents) checkConstraints(constraint *ZoneConstraint, zone string) {
	if constraint != nil && constraint.shareOf(zone) == 0 {
		w.t.Fatalf("sent into %s, constrained by %+v", zone, constraint)
	}
	if w.driver.now >= w.leaseEndsAt {
		return
	}
	w.zoneAttempts[zone]++
	for _, z := range w.lease.Zones {
		if z.Zone == zone && (z.Share == 0 || z.Tokens >= 0 && w.zoneAttempts[zone] > z.Tokens) {
			w.t.Fatalf("attempt %d in the period into %s, by %+v", w.zoneAttempts[zone], zone, z)
		}
	}
}

// endAttempt ends a request's attempt, or its connection, with an outcome.
func (w *randomEvents) endAttempt(r *trackedRequest, outcome Outcome) {
	server := r.attemptServer
	r.attemptServer = ""
	final := outcome == OK || r.established
	switch {
	case r.established:
	case outcome == OK:
		w.checker.RequestAnswered(w.driver.now, r.ID, refmodel.Served)
	case outcome == AtCapacity || outcome == ConnectFailed || outcome == NotSent:
		w.checker.AttemptEnded(w.driver.now, r.ID, refmodel.NotRun)
	case outcome == Errored:
		w.checker.AttemptEnded(w.driver.now, r.ID, refmodel.MayHaveRun)
	default:
		w.checker.AttemptEnded(w.driver.now, r.ID, refmodel.NoReply)
	}
	r.answered = final
	w.reportEnd(r, server, outcome, final)
}

// reportEnd hands over the end of a request's latest attempt.
func (w *randomEvents) reportEnd(r *trackedRequest, server string, outcome Outcome, final bool) {
	w.recordActions(w.driver.handle(AttemptEnded{ID: r.ID, Attempt: r.attemptCount - 1, Server: server,
		Outcome: outcome, Final: final, LoadReport: EmptyLoadReport}))
}
