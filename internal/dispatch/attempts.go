package dispatch

// What becomes of the branches that the module has asked for.

import (
	"time"

	"coralrelay/balance"
)

// homeAgain is the pause before a next hop is offered once more what it held.
const reattachInterval = 100 * time.Millisecond

// BranchUp is told when a branch is up, and what it carries is the front's.
func (l *EventLoop) AttemptEstablished(placement Placement, attempt int, server string, latency time.Duration) {
	l.post(func() {
		active := l.lookup(placement)
		if active == nil {
			return
		}
		active.established = true
		active.trace.attemptStatus("up")
		if active.request.CurrentServer != "" {
			l.handle(balance.OpenConnection{Request: l.moduleRequest(active), Server: server})
		} else {
			l.observeAttempt(active, server, balance.OK, latency)
			l.handle(balance.ConnectionEstablished{ID: active.request.ID, Attempt: attempt, Server: server, Latency: latency})
		}
		if active.pendingEnd != nil {
			active.pendingEnd()
		}
	})
}

// BranchEnded is told when a branch has ended without coming up. Its socket is
// closed by then.
func (l *EventLoop) AttemptEnded(placement Placement, attempt int, server string, outcome balance.Outcome,
	latency time.Duration, load balance.LoadReport) {
	l.post(func() {
		active := l.lookup(placement)
		if active != nil {
			active.trace.attemptStatus(outcomeNames[outcome])
		}
		switch {
		case active == nil:
		case active.request.CurrentServer != "":
			l.retryReattach(active, server, outcome)
		default:
			l.observeAttempt(active, server, outcome, latency)
			l.handle(balance.AttemptEnded{ID: active.request.ID, Attempt: attempt, Server: server, Outcome: outcome,
				Latency: latency, LoadReport: load})
		}
	})
}

// backHome goes on with a transaction whose next hop holds it already and did
// not take it back. There is nothing to decide, and the module never heard of
// it: it is offered again while that is harmless and there is time, as the node
// may know its next hop only a moment later, or too many came home at once. Once the
// roster has answered and doesn't name it, nobody can take it back.
func (l *EventLoop) retryReattach(active *activePlacement, server string, outcome balance.Outcome) {
	retryAt := time.Now().Add(reattachInterval)
	unlisted := l.listedServers != nil && !l.listedServers[server]
	if unlisted || outcome != balance.ConnectFailed && outcome != balance.AtCapacity || !retryAt.Before(active.request.Deadline) {
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

// Probed is told a probe's result.
func (l *EventLoop) ProbeEnded(server string, outcome balance.Outcome, latency time.Duration, load balance.LoadReport) {
	l.post(func() {
		l.handle(balance.ProbeResult{Server: server, Outcome: outcome, Latency: latency, LoadReport: load})
	})
}
