package balance

// What follows an attempt? Its connection stands, another attempt is made elsewhere where that does no
// harm, or the request has its final answer.

import (
	"slices"
	"time"

	"coralrelay/internal/lifecycle"
)

const (
	// earlyResetAge is how soon a reset shows that the connection should not have been placed there,
	// rather than that its server has failed.
	earlyResetAge = 2 * time.Second
	// maxFailureRate is the share of recent attempts beyond which failures mean congestion.
	maxFailureRate = 0.5
)

// sendAttempt sends r to s, unless s has left meanwhile or has taken all that it can, or r's key window
// has ended.
func (b *Balancer) sendAttempt(r *request, s *server) {
	if b.isListExpired() || !b.hasCapacity(r, s) || !b.isAllowed(r, s) {
		b.enqueue(r)
		return
	}
	b.setPhase(r, attempting)
	b.recordAttempt(r, s)
	if b.admission.backoff > b.settings.Tick { // after congestion placements keep a distance
		b.pauseAdmission()
	}
	var timeout time.Duration
	if end := r.keyWindowEndsAt(); end != never { // a repeat sent after it would run twice
		timeout = end - b.now
	}
	b.emit(Attempt{ID: r.ID, Server: s.ID, Timeout: timeout})
}

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

// handleAttemptEnded goes on with a request whose attempt or connection has ended.
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
		return // the end of this attempt is known
	}
	if r.phase == attempting && r.server != nil && !b.hadLittleTime(r, e.Outcome) {
		b.recordSetupOutcome(r.server, e.Outcome)
	}
	if !e.Final && r.phase != established {
		b.retryOrFinish(r, e.Outcome)
		return
	}
	if r.phase == established && e.Outcome == Reset && r.server != nil {
		// A server that drops what it has just taken is full whatever its last report said; all who saw
		// that report went there together.
		b.recordFault(r.server)
		if b.now-r.startedAt < earlyResetAge {
			b.reduceWindow()
		} else {
			b.fleet.lastResetAt = b.now
		}
	}
	b.forgetRequest(r)
}

// hadLittleTime reports whether an attempt timed out because its request had little time left: less than
// half of what others wait for admission alone. Servers drop such requests without a word, so that the
// timeout says nothing of the server and nothing of the fleet.
func (b *Balancer) hadLittleTime(r *request, outcome Outcome) bool {
	return outcome == TimedOut && b.now-r.startedAt < b.queueTimeout(r)/2
}

// recordSetupOutcome counts a failed attempt against its server and in the failure rate.
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

// retryOrFinish decides what follows an attempt that ended without an answer. After a failed connection
// or a refusal as full drawing starts anew without that server, and so it does after an error where a
// repeat does no harm; after a reset or time-out nothing is sent again.
func (b *Balancer) retryOrFinish(r *request, outcome Outcome) {
	s := r.releasePlacedLoad(b.now)
	mayRetry := true
	switch outcome {
	case AtCapacity, ConnectFailed, NotSent:
	default:
		if r.mayHaveRunOn == nil { // the first that may have run, and the earliest that it can have
			r.mayHaveRunOn, r.mayHaveRunAt = s, r.startedAt
		}
		mayRetry = outcome == Errored && lifecycle.MayRetry(lifecycle.Repeat{
			MayHaveRun: true,
			Effect:     effects[r.class.Idempotency],
			InKeyScope: true, // mayRepeat looks at each server
			KeyWindow:  never,
		}) == lifecycle.None
	}
	if !mayRetry {
		b.finish(r, RetryUnsafe)
		return
	}
	if b.hasLease() && b.quota.retryBudget < 1 {
		b.finish(r, OverQuota)
		return
	}
	if s != nil {
		r.excludedServers = append(r.excludedServers, s)
	}
	b.enqueue(r)
}

// isAllowed reports whether r may go to s at all.
func (b *Balancer) isAllowed(r *request, s *server) bool {
	return !slices.Contains(r.excludedServers, s) && b.mayRepeat(r, s) && b.constraintShare(r, s) > 0
}

// mayRepeat reports whether r may be sent to s, given that an attempt of it may have run already: keyed
// requests only where repeats are dropped and only while they are, those that are not idempotent
// nowhere.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	first := r.mayHaveRunOn
	if first == nil {
		return true
	}
	return lifecycle.MayRetry(lifecycle.Repeat{
		MayHaveRun: true,
		Effect:     effects[r.class.Idempotency],
		InKeyScope: r.class.KeyScope.includes(first, s),
		Elapsed:    b.now - r.mayHaveRunAt,
		KeyWindow:  r.class.KeyWindow,
	}) == lifecycle.None
}

// effects are the kinds of idempotency as package lifecycle has them.
var effects = map[Idempotency]lifecycle.Effect{
	Idempotent:       lifecycle.Idempotent,
	IdempotencyKeyed: lifecycle.Keyed,
	NonIdempotent:    lifecycle.NonIdempotent,
}

// includes reports whether two servers are of the same group by the scope.
func (scope KeyScope) includes(one, other *server) bool {
	switch scope {
	case ScopeZone:
		return one.Zone == other.Zone
	case ScopeCell:
		return one.Cell == other.Cell
	}
	return true
}

// finish gives r its final answer: rejected where trying again is surely harmless, else failed.
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
	b.forgetRequest(r)
}
