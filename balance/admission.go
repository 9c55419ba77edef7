package balance

// Who draws next, and who is told at once that it won't be served? Everybody at once, the
// newest first when the fleet is congested.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// firstPause and longestPause bound the pause that answers congestion: from
	// a few round trips to what a waiting client bears. widest is a window that
	// holds nothing up.
	minBackoff, maxBackoff = 50 * time.Millisecond, 2 * time.Second
	maxWindow              = 1000.0
)

func (b *Balancer) handleRequest(q Request) {
	r := b.trackRequest(q)
	// The answer must be out before the deadline; two ticks cover rounding
	// and a batch that comes late.
	r.answerDeadline = q.Deadline - 2*b.settings.Tick
	if b.now < b.leaseEndsAt && b.shedFraction > 0 && !q.Reconnecting && !q.ClientRetry && b.rng.Float64() < b.shedFraction {
		b.finish(r) // the fleet can't carry it
		return
	}
	b.enqueue(r)
}

// adopt takes over a connection that already runs.
func (b *Balancer) adoptConnection(e OpenConnection) {
	r := b.trackRequest(e.Request)
	r.attemptCount = 1
	if s := b.servers[e.Server]; s != nil {
		b.attachConnection(r, s)
		s.probeDueAt = b.now + takeoverProbeDelay
	} else {
		r.phase = established
	}
}

// enqueue lets r wait for its turn to draw, which is at once unless there is
// congestion.
func (b *Balancer) enqueue(r *request) {
	b.setPhase(r, queued)
	r.drawCount, r.drawnServers, r.bestServer = 0, r.drawnServers[:0], nil
	r.tryingAffinity, r.affinityServers = false, nil
	if b.now >= r.answerDeadline || b.isUnplaceable(r) {
		b.finish(r)
		return
	}
	b.queue = append(b.queue, r)
	b.admitQueued()
	if r.phase == queued {
		b.setRequestTimer(r, min(r.decisionDeadline(), b.now+b.queueTimeout(r)))
	}
}

// turnWithin is how long r waits for its turn: its aim, or else its deadline. The
// newest go first, so that whose turn has not come by then is passed over for good: it
// is told so at once, and when to come again, instead of when its client is about to
// give up anyway.
func (b *Balancer) queueTimeout(r *request) time.Duration {
	return cmp.Or(r.class.LatencyObjective, r.class.Deadline)
}

// hopeless tells whether r has no attempt left, or no ready server may be sent it. Then
// it is answered at once: to wait for another server would only keep its client from
// asking again. Before the first list all may still come, but to whose bound allows nothing.
func (b *Balancer) isUnplaceable(r *request) bool {
	return r.attemptCount >= b.settings.Limits.MaxAttempts ||
		(b.listReceived || r.Constraint != nil && len(r.Constraint.Zones) == 0 && r.Constraint.DefaultShare == 0) &&
			!slices.ContainsFunc(b.ready, func(s *server) bool { return b.isAllowed(r, s) })
}

// giveUpHopeless answers those whom the last server that they could go to has left, or
// who are allowed fewer attempts than they have made.
func (b *Balancer) finishUnplaceable() {
	var unplaceable []*request
	for _, r := range b.requestsBySequence {
		if (r.phase == queued || r.phase == drawing) && b.isUnplaceable(r) {
			unplaceable = append(unplaceable, r)
		}
	}
	// Not in the map's order.
	slices.SortFunc(unplaceable, func(r, o *request) int { return cmp.Compare(r.sequence, o.sequence) })
	for _, r := range unplaceable {
		if r.phase == queued || r.phase == drawing { // another's end may have brought its own
			b.finish(r)
		}
	}
}

// pump gives turns while the window has room, to the newest first: in its
// turn it still has the time to be set up. In order of arrival every request
// would get its turn when its time is almost up, and all would be in vain.
func (b *Balancer) admitQueued() {
	for len(b.queue) > 0 && b.now >= b.backoffEndsAt && float64(b.inSetup) < b.window {
		last := len(b.queue) - 1
		r := b.queue[last]
		b.queue = b.queue[:last]
		if b.now >= r.answerDeadline {
			b.finish(r)
			continue
		}
		b.setPhase(r, drawing)
		b.draw(r)
	}
}

// congested answers a sign that it is not one server that is in trouble: all
// of a round's draws were full, or most attempts fail wherever they go. Then
// no server is to blame and more attempts only add to it, so fewer are made
// at a time, after a pause that doubles while the signs go on.
func (b *Balancer) reduceWindow() {
	if b.now < b.backoffEndsAt {
		return
	}
	b.window = max(1, float64(b.inSetup)/2)
	b.backoff = min(max(2*b.backoff, minBackoff), maxBackoff)
	if b.backoff >= maxBackoff {
		b.logThrottled("congestion: set-ups are held back, usual load %.2f, %.0f%% of attempts fail",
			b.meanLoad, 100*b.failureRate)
	}
	b.pauseAdmission()
}

// keepDistance gives no turns for the time of the pause.
func (b *Balancer) pauseAdmission() {
	pause := b.jitter(b.backoff, 0.5)
	b.backoffEndsAt = b.now + pause
	b.emit(SetTimer{Delay: pause + b.settings.Tick})
}

// succeeded opens the window again, step by step.
func (b *Balancer) growWindow() {
	b.failureRate -= b.failureRate / 8
	b.backoff -= b.backoff / 8
	b.window = min(b.window+1, maxWindow)
	b.admitQueued()
}
