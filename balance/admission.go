package balance

// Which request draws next, and which is answered at once because it can't be served? Every request
// draws as it comes; when the fleet is congested, the newest go first.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause that answers congestion: from a few round trips to what
	// a waiting client bears.
	minBackoff, maxBackoff = 50 * time.Millisecond, 2 * time.Second
	// maxWindow is a window that holds nothing up.
	maxWindow = 1000.0
	// failureRateSamples is about how many of the latest attempts the failure rate is taken from.
	failureRateSamples = 8
)

// handleRequest lets a request wait for admission, unless the fleet's quota lease sheds it.
func (b *Balancer) handleRequest(q Request) {
	r := b.trackRequest(q)
	// The answer must be out before the deadline; two ticks cover rounding and a batch that comes late.
	r.answerDeadline = q.Deadline - 2*b.settings.Tick
	isFirstArrival := !q.Reconnecting && !q.ClientRetry
	if isFirstArrival && b.hasLease() && b.quota.shedFraction > 0 && b.rng.Float64() < b.quota.shedFraction {
		b.finish(r, OverQuota) // the fleet can't carry it
		return
	}
	b.enqueue(r)
}

// adoptConnection takes over a connection that already runs.
func (b *Balancer) adoptConnection(e OpenConnection) {
	r := b.trackRequest(e.Request)
	r.attemptCount = 1
	r.phase = established
	if s := b.servers.byID[e.Server]; s != nil {
		b.attachConnection(r, s)
		s.probeDueAt = b.now + takeoverProbeDelay
	}
}

// enqueue lets r wait for admission, which comes at once unless there is congestion.
func (b *Balancer) enqueue(r *request) {
	b.setPhase(r, queued)
	r.round.reset()
	if b.now >= r.answerDeadline {
		b.finish(r, DeadlineExceeded)
		return
	}
	if reason, unplaceable := b.isUnplaceable(r); unplaceable {
		b.finish(r, reason)
		return
	}
	b.admission.queue = append(b.admission.queue, r)
	b.admitQueued()
	if r.phase == queued {
		b.setRequestTimer(r, min(r.decisionDeadline(), b.now+b.queueTimeout(r)))
	}
}

// queueTimeout is how long r waits for admission: its latency objective, or else its deadline. The
// newest go first, so a request that was not admitted by then never would be: it is answered at once,
// with a Retry-After, and not when its client is about to give up.
func (b *Balancer) queueTimeout(r *request) time.Duration {
	return cmp.Or(r.class.LatencyObjective, r.class.Deadline)
}

// isUnplaceable reports whether r has no attempt left, the list may not be relied on, or r may be sent to
// no ready server, and which. Then it is answered at once: to wait for another server would only keep its
// client from asking again. Before the first list servers may still come, unless r's constraint allows none.
func (b *Balancer) isUnplaceable(r *request) (reason RejectReason, yes bool) {
	switch {
	case r.attemptCount >= b.settings.Limits.MaxAttempts:
		return AttemptsExhausted, true
	case b.isListExpired():
		return ListExpired, true
	}
	noneIsAllowed := (b.subscription.listReceived || r.Constraint.allowsNoZone()) &&
		!slices.ContainsFunc(b.servers.ready, func(s *server) bool { return b.isAllowed(r, s) })
	return NoServer, noneIsAllowed
}

// finishUnplaceable answers the requests whose last possible server has left, or that have made more
// attempts than are allowed by now.
func (b *Balancer) finishUnplaceable() {
	var waiting []*request
	for _, r := range b.requests.bySequence {
		if r.awaitsPlacement() {
			waiting = append(waiting, r)
		}
	}
	// Not in the map's order.
	slices.SortFunc(waiting, func(r, o *request) int { return cmp.Compare(r.sequence, o.sequence) })
	for _, r := range waiting {
		if !r.awaitsPlacement() { // the end of another has brought its own
			continue
		}
		if reason, unplaceable := b.isUnplaceable(r); unplaceable {
			b.finish(r, reason)
		}
	}
}

// admitQueued lets requests draw while the window has capacity, the newest first: it still has the time
// to be set up. In order of arrival every request would be admitted when its time is almost up, and all
// set-ups would be in vain.
func (b *Balancer) admitQueued() {
	a := &b.admission
	for len(a.queue) > 0 && b.now >= a.backoffEndsAt && float64(a.inSetup) < a.window {
		last := len(a.queue) - 1
		r := a.queue[last]
		a.queue = a.queue[:last]
		if b.now >= r.answerDeadline {
			b.finish(r, DeadlineExceeded)
			continue
		}
		b.setPhase(r, drawing)
		b.draw(r)
	}
}

// reduceWindow answers a sign that the fleet is congested rather than one server faulty: all of a
// round's draws were full, or most attempts fail wherever they go. Then more attempts only add to it,
// so fewer are made at a time, after a pause that doubles while the signs go on.
func (b *Balancer) reduceWindow() {
	a := &b.admission
	if b.now < a.backoffEndsAt {
		return
	}
	a.window = max(1, float64(a.inSetup)/2)
	a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	if a.backoff >= maxBackoff {
		b.logCongestion()
	}
	b.pauseAdmission()
}

// pauseAdmission admits no request for the time of the backoff.
func (b *Balancer) pauseAdmission() {
	pause := b.jitter(b.admission.backoff, 0.5)
	b.admission.backoffEndsAt = b.now + pause
	b.emit(SetTimer{Delay: pause + b.settings.Tick})
}

// growWindow widens the window again, step by step, with each connection that is established.
func (b *Balancer) growWindow() {
	a := &b.admission
	a.failureRate -= a.failureRate / failureRateSamples
	a.backoff -= a.backoff / 8
	a.window = min(a.window+1, maxWindow)
	b.admitQueued()
}
