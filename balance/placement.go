package balance

// Placement: what follows an attempt. Either its connection is established, or another attempt is made on a
// different server if repeating the request is safe, or the request gets its final answer.

import (
	"slices"
	"time"

	"coralrelay/internal/lifecycle"
)

const (
	// earlyResetAge is the age below which the reset of a connection shows that it should not have been
	// placed on its server, rather than that the server has failed.
	earlyResetAge = 2 * time.Second
	// maxFailureRate is the share of recent attempts above which failures count as congestion.
	maxFailureRate = 0.5
)

// sendAttempt sends r to s. It queues r again if s is no longer available or has no capacity left, if the
// list lease has expired, or if r's key window has ended.
func (b *Balancer) sendAttempt(r *request, s *server) {
	if b.isListExpired() || !b.hasCapacity(r, s) || !b.isAllowed(r, s) {
		b.enqueue(r)
		return
	}
	b.setPhase(r, attempting)
	b.recordAttempt(r, s)
	if b.admission.backoff > b.settings.Tick { // after congestion, placements are spaced by the backoff
		b.pauseAdmission()
	}
	var timeout time.Duration
	if end := r.keyWindowEndsAt(); end != never { // a repeat sent after the key window would run twice
		timeout = end - b.now
	}
	b.emit(Attempt{ID: r.ID, Server: s.ID, Timeout: timeout})
}

// handleEstablished records that the connection of an attempt is established.
func (b *Balancer) handleEstablished(e ConnectionEstablished) {
	r := b.requests.byID[e.ID]
	if r == nil || r.server == nil || r.phase != attempting {
		return
	}
	if e.Latency > 0 {
		r.server.recentFaults.sum /= 2
	}
	b.attachConnection(r, r.server)
	b.growWindow()
}

// handleAttemptEnded processes the end of an attempt or of a connection.
func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	if s := b.servers.byID[e.Server]; s != nil && b.settings.LoadReporting.InOutcomes {
		b.applyReport(s, e.LoadReport)
	}
	r := b.requests.byID[e.ID]
	if r == nil {
		return
	}
	isCurrent := r.phase == attempting && e.Attempt == r.attemptCount-1
	if !isCurrent && !e.Final && r.phase != established {
		return // the end of this attempt is already known
	}
	if r.phase == attempting && r.server != nil && !b.hadShortDeadline(r, e.Outcome) {
		b.recordSetupOutcome(r.server, e.Outcome)
	}
	if !e.Final && r.phase != established {
		b.retryOrFinish(r, e.Outcome)
		return
	}
	if r.phase == established && e.Outcome == Reset && r.server != nil {
		// The reset of an accepted connection counts as a fault. If it comes early, the server is full,
		// whatever its last report says: all instances that saw the report may have sent requests there at
		// the same time.
		b.recordFault(r.server)
		if b.now-r.startedAt < earlyResetAge {
			b.reduceWindow()
		} else {
			b.fleet.lastResetAt = b.now
		}
	}
	b.removeRequest(r)
}

// hadShortDeadline reports whether an attempt timed out because its request had little time left: less than
// half of what other requests may spend waiting for admission alone. Servers drop such requests without an
// answer, so the timeout indicates a problem neither of the server nor of the fleet.
func (b *Balancer) hadShortDeadline(r *request, outcome Outcome) bool {
	return outcome == TimedOut && b.now-r.startedAt < b.queueTimeout(r)/2
}

// recordSetupOutcome counts a failed attempt as a fault of its server and in the failure rate.
func (b *Balancer) recordSetupOutcome(s *server, outcome Outcome) {
	switch outcome {
	case Errored, ConnectFailed, AtCapacity, TimedOut, Reset:
		b.recordFault(s)
		b.admission.failureRate += (1 - b.admission.failureRate) / failureRateSamples
		if b.admission.failureRate > maxFailureRate {
			b.reduceWindow()
		}
	}
}

// retryOrFinish decides what follows an attempt that ended without an answer. If the connection failed, a
// full server refused the attempt or the attempt was not sent, r draws again without that server. The same
// applies after an error if repeating r is safe. After a reset or a timeout, r is not sent again.
func (b *Balancer) retryOrFinish(r *request, outcome Outcome) {
	s := r.releasePlacedLoad(b.now)
	mayRetry := true
	switch outcome {
	case AtCapacity, ConnectFailed, NotSent:
	default:
		if r.mayHaveRunOn == nil { // the first attempt that may have run, at the earliest when sent
			r.mayHaveRunOn, r.mayHaveRunAt = s, r.startedAt
		}
		mayRetry = outcome == Errored && lifecycle.MayRetry(lifecycle.Retry{
			MayHaveRun:  true,
			Idempotence: lifecycleIdempotence[r.class.Idempotency],
			InKeyScope:  true, // mayRetryOn checks the key scope for each server
			KeyWindow:   never,
		}) == lifecycle.None
	}
	if !mayRetry {
		b.finish(r, RetryUnsafe)
		return
	}
	if b.hasQuota() && b.quota.retryBudget < 1 {
		b.finish(r, OverQuota)
		return
	}
	if s != nil {
		r.excludedServers = append(r.excludedServers, s)
	}
	b.enqueue(r)
}

// isAllowed reports whether r may be sent to s at all.
func (b *Balancer) isAllowed(r *request, s *server) bool {
	return !slices.Contains(r.excludedServers, s) && b.mayRetryOn(r, s) && b.constraintShare(r, s) > 0
}

// mayRetryOn reports whether r may be sent to s, given that an earlier attempt may have run. A keyed request
// may be sent only to servers that drop repeats of its key, and only while they do; a request that is not
// idempotent may not be sent to any.
func (b *Balancer) mayRetryOn(r *request, s *server) bool {
	first := r.mayHaveRunOn
	if first == nil {
		return true
	}
	return lifecycle.MayRetry(lifecycle.Retry{
		MayHaveRun:  true,
		Idempotence: lifecycleIdempotence[r.class.Idempotency],
		InKeyScope:  r.class.KeyScope.includes(first, s),
		Elapsed:     b.now - r.mayHaveRunAt,
		KeyWindow:   r.class.KeyWindow,
	}) == lifecycle.None
}

// lifecycleIdempotence maps the kinds of idempotency to those of package lifecycle.
var lifecycleIdempotence = map[Idempotency]lifecycle.Idempotence{
	Idempotent:       lifecycle.Idempotent,
	IdempotencyKeyed: lifecycle.IdempotentByKey,
	NonIdempotent:    lifecycle.NonIdempotent,
}

// includes reports whether two servers belong to the same group of the scope.
func (scope KeyScope) includes(one, other *server) bool {
	switch scope {
	case ScopeZone:
		return one.Zone == other.Zone
	case ScopeCell:
		return one.Cell == other.Cell
	}
	return true
}

// finish gives r its final answer: Reject if a retry by the client is certainly safe, otherwise Fail.
func (b *Balancer) finish(r *request, reason RejectReason) {
	isHarmless := r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotencyKeyed && r.class.KeyScope == ScopeAll
	if isHarmless {
		var retryAfter time.Duration
		if b.settings.Limits.SendRetryAfter {
			retryAfter = b.jitter(min(b.settings.Limits.MaxRetryAfter/2, r.class.Deadline/3), 0.5)
		}
		b.emit(Reject{ID: r.ID, RetryAfter: retryAfter, Reason: reason})
	} else {
		b.emit(Fail{ID: r.ID, Reason: reason})
	}
	b.removeRequest(r)
}
