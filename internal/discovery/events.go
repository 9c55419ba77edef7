package discovery

import (
	"log/slog"
	"slices"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/audit"
	"coralrelay/internal/inputlimit"
	"coralrelay/internal/listlease"
)

// minFirstHeartbeatDelay is the time after a response header from which an empty line counts as a
// heartbeat although no message has arrived yet. An earlier empty line may belong to a list that
// follows.
const minFirstHeartbeatDelay = heartbeatInterval / 2

// handleEvent handles an event of a call. Events of calls that have been cancelled are ignored.
func (w *Watcher) handleEvent(ev event) {
	if !slices.Contains(w.calls, ev.call) {
		return
	}
	c := ev.call
	if ev.err != nil {
		w.endCall(c, ev.err)
		return
	}
	c.reached = max(c.reached, ev.progress)
	switch ev.progress {
	case progressConnected:
		w.lease.Connected()
	case progressHeader:
		c.overdue, c.headerReceivedAt = nil, ev.at
		if !ev.date.IsZero() {
			w.startTimes.skew.observeDate(w.Now(), ev.date)
		}
	case progressFirstByte:
		w.setFirstMessageDeadline(c)
	case progressHeartbeat:
		w.handleHeartbeat(c, ev.at)
	case progressMessage:
		w.handleMessage(c, ev)
	}
}

// setFirstMessageDeadline sets when a call whose first message has begun to arrive becomes overdue.
func (w *Watcher) setFirstMessageDeadline(c *call) {
	switch {
	case c.watching:
	case c.reason.hasListDeadline():
		c.overdue = time.After(time.Until(c.listDeadline))
	case c.reason == reasonCallFailed:
		c.overdue = time.After(responseTimeout)
	}
}

// handleHeartbeat handles an empty line, which confirms that all earlier changes have arrived. If
// no message has arrived on the call yet, nothing has changed since the generation that the call
// polled from.
func (w *Watcher) handleHeartbeat(c *call, at time.Time) {
	if !c.watching {
		polledCurrentList := c.fromGeneration > 0 && c.fromGeneration == w.lastGeneration
		if !polledCurrentList || at.Sub(c.headerReceivedAt) < minFirstHeartbeatDelay {
			return
		}
		w.promoteToWatch(c)
	}
	w.confirmList(at)
}

// handleMessage handles a complete list or changes to it. Changes with an older generation than the
// current list's are dropped, and their call ends.
func (w *Watcher) handleMessage(c *call, ev event) {
	update := ev.update
	if update.Generation < w.lastGeneration {
		w.reportOutdated(c, &update)
		if update.Kind != balance.ListFull {
			w.endCall(c, &callError{listlease.Unusable, errOutdatedChanges})
			return
		}
	}
	if size, limit := w.listed.apply(&update), w.Limits.Endpoints; size > limit {
		err := inputlimit.Exceeded(inputlimit.DiscoveryEndpoints, c.addr, int64(size), int64(limit))
		w.endCall(c, &callError{listlease.Unusable, err}) // the next call requests a complete list
		return
	}
	w.startTimes.convert(w.Now(), &update, c.watching)
	w.promoteToWatch(c)
	w.lastGeneration = update.Generation
	w.needsFullList = w.needsFullList && update.Kind != balance.ListFull
	w.sink.UpdateEndpoints(update)
	w.confirmList(ev.at)
}

// reportOutdated logs, once for each call, that the service offers a list that is older than the current
// one.
func (w *Watcher) reportOutdated(c *call, update *Update) {
	if c.outdatedReported {
		return
	}
	c.outdatedReported = true
	slog.Warn("endpoint list went back", w.describe(c, "offered_generation", update.Generation,
		"reset", update.Kind == balance.ListFull)...)
}

// promoteToWatch makes the call the watch that is followed, and cancels the other calls.
func (w *Watcher) promoteToWatch(c *call) {
	w.cancelCallsExcept(c)
	c.overdue, c.failureReported, c.watching = nil, false, true
	w.nextReason = reasonWatchEnded
}

// endCall removes a call that has ended, and reports its failure unless it was reported before.
func (w *Watcher) endCall(c *call, err error) {
	c.cancel()
	w.calls = slices.DeleteFunc(w.calls, func(other *call) bool { return other == c })
	outcome := c.outcomeOf(err)
	w.needsFullList = w.needsFullList || outcome == listlease.Unusable
	w.countCall(outcome)
	ended := listlease.Call{BegunAt: c.startedAt, EndedAt: time.Now(), Outcome: outcome}
	w.lease.CallEnded(ended)
	w.publishLease()
	if c.failureReported {
		slog.Info("overdue endpoint list call ended", w.describe(c, "outcome", outcome.String(), "error", err)...)
		return
	}
	w.reportFailure(c, outcome.String(), err, failureOf(ended))
}

// reportFailure reports that a call has failed, once for each call. The Sink then decides when to
// poll again. A poll that was requested earlier is discarded, as otherwise two calls would follow
// each other without a pause.
func (w *Watcher) reportFailure(c *call, outcome string, err error, failure balance.ListFailure) {
	c.failureReported = true
	reconnectReason := audit.ReconnectWatchEnded
	if !c.watching {
		w.nextReason = reasonCallFailed
		reconnectReason = audit.ReconnectCallFailed
	}
	audit.Count(reconnectReason)
	w.discardPollRequest()
	slog.Warn("endpoint list watch ended", w.describe(c, "outcome", outcome, "error", err)...)
	w.sink.UpdateEndpoints(Update{Kind: balance.ListFailed, Generation: w.lastGeneration, Failure: failure})
}

// discardPollRequest discards a pending poll request.
func (w *Watcher) discardPollRequest() {
	select {
	case <-w.pollRequested:
	default:
	}
}

// countCall counts a call that has ended with the given outcome.
func (w *Watcher) countCall(outcome listlease.Outcome) { w.callCounts[outcome].Add(1) }

// CallCount returns how many calls have ended with the given outcome. It may be called from any
// goroutine.
func (w *Watcher) CallCount(outcome listlease.Outcome) int64 { return w.callCounts[outcome].Load() }

// describe returns the attributes of a log line about a call: its reason, its progress, and the
// state of the current list.
func (w *Watcher) describe(c *call, attributes ...any) []any {
	now := time.Now()
	return append([]any{"component", "discovery", "address", c.addr, "call", c.number, "reason", c.reason.String(),
		"reached", c.reached.String(), "duration_ms", now.Sub(c.startedAt).Milliseconds(),
		"from_generation", c.fromGeneration, "generation", w.lastGeneration,
		"list_age_ms", w.Status().Age(now).Milliseconds()}, attributes...)
}
