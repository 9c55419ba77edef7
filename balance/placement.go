package balance

// What follows an attempt? It stands, it is made anew elsewhere where that does no harm,
// or the request has its final answer.

import (
	"slices"
	"time"
)

// young is how soon a reset tells that the connection should not have been
// placed, rather than that its server has failed.
const young = 2 * time.Second

// send places r on s, unless meanwhile s has left or taken all that it can, or the
// time of r's repeats is up.
func (b *Balancer) send(r *request, s *server) {
	if !b.mayTake(s) || !b.allowed(r, s) {
		b.enqueue(r)
		return
	}
	b.enter(r, sent)
	r.at, r.wake, r.since = s, never, b.now
	r.attempts++
	b.rate[0].add(b.now, 1)
	if r.attempts == 1 && !r.Reconnecting && !r.ClientRetry {
		b.rate[1].add(b.now, 1)
	} else if r.attempts > 1 {
		b.again.add(b.now, 1)
		b.retries--
	}
	if b.pause > b.set.Tick { // after congestion placements keep a distance
		b.keepDistance()
	}
	r.weight = b.weight(r, s)
	s.placed.add(b.now, r.weight)
	s.sent.add(b.now, 1)
	s.asked.add(b.now, 1)
	s.used++
	if b.now < b.sharedTo {
		b.zone(s.Zone).used++
	}
	var within time.Duration // a repeat sent when its window is over would run twice
	if r.ran != nil && r.class.Idempotency == IdempotencyKeyed {
		within = r.ranAt + r.class.KeyWindow - b.now
	}
	b.do(Attempt{ID: r.ID, Server: s.ID, Timeout: within})
}

func (b *Balancer) stands(e ConnectionEstablished) {
	if r := b.requests[e.ID]; r != nil && r.at != nil && r.phase == sent {
		if e.Latency > 0 {
			r.at.faults.sum /= 2
		}
		b.attach(r, r.at)
		b.succeeded()
	}
}

func (b *Balancer) ended(e AttemptEnded) {
	r := b.requests[e.ID]
	if b.set.LoadReporting.InOutcomes {
		if s := b.servers[e.Server]; s != nil {
			b.report(s, e.LoadReport)
		}
	}
	if r == nil {
		return
	}
	if out := r.phase == sent && e.Attempt == r.attempts-1; !out && !e.Final && r.phase != opened {
		return // this attempt has been told to be over
	}
	if r.phase == sent && r.at != nil {
		switch e.Outcome {
		case Errored, ConnectFailed, AtCapacity, TimedOut, Reset:
			b.fault(r.at)
			b.failing += (1 - b.failing) / 8
			if b.failing > 0.5 {
				b.congested()
			}
		}
	}
	if e.Final || r.phase == opened {
		if r.phase == opened && e.Outcome == Reset && r.at != nil {
			// A server that drops what it has just taken is full whatever its
			// last report said; all who saw that report went there together.
			b.fault(r.at)
			if b.now-r.since < young {
				b.congested()
			}
		}
		b.forget(r)
		return
	}
	b.failed(r, e.Outcome)
}

// failed decides what follows an attempt that ended without an answer. After
// a failed connection or a refusal as full drawing starts anew without that
// server, and so it does after an error where a repeat does no harm; after a
// reset or time-out nothing is sent again.
func (b *Balancer) failed(r *request, o Outcome) {
	s, again := r.takeBack(b.now), true
	switch o {
	case AtCapacity, ConnectFailed, NotSent:
	default:
		if r.ran == nil { // the first that may have run, and the earliest that it can have
			r.ran, r.ranAt = s, r.since
		}
		again = o == Errored && r.class.Idempotency != NonIdempotent
	}
	if !again || b.now < b.sharedTo && b.retries < 1 { // the fleet's budget of them is spent
		b.finish(r)
		return
	}
	if s != nil {
		r.skip = append(r.skip, s)
	}
	b.enqueue(r)
}

// allowed tells whether r may go to s at all.
func (b *Balancer) allowed(r *request, s *server) bool {
	return !slices.Contains(r.skip, s) && b.mayRepeat(r, s) && b.bound(r, s) > 0
}

// mayRepeat tells whether r may be sent to s, given that an attempt of it may
// have run already: keyed requests only where repeats are dropped and only
// while they are, unsafe ones nowhere.
func (b *Balancer) mayRepeat(r *request, s *server) bool {
	if r.ran == nil || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NonIdempotent || b.now-r.ranAt >= r.class.KeyWindow {
		return false
	}
	switch r.class.KeyScope {
	case ScopeZone:
		return s.Zone == r.ran.Zone
	case ScopeCell:
		return s.Cell == r.ran.Cell
	}
	return true
}

// finish answers r for good: refused where trying again is surely harmless,
// else failed.
func (b *Balancer) finish(r *request) {
	harmless := r.ran == nil || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotencyKeyed && r.class.KeyScope == ScopeAll
	if harmless {
		var pause time.Duration
		if b.set.Limits.SendRetryAfter {
			pause = b.jitter(min(b.set.Limits.MaxRetryAfter/2, r.class.Deadline/3), 0.5)
		}
		b.do(Reject{ID: r.ID, RetryAfter: pause})
	} else {
		b.do(Fail{ID: r.ID})
	}
	b.forget(r)
}
