package balance

// What follows an attempt? It stands, it is made anew elsewhere where that does no harm,
// or the request has its final answer.

import (
	"slices"
	"time"
)

// young is how soon a reset tells that the connection should not have been
// placed, rather than that its server has failed.
const earlyResetAge = 2 * time.Second

// send places r on s, unless meanwhile s has left or taken all that it can, or the
// time of r's repeats is up.
func (b *Balancer) sendAttempt(r *request, s *server) {
	if !b.hasCapacity(s) || !b.isAllowed(r, s) {
		b.enqueue(r)
		return
	}
	b.setPhase(r, attempting)
	r.server, r.timerAt, r.startedAt = s, never, b.now
	r.attemptCount++
	b.rate[0].add(b.now, 1)
	if r.attemptCount == 1 && !r.Reconnecting && !r.ClientRetry {
		b.rate[1].add(b.now, 1)
	} else if r.attemptCount > 1 {
		b.recentRetries.add(b.now, 1)
		b.retryBudget--
	}
	if b.backoff > b.settings.Tick { // after congestion placements keep a distance
		b.pauseAdmission()
	}
	r.addedLoad = b.estimateAddedLoad(r, s)
	s.placedLoad.add(b.now, r.addedLoad)
	s.recentAttempts.add(b.now, 1)
	s.observedAttempts.add(b.now, 1)
	s.tokensUsed++
	if b.now < b.leaseEndsAt {
		b.zoneLimitFor(s.Zone).tokensUsed++
	}
	var timeout time.Duration // a repeat sent when its window is over would run twice
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotencyKeyed {
		timeout = r.mayHaveRunAt + r.class.KeyWindow - b.now
	}
	b.emit(Attempt{ID: r.ID, Server: s.ID, Timeout: timeout})
}

func (b *Balancer) handleEstablished(e ConnectionEstablished) {
	if r := b.requests[e.ID]; r != nil && r.server != nil && r.phase == attempting {
		if e.Latency > 0 {
			r.server.recentFaults.sum /= 2
		}
		b.attachConnection(r, r.server)
		b.growWindow()
	}
}

func (b *Balancer) handleAttemptEnded(e AttemptEnded) {
	r := b.requests[e.ID]
	if b.settings.LoadReporting.InOutcomes {
		if s := b.servers[e.Server]; s != nil {
			b.applyReport(s, e.LoadReport)
		}
	}
	if r == nil {
		return
	}
	if isCurrent := r.phase == attempting && e.Attempt == r.attemptCount-1; !isCurrent && !e.Final && r.phase != established {
		return // this attempt has been told to be over
	}
	if r.phase == attempting && r.server != nil {
		switch e.Outcome {
		case Errored, ConnectFailed, AtCapacity, TimedOut, Reset:
			b.recordFault(r.server)
			b.failureRate += (1 - b.failureRate) / 8
			if b.failureRate > 0.5 {
				b.reduceWindow()
			}
		}
	}
	if e.Final || r.phase == established {
		if r.phase == established && e.Outcome == Reset && r.server != nil {
			// A server that drops what it has just taken is full whatever its
			// last report said; all who saw that report went there together.
			b.recordFault(r.server)
			if b.now-r.startedAt < earlyResetAge {
				b.reduceWindow()
			}
		}
		b.forgetRequest(r)
		return
	}
	b.retryOrFinish(r, e.Outcome)
}

// failed decides what follows an attempt that ended without an answer. After
// a failed connection or a refusal as full drawing starts anew without that
// server, and so it does after an error where a repeat does no harm; after a
// reset or time-out nothing is sent again.
func (b *Balancer) retryOrFinish(r *request, outcome Outcome) {
	s, mayRetry := r.releasePlacedLoad(b.now), true
	switch outcome {
	case AtCapacity, ConnectFailed, NotSent:
	default:
		if r.mayHaveRunOn == nil { // the first that may have run, and the earliest that it can have
			r.mayHaveRunOn, r.mayHaveRunAt = s, r.startedAt
		}
		mayRetry = outcome == Errored && r.class.Idempotency != NonIdempotent
	}
	if !mayRetry || b.now < b.leaseEndsAt && b.retryBudget < 1 { // the fleet's budget of them is spent
		b.finish(r)
		return
	}
	if s != nil {
		r.excludedServers = append(r.excludedServers, s)
	}
	b.enqueue(r)
}

// allowed tells whether r may go to s at all.
func (b *Balancer) isAllowed(r *request, s *server) bool {
	return !slices.Contains(r.excludedServers, s) && b.mayRepeat(r, s) && b.constraintShare(r, s) > 0
}

// mayRepeat tells whether r may be sent to s, given that an attempt of it may
// have run already: keyed requests only where repeats are dropped and only
// while they are, unsafe ones nowhere.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	if r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NonIdempotent || b.now-r.mayHaveRunAt >= r.class.KeyWindow {
		return false
	}
	switch r.class.KeyScope {
	case ScopeZone:
		return s.Zone == r.mayHaveRunOn.Zone
	case ScopeCell:
		return s.Cell == r.mayHaveRunOn.Cell
	}
	return true
}

// finish answers r for good: refused where trying again is surely harmless,
// else failed.
func (b *Balancer) finish(r *request) {
	isHarmless := r.mayHaveRunOn == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotencyKeyed && r.class.KeyScope == ScopeAll
	if isHarmless {
		var retryAfter time.Duration
		if b.settings.Limits.SendRetryAfter {
			retryAfter = b.jitter(min(b.settings.Limits.MaxRetryAfter/2, r.class.Deadline/3), 0.5)
		}
		b.emit(Reject{ID: r.ID, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{ID: r.ID})
	}
	b.forgetRequest(r)
}
