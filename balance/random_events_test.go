package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// eventFuzzer passes random but legal events to one Balancer. The reference model checks every event and
// every action. Reported loads are random and do not depend on the connections.
type eventFuzzer struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	driver       *driver
	checker      *refmodel.Checker
	requests     map[string]*trackedRequest
	requestCount int
	servers      map[string]*ServerEntry
	probes       []string // servers with a probe in flight
	actions      []Action // all actions so far

	lease        QuotaLease // the latest one
	leaseEndsAt  time.Duration
	zoneAttempts map[string]int // attempts by zone in the period of the lease
}

// trackedRequest is the state of a request from which its next events are chosen.
type trackedRequest struct {
	Request
	attemptServer string // the server of its current attempt or connection; empty for none
	attemptCount  int
	established   bool
	answered      bool
}

// fuzzedServers is the number of servers in the list.
const fuzzedServers = 6

// newEventFuzzer returns a fuzzer whose Balancer has received a list of all servers.
func newEventFuzzer(t *testing.T, seed uint64, settings Settings) *eventFuzzer {
	f := &eventFuzzer{
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
	f.driver = newDriver(t, settings)
	for i := range fuzzedServers {
		id := fmt.Sprint("s", i)
		f.servers[id] = &ServerEntry{ID: id, Zone: fmt.Sprint("z", i%2), Cell: i % 3}
	}
	f.updateList(ListFull)
	return f
}

// updateList passes the current state of the servers to the Balancer.
func (f *eventFuzzer) updateList(kind ListKind) {
	var entries []ServerEntry
	for i := range fuzzedServers {
		s := f.servers[fmt.Sprint("s", i)]
		f.checker.NodeNotified(f.driver.now, s.ID, refmodel.ServerState(s.State), s.StartedAt)
		if kind == ListDelta || s.State != Gone {
			entries = append(entries, *s)
		}
	}
	f.recordActions(f.driver.updateList(kind, entries...))
}

// retryPolicy returns the rules of the reference model for retries of the class.
func (f *eventFuzzer) retryPolicy(c Class) refmodel.RetryPolicy {
	policy := refmodel.RetryPolicy{Forbidden: c.Idempotency == NonIdempotent}
	if c.Idempotency != IdempotencyKeyed {
		return policy
	}
	policy.Within = c.KeyWindow
	switch c.KeyScope {
	case ScopeZone:
		policy.AllowedOn = func(ran, s string) bool { return f.servers[ran].Zone == f.servers[s].Zone }
	case ScopeCell:
		policy.AllowedOn = func(ran, s string) bool { return f.servers[ran].Cell == f.servers[s].Cell }
	}
	return policy
}

// recordActions passes the actions to the reference model and updates the tracked requests and probes.
func (f *eventFuzzer) recordActions(actions []Action) {
	f.t.Helper()
	f.actions = append(f.actions, actions...)
	for _, a := range actions {
		switch a := a.(type) {
		case Attempt:
			f.checker.AttemptSent(f.driver.now, a.ID, a.Server)
			r := f.requests[a.ID]
			f.checkConstraints(r.Constraint, f.servers[a.Server].Zone)
			r.attemptServer = a.Server
			r.attemptCount++
		case Reject:
			f.checker.RequestAnswered(f.driver.now, a.ID, refmodel.Refused)
			f.requests[a.ID].answered = true
		case Fail:
			f.checker.RequestAnswered(f.driver.now, a.ID, refmodel.Failed)
			f.requests[a.ID].answered = true
		case Probe:
			if f.servers[a.Server] == nil {
				f.t.Fatalf("probe of unknown server %s", a.Server)
			}
			f.probes = append(f.probes, a.Server)
		case Migrate:
			if f.requests[a.ID] == nil {
				f.t.Fatalf("migration of unknown request %s", a.ID)
			}
		}
	}
	if len(f.checker.Violations) > 0 {
		f.t.Fatal(f.checker.Violations)
	}
}

// checkConstraints checks that an attempt in the zone is permitted by its request's constraint and by the
// quota lease.
func (f *eventFuzzer) checkConstraints(constraint *ZoneConstraint, zone string) {
	if constraint != nil && constraint.shareOf(zone) == 0 {
		f.t.Fatalf("attempt in zone %s despite the constraint %+v", zone, constraint)
	}
	if f.driver.now >= f.leaseEndsAt {
		return
	}
	f.zoneAttempts[zone]++
	for _, z := range f.lease.Zones {
		if z.Zone == zone && (z.Share == 0 || z.Tokens >= 0 && f.zoneAttempts[zone] > z.Tokens) {
			f.t.Fatalf("attempt %d of the period in zone %s despite the quota %+v",
				f.zoneAttempts[zone], zone, z)
		}
	}
}

// endAttempt ends a request's attempt, or its connection, with the given outcome.
func (f *eventFuzzer) endAttempt(r *trackedRequest, outcome Outcome) {
	server := r.attemptServer
	r.attemptServer = ""
	final := outcome == OK || r.established
	switch {
	case r.established:
	case outcome == OK:
		f.checker.RequestAnswered(f.driver.now, r.ID, refmodel.Served)
	case outcome == AtCapacity || outcome == ConnectFailed || outcome == NotSent:
		f.checker.AttemptEnded(f.driver.now, r.ID, refmodel.NotRun)
	case outcome == Errored:
		f.checker.AttemptEnded(f.driver.now, r.ID, refmodel.MayHaveRun)
	default:
		f.checker.AttemptEnded(f.driver.now, r.ID, refmodel.NoReply)
	}
	r.answered = final
	f.reportAttemptEnd(r, server, outcome, final)
}

// reportAttemptEnd reports to the Balancer that the request's latest attempt has ended.
func (f *eventFuzzer) reportAttemptEnd(r *trackedRequest, server string, outcome Outcome, final bool) {
	f.recordActions(f.driver.handle(AttemptEnded{ID: r.ID, Attempt: r.attemptCount - 1, Server: server,
		Outcome: outcome, Final: final, LoadReport: EmptyLoadReport}))
}
