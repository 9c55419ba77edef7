package dispatch

import (
	"time"

	"coralrelay/balance"
)

// reattachInterval is the pause before a server is offered a placement again that it holds.
const reattachInterval = 100 * time.Millisecond

// AttemptStarter makes the attempts for the placements of one listener. StartAttempt returns at
// once; the attempt's result is reported to the EventLoop once, by AttemptEstablished or
// AttemptEnded.
type AttemptStarter interface {
	StartAttempt(placement Placement, attempt int, server string, deadline time.Time)
}

// startAttempt starts the attempt that the module asks for, within the placement's deadline.
func (l *EventLoop) startAttempt(now time.Time, action balance.Attempt) {
	active := l.placements[action.ID]
	if active == nil {
		return
	}
	deadline := active.request.Deadline
	if action.Timeout > 0 && now.Add(action.Timeout).Before(deadline) {
		deadline = now.Add(action.Timeout)
	}
	active.server = action.Server
	if active.route != nil && active.attemptCount > 0 {
		l.Router.AddUsage(active.route, 1, 0)
	}
	active.trace.attemptStarted(action.Server)
	active.starter.StartAttempt(active.placement, active.attemptCount, action.Server, deadline)
	active.attemptCount++
}

// AttemptEstablished reports that a server has accepted an attempt, and after which time.
// Whoever brought the placement owns the attempt's connection from now on.
func (l *EventLoop) AttemptEstablished(placement Placement, attempt int, server string, latency time.Duration) {
	l.post(func() {
		active := l.lookup(placement)
		if active == nil {
			return
		}
		active.established = true
		active.trace.attemptStatus("established")
		if active.request.CurrentServer != "" {
			l.handle(balance.OpenConnection{Request: l.moduleRequest(active), Server: server})
		} else {
			l.observeAttempt(active, server, balance.OK, latency)
			l.handle(balance.ConnectionEstablished{
				ID: active.request.ID, Attempt: attempt, Server: server, Latency: latency})
		}
		if active.pendingEnd != nil {
			active.pendingEnd()
		}
	})
}

// AttemptEnded reports that an attempt has ended without being established. Its socket must be
// closed by then. The load is the server's, if its answer had a load report.
func (l *EventLoop) AttemptEnded(placement Placement, attempt int, server string, outcome balance.Outcome,
	latency time.Duration, load balance.LoadReport) {
	l.post(func() {
		active := l.lookup(placement)
		if active == nil {
			return
		}
		active.trace.attemptStatus(outcomeNames[outcome])
		if active.request.CurrentServer != "" {
			l.retryReattach(active, server, outcome)
			return
		}
		l.observeAttempt(active, server, outcome, latency)
		l.handle(balance.AttemptEnded{ID: active.request.ID, Attempt: attempt, Server: server, Outcome: outcome,
			Latency: latency, LoadReport: load})
	})
}

// retryReattach goes on with a placement that its server holds already and did not take back.
// There is nothing to decide, and the module has not heard of it. The server is offered it
// again while that is harmless and there is time: the node may learn a moment later where the
// server is, or too many clients came back at once. A server that is not in discovery's list
// can't take it back, so the placement fails.
func (l *EventLoop) retryReattach(active *activePlacement, server string, outcome balance.Outcome) {
	retryAt := time.Now().Add(reattachInterval)
	unlisted := l.listedServers != nil && !l.listedServers[server]
	harmless := outcome == balance.ConnectFailed || outcome == balance.AtCapacity || outcome == balance.NotSent
	if unlisted || !harmless || !retryAt.Before(active.request.Deadline) {
		l.remove(active.request.ID, "failed")
		active.placement.Fail()
		return
	}
	l.timers.schedule(retryAt, func() {
		if l.lookup(active.placement) == active {
			active.starter.StartAttempt(active.placement, 0, server, active.request.Deadline)
		}
	})
}

// ProbeEnded reports the result of a probe, and how long it took. The load counts only where
// the outcome is OK.
func (l *EventLoop) ProbeEnded(server string, outcome balance.Outcome, latency time.Duration,
	load balance.LoadReport) {
	l.post(func() {
		l.handle(balance.ProbeResult{Server: server, Outcome: outcome, Latency: latency, LoadReport: load})
	})
}
