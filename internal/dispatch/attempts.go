package dispatch

import (
	"time"

	"coralrelay/balance"
)

// reattachInterval is the delay before a placement is offered again to the server that holds it.
const reattachInterval = 100 * time.Millisecond

// AttemptStarter makes the attempts for the placements of one listener. StartAttempt returns
// immediately. The result of each attempt is reported to the EventLoop exactly once, with
// AttemptEstablished or AttemptEnded.
type AttemptStarter interface {
	StartAttempt(placement Placement, attempt int, server string, deadline time.Time)
}

// startAttempt starts the attempt that the module requests. Its deadline is that of the placement or
// the end of the attempt's time-out, whichever is earlier.
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

// AttemptEstablished reports that a server has accepted an attempt, and the latency of its answer.
// From then on the listener that submitted the placement owns the attempt's connection.
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

// AttemptEnded reports that an attempt has ended without being established. Its socket must already
// be closed. The load is the load report in the server's answer, if there was one.
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

// retryReattach handles a failed attempt to return a placement to the server that holds it. The
// placement cannot go elsewhere, so the module makes no decision and has not been told of it. The
// attempt is repeated until the deadline if it cannot have had an effect: the address of the server may
// become known shortly afterwards, or the server may be at capacity because too many clients reconnect
// at the same time. If the server is not in the endpoint list, the placement fails immediately.
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

// ProbeEnded reports the result and the latency of a probe. The load is used only if the outcome is
// OK.
func (l *EventLoop) ProbeEnded(server string, outcome balance.Outcome, latency time.Duration,
	load balance.LoadReport) {
	l.post(func() {
		l.handle(balance.ProbeResult{Server: server, Outcome: outcome, Latency: latency, LoadReport: load})
	})
}
