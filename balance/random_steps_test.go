package balance

import (
	"fmt"
	"time"

	"coralrelay/internal/refmodel"
)

// step plays one event.
func (w *randomEvents) step() {
	switch w.rng.IntN(12) {
	case 0, 1, 2:
		w.sendRequest()
	case 3, 4, 5:
		w.answerProbe()
	case 6, 7:
		w.endOldestAttempt()
	case 8:
		w.changeServer()
	case 9:
		w.advance(time.Duration(w.rng.IntN(300)) * ms)
	case 10:
		r := w.requests[fmt.Sprint("r", 1+w.rng.IntN(w.requestCount+1))]
		if r != nil && !r.answered && !r.established {
			w.cancelRequest(r)
		}
	case 11:
		w.leaseQuota()
	}
}

func (w *randomEvents) sendRequest() {
	class := w.settings.Classes[w.rng.IntN(len(w.settings.Classes))]
	w.requestCount++
	request := Request{
		ID:       fmt.Sprint("r", w.requestCount),
		Class:    class.Name,
		Group:    fmt.Sprint("g", w.rng.IntN(4)),
		Deadline: w.driver.now + class.Deadline,
	}
	if w.rng.IntN(3) == 0 {
		zones := []ZoneShare{{"z0", float64(w.rng.IntN(3)) / 2}}
		request.Constraint = &ZoneConstraint{Zones: zones, DefaultShare: float64(w.rng.IntN(3)) / 2}
	}
	w.requests[request.ID] = &trackedRequest{Request: request}
	w.checker.RequestArrived(w.driver.now, request.ID, request.Deadline, w.repeatRules(class))
	w.recordActions(w.driver.handle(request))
}

// answerProbe answers one of the probes that are out.
func (w *randomEvents) answerProbe() {
	if len(w.probes) == 0 {
		return
	}
	i := w.rng.IntN(len(w.probes))
	server := w.probes[i]
	w.probes = append(w.probes[:i], w.probes[i+1:]...)
	report := loadReport(w.rng.Float64()*1.3, -1)
	outcome := []Outcome{OK, OK, OK, OK, AtCapacity, TimedOut, ConnectFailed}[w.rng.IntN(7)]
	if outcome != OK {
		report = EmptyLoadReport
	}
	w.recordActions(w.driver.handle(ProbeResult{Server: server, Outcome: outcome, Latency: ms, LoadReport: report}))
}

// endOldestAttempt lets the oldest attempt that is out stand or end.
func (w *randomEvents) endOldestAttempt() {
	for i := range w.requestCount {
		r := w.requests[fmt.Sprint("r", i+1)]
		if r.attemptServer == "" {
			continue
		}
		switch outcome := Outcome(w.rng.IntN(8)); {
		case r.established:
			w.endAttempt(r, []Outcome{OK, Reset, Cancelled}[w.rng.IntN(3)])
		case outcome == OK && w.rng.IntN(2) == 0:
			r.established = true
			w.checker.RequestAnswered(w.driver.now, r.ID, refmodel.Served)
			established := ConnectionEstablished{ID: r.ID, Attempt: r.attemptCount - 1, Server: r.attemptServer}
			w.recordActions(w.driver.handle(established))
		default:
			w.endAttempt(r, outcome)
		}
		return
	}
}

// changeServer changes the state of a server and hands over the list.
func (w *randomEvents) changeServer() {
	s := w.servers[fmt.Sprint("s", w.rng.IntN(randomServers))]
	was := s.State
	s.State = []ServerState{Ready, Ready, Draining, Gone}[w.rng.IntN(4)]
	if s.State == Ready && was != Ready {
		s.StartedAt = w.driver.now
	}
	w.updateList([]ListKind{ListDelta, ListFull}[w.rng.IntN(2)])
}

// leaseQuota hands over a lease that limits zones, with one period a second.
func (w *randomEvents) leaseQuota() {
	if period := int64(w.driver.now / time.Second); period > w.lease.Period {
		w.zoneAttempts = map[string]int{}
		w.lease.Period = period
	}
	w.lease.LeaseDuration, w.lease.TokensExpireAt, w.lease.RetryBudget = 800*ms, w.driver.now+time.Second, 5
	w.lease.Zones = []ZoneQuota{{"z0", float64(w.rng.IntN(3)) / 2, w.rng.IntN(6) - 1}, {"z1", 1, -1}}
	w.leaseEndsAt = w.driver.now + w.lease.LeaseDuration
	w.recordActions(w.driver.handle(w.lease))
}

// cancelRequest has a request's client leave in whatever phase it is: while it waits, is probed for
// or is out. What was under way then may still be reported, now or later.
func (w *randomEvents) cancelRequest(r *trackedRequest) {
	server := r.attemptServer
	r.attemptServer, r.answered = "", true
	w.checker.ClientLeft(w.driver.now, r.ID)
	w.recordActions(w.driver.handle(ClientGone{ID: r.ID}))
	if server == "" {
		return
	}
	if w.rng.IntN(2) == 0 {
		established := ConnectionEstablished{ID: r.ID, Attempt: r.attemptCount - 1, Server: server}
		w.recordActions(w.driver.handle(established))
	}
	for range w.rng.IntN(3) {
		outcome := Outcome(w.rng.IntN(8))
		w.reportEnd(r, server, outcome, outcome == OK)
	}
}

// advance lets time pass. At its deadline an attempt that is out times out.
func (w *randomEvents) advance(span time.Duration) {
	until := w.driver.now + span
	for w.driver.now < until {
		w.recordActions(w.driver.runFor(ms))
		for i := range w.requestCount {
			r := w.requests[fmt.Sprint("r", i+1)]
			if r.attemptServer != "" && !r.established && w.driver.now >= r.Deadline {
				w.endAttempt(r, TimedOut)
			}
		}
		w.checker.CheckDeadlines(w.driver.now)
		w.recordActions(nil)
	}
}
