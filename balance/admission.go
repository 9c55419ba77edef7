package balance

// Admission: which request draws next, and which one is answered at once because it cannot be served. A
// request draws on arrival; under congestion, requests queue and the newest is admitted first.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minBackoff and maxBackoff bound the backoff after a sign of congestion, which is the pause in admission
	// before jitter: from a few round trips to the longest pause that is acceptable to a waiting client.
	minBackoff, maxBackoff = 50 * time.Millisecond, 2 * time.Second
	// maxWindow is a window so large that it delays no request.
	maxWindow = 1000.0
	// failureRateSamples is the approximate number of latest attempts that the failure rate averages.
	failureRateSamples = 8
)

// handleRequest queues a request for admission, unless the quota lease sheds it.
func (b *Balancer) handleRequest(q Request) {
	r := b.trackRequest(q)
	// The answer must be sent before the deadline. Two ticks allow for rounding and for a late event batch.
	r.answerDeadline = q.Deadline - 2*b.settings.Tick
	isFirstArrival := !q.Reconnecting && !q.ClientRetry
	if isFirstArrival && b.hasQuota() && b.quota.shedFraction > 0 && b.rng.Float64() < b.quota.shedFraction {
		b.finish(r, OverQuota) // the fleet's capacity does not suffice for it
		return
	}
	b.enqueue(r)
}

// adoptConnection takes over a connection that is already open.
func (b *Balancer) adoptConnection(e OpenConnection) {
	r := b.trackRequest(e.Request)
	r.attemptCount = 1
	r.phase = established
	if s := b.servers.byID[e.Server]; s != nil {
		b.attachConnection(r, s)
		s.probeDueAt = b.now + takeoverProbeDelay
	}
}

// enqueue queues r for admission, which follows at once unless there is congestion.
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

// queueTimeout is the time that r may wait for admission: its latency objective, or its deadline if it has
// none. The newest request is admitted first, so a request that has not been admitted by then never would
// be. It is answered at that time, with a Retry-After, rather than shortly before its client gives up.
func (b *Balancer) queueTimeout(r *request) time.Duration {
	return cmp.Or(r.class.LatencyObjective, r.class.Deadline)
}

// isUnplaceable reports whether r cannot be placed, and why: it has no attempt left, the list lease has
// expired, or no ready server is allowed for it. Such a request is answered at once, since waiting for
// another server would only delay the client's retry. Before the first list has been received, servers may
// still appear, so the request waits unless its constraint allows no zone at all.
func (b *Balancer) isUnplaceable(r *request) (reason RejectReason, unplaceable bool) {
	switch {
	case r.attemptCount >= b.settings.Limits.MaxAttempts:
		return AttemptsExhausted, true
	case b.isListExpired():
		return ListExpired, true
	}
	noServerAllowed := (b.subscription.listReceived || r.Constraint.allowsNoZone()) &&
		!slices.ContainsFunc(b.servers.ready, func(s *server) bool { return b.isAllowed(r, s) })
	return NoServer, noServerAllowed
}

// finishUnplaceable answers the waiting requests that have become unplaceable, for instance because the last
// server allowed for them has left or because the maximum number of attempts was lowered.
func (b *Balancer) finishUnplaceable() {
	var waiting []*request
	for _, r := range b.requests.bySequence {
		if r.awaitsPlacement() {
			waiting = append(waiting, r)
		}
	}
	// The iteration order of a map is random; requests are answered in the order of their arrival.
	slices.SortFunc(waiting, func(r, o *request) int { return cmp.Compare(r.sequence, o.sequence) })
	for _, r := range waiting {
		if !r.awaitsPlacement() { // already answered, as a consequence of an earlier one
			continue
		}
		if reason, unplaceable := b.isUnplaceable(r); unplaceable {
			b.finish(r, reason)
		}
	}
}

// admitQueued lets queued requests draw while the window has room. The newest goes first, as it has the most
// time left for its connection set-up. In order of arrival, under lasting congestion, every request would be
// admitted shortly before its deadline, and no set-up would complete in time.
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

// reduceWindow reacts to a sign that the fleet is congested, rather than a single server faulty: all draws of
// a round were full or void, most attempts fail whatever their server, or a connection was reset early. More
// attempts would add to the congestion, so fewer are made concurrently, after a pause. Signs during the pause
// are ignored; each later one doubles the backoff, up to maxBackoff.
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

// pauseAdmission admits no request until the backoff, with jitter, has passed.
func (b *Balancer) pauseAdmission() {
	pause := b.jitter(b.admission.backoff, 0.5)
	b.admission.backoffEndsAt = b.now + pause
	b.emit(SetTimer{Delay: pause + b.settings.Tick})
}

// growWindow widens the window by one and lowers the failure rate and the backoff, after a connection has
// been established.
func (b *Balancer) growWindow() {
	a := &b.admission
	a.failureRate -= a.failureRate / failureRateSamples
	a.backoff -= a.backoff / 8
	a.window = min(a.window+1, maxWindow)
	b.admitQueued()
}
