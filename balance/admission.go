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
	firstPause, longestPause = 50 * time.Millisecond, 2 * time.Second
	widest                   = 1000.0
)

func (b *Balancer) arrive(q Request) {
	r := b.track(q)
	// The answer must be out before the deadline; two ticks cover rounding
	// and a batch that comes late.
	r.giveUp = q.Deadline - 2*b.set.Tick
	if b.now < b.sharedTo && b.over > 0 && !q.Reconnecting && !q.ClientRetry && b.rng.Float64() < b.over {
		b.finish(r) // the fleet can't carry it
		return
	}
	b.enqueue(r)
}

// adopt takes over a connection that already runs.
func (b *Balancer) adopt(e OpenConnection) {
	r := b.track(e.Request)
	r.attempts = 1
	if s := b.servers[e.Server]; s != nil {
		b.attach(r, s)
		s.lookAt = b.now + lookAfter
	} else {
		r.phase = opened
	}
}

// enqueue lets r wait for its turn to draw, which is at once unless there is
// congestion.
func (b *Balancer) enqueue(r *request) {
	b.enter(r, queued)
	r.draws, r.drawn, r.best = 0, r.drawn[:0], nil
	r.homing, r.homes = false, nil
	if b.now >= r.giveUp || b.hopeless(r) {
		b.finish(r)
		return
	}
	b.queue = append(b.queue, r)
	b.pump()
	if r.phase == queued {
		b.wakeAt(r, min(r.until(), b.now+b.turnWithin(r)))
	}
}

// turnWithin is how long r waits for its turn: its aim, or else its deadline. The
// newest go first, so that whose turn has not come by then is passed over for good: it
// is told so at once, and when to come again, instead of when its client is about to
// give up anyway.
func (b *Balancer) turnWithin(r *request) time.Duration {
	return cmp.Or(r.class.LatencyObjective, r.class.Deadline)
}

// hopeless tells whether r has no attempt left, or no ready server may be sent it. Then
// it is answered at once: to wait for another server would only keep its client from
// asking again. Before the first list all may still come, but to whose bound allows nothing.
func (b *Balancer) hopeless(r *request) bool {
	return r.attempts >= b.set.Limits.MaxAttempts ||
		(b.listed || r.Constraint != nil && len(r.Constraint.Zones) == 0 && r.Constraint.DefaultShare == 0) &&
			!slices.ContainsFunc(b.ready, func(s *server) bool { return b.allowed(r, s) })
}

// giveUpHopeless answers those whom the last server that they could go to has left, or
// who are allowed fewer attempts than they have made.
func (b *Balancer) giveUpHopeless() {
	var left []*request
	for _, r := range b.bySeq {
		if (r.phase == queued || r.phase == drawing) && b.hopeless(r) {
			left = append(left, r)
		}
	}
	// Not in the map's order.
	slices.SortFunc(left, func(r, o *request) int { return cmp.Compare(r.seq, o.seq) })
	for _, r := range left {
		if r.phase == queued || r.phase == drawing { // another's end may have brought its own
			b.finish(r)
		}
	}
}

// pump gives turns while the window has room, to the newest first: in its
// turn it still has the time to be set up. In order of arrival every request
// would get its turn when its time is almost up, and all would be in vain.
func (b *Balancer) pump() {
	for len(b.queue) > 0 && b.now >= b.pausedTo && float64(b.busy) < b.window {
		last := len(b.queue) - 1
		r := b.queue[last]
		b.queue = b.queue[:last]
		if b.now >= r.giveUp {
			b.finish(r)
			continue
		}
		b.enter(r, drawing)
		b.draw(r)
	}
}

// congested answers a sign that it is not one server that is in trouble: all
// of a round's draws were full, or most attempts fail wherever they go. Then
// no server is to blame and more attempts only add to it, so fewer are made
// at a time, after a pause that doubles while the signs go on.
func (b *Balancer) congested() {
	if b.now < b.pausedTo {
		return
	}
	b.window = max(1, float64(b.busy)/2)
	b.pause = min(max(2*b.pause, firstPause), longestPause)
	if b.pause >= longestPause {
		b.note("congestion: set-ups are held back, usual load %.2f, %.0f%% of attempts fail",
			b.usual, 100*b.failing)
	}
	b.keepDistance()
}

// keepDistance gives no turns for the time of the pause.
func (b *Balancer) keepDistance() {
	pause := b.jitter(b.pause, 0.5)
	b.pausedTo = b.now + pause
	b.do(SetTimer{Delay: pause + b.set.Tick})
}

// succeeded opens the window again, step by step.
func (b *Balancer) succeeded() {
	b.failing -= b.failing / 8
	b.pause -= b.pause / 8
	b.window = min(b.window+1, widest)
	b.pump()
}
