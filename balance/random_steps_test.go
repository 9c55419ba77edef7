package balance

import (
	"fmt"
	"time"

	"coralrelay/internal/refmodel"
)

// step passes one random event to the Balancer, or lets time pass.
func (f *eventFuzzer) step() {
	switch f.rng.IntN(12) {
	case 0, 1, 2:
		f.sendRequest()
	case 3, 4, 5:
		f.answerProbe()
	case 6, 7:
		f.progressOldestAttempt()
	case 8:
		f.changeServer()
	case 9:
		f.advance(time.Duration(f.rng.IntN(300)) * ms)
	case 10:
		r := f.requests[fmt.Sprint("r", 1+f.rng.IntN(f.requestCount+1))]
		if r != nil && !r.answered && !r.established {
			f.cancelRequest(r)
		}
	case 11:
		f.leaseQuota()
	}
}

// sendRequest sends a request of a random class and group; a third of the requests have a random constraint.
func (f *eventFuzzer) sendRequest() {
	class := f.settings.Classes[f.rng.IntN(len(f.settings.Classes))]
	f.requestCount++
	request := Request{
		ID:       fmt.Sprint("r", f.requestCount),
		Class:    class.Name,
		Group:    fmt.Sprint("g", f.rng.IntN(4)),
		Deadline: f.driver.now + class.Deadline,
	}
	if f.rng.IntN(3) == 0 {
		zones := []ZoneShare{{"z0", float64(f.rng.IntN(3)) / 2}}
		request.Constraint = &ZoneConstraint{Zones: zones, DefaultShare: float64(f.rng.IntN(3)) / 2}
	}
	f.requests[request.ID] = &trackedRequest{Request: request}
	f.checker.RequestArrived(f.driver.now, request.ID, request.Deadline, f.retryPolicy(class))
	f.recordActions(f.driver.handle(request))
}

// answerProbe ends one of the probes in flight with a random outcome.
func (f *eventFuzzer) answerProbe() {
	if len(f.probes) == 0 {
		return
	}
	i := f.rng.IntN(len(f.probes))
	server := f.probes[i]
	f.probes = append(f.probes[:i], f.probes[i+1:]...)
	report := loadReport(f.rng.Float64()*1.3, -1)
	outcome := []Outcome{OK, OK, OK, OK, AtCapacity, TimedOut, ConnectFailed}[f.rng.IntN(7)]
	if outcome != OK {
		report = EmptyLoadReport
	}
	f.recordActions(f.driver.handle(ProbeResult{
		Server: server, Outcome: outcome, Latency: ms, LoadReport: report}))
}

// progressOldestAttempt takes the oldest request with an attempt or a connection. It establishes the
// connection of the attempt, or ends the attempt or connection, with a random outcome.
func (f *eventFuzzer) progressOldestAttempt() {
	for i := range f.requestCount {
		r := f.requests[fmt.Sprint("r", i+1)]
		if r.attemptServer == "" {
			continue
		}
		switch outcome := Outcome(f.rng.IntN(8)); {
		case r.established:
			f.endAttempt(r, []Outcome{OK, Reset, Cancelled}[f.rng.IntN(3)])
		case outcome == OK && f.rng.IntN(2) == 0:
			r.established = true
			f.checker.RequestAnswered(f.driver.now, r.ID, refmodel.Served)
			established := ConnectionEstablished{
				ID: r.ID, Attempt: r.attemptCount - 1, Server: r.attemptServer}
			f.recordActions(f.driver.handle(established))
		default:
			f.endAttempt(r, outcome)
		}
		return
	}
}

// changeServer changes the state of a random server and updates the list.
func (f *eventFuzzer) changeServer() {
	s := f.servers[fmt.Sprint("s", f.rng.IntN(fuzzedServers))]
	previous := s.State
	s.State = []ServerState{Ready, Ready, Draining, Gone}[f.rng.IntN(4)]
	if s.State == Ready && previous != Ready {
		s.StartedAt = f.driver.now
	}
	f.updateList([]ListKind{ListDelta, ListFull}[f.rng.IntN(2)])
}

// leaseQuota grants a quota lease that limits the zone z0. A period of leases lasts one second.
func (f *eventFuzzer) leaseQuota() {
	if period := int64(f.driver.now / time.Second); period > f.lease.Period {
		f.zoneAttempts = map[string]int{}
		f.lease.Period = period
	}
	f.lease.LeaseDuration, f.lease.TokensExpireAt, f.lease.RetryBudget = 800*ms, f.driver.now+time.Second, 5
	f.lease.Zones = []ZoneQuota{{"z0", float64(f.rng.IntN(3)) / 2, f.rng.IntN(6) - 1}, {"z1", 1, -1}}
	f.leaseEndsAt = f.driver.now + f.lease.LeaseDuration
	f.recordActions(f.driver.handle(f.lease))
}

// cancelRequest disconnects the client of a request that is queued, draws or has an attempt in progress. The
// results of that attempt may still be reported afterwards, also more than once.
func (f *eventFuzzer) cancelRequest(r *trackedRequest) {
	server := r.attemptServer
	r.attemptServer, r.answered = "", true
	f.checker.ClientLeft(f.driver.now, r.ID)
	f.recordActions(f.driver.handle(ClientGone{ID: r.ID}))
	if server == "" {
		return
	}
	if f.rng.IntN(2) == 0 {
		established := ConnectionEstablished{ID: r.ID, Attempt: r.attemptCount - 1, Server: server}
		f.recordActions(f.driver.handle(established))
	}
	for range f.rng.IntN(3) {
		outcome := Outcome(f.rng.IntN(8))
		f.reportAttemptEnd(r, server, outcome, outcome == OK)
	}
}

// advance advances the time. An attempt in progress times out at the deadline of its request.
func (f *eventFuzzer) advance(duration time.Duration) {
	until := f.driver.now + duration
	for f.driver.now < until {
		f.recordActions(f.driver.runFor(ms))
		for i := range f.requestCount {
			r := f.requests[fmt.Sprint("r", i+1)]
			if r.attemptServer != "" && !r.established && f.driver.now >= r.Deadline {
				f.endAttempt(r, TimedOut)
			}
		}
		f.checker.CheckDeadlines(f.driver.now)
		f.recordActions(nil)
	}
}
