package balance

// Which server takes a request? The mechanism is P^(1,1,d,d,...) of Czumaj and Stemann, Randomized
// Allocation Processes (2001), section 1.1 and Theorem 5: ready servers are drawn uniformly, with
// replacement, one at a time; a draw at level 0 or 1 decides at once, else the least loaded of d draws
// does. Every exception is listed with its condition in docs/design.md.

import (
	"math"
	"slices"
	"time"
)

const (
	// trials is d. The paper needs d >= 2; beyond 3 the least of the draws is rather the luckiest
	// reading than the least loaded server.
	trials = 3
	// minLowLoad and maxLowLoad bound the load below which a server passes as low. Under the first
	// there is nothing to even out; a server above the second would be overloaded by a few more
	// connections, whatever the mean load of the fleet is.
	minLowLoad, maxLowLoad = 0.3, 0.7
	// fullLoad is the load at which one more connection may harm all of a server's: served well up to
	// its capacity, it serves nobody in time beyond, and loads change after placement. A round of draws
	// ends in a wait rather than there.
	fullLoad = 0.85
	// maxVoidDraws bounds the draws in a row that a server's share may make void.
	maxVoidDraws = 16
	// faultDecay is how long an error or a failed connection counts against a server: longer than one
	// retry, shorter than most faults.
	faultDecay = 5 * time.Second
)

// draw goes on drawing for r until it has to wait for a probe or a server is decided on.
func (b *Balancer) draw(r *request) {
	for r.round.draws < trials {
		s := b.drawServer(r)
		if s == nil {
			break
		}
		r.round.draws++
		if slices.Contains(r.round.servers, s) {
			continue // drawn with replacement: its answer is known
		}
		r.round.servers = append(r.round.servers, s)
		if b.canProbe() {
			b.awaitProbe(r, s)
			return
		}
		if b.considerDraw(r, s) {
			return
		}
	}
	b.finishRound(r)
}

// drawServer draws a server uniformly from the ready ones; nil if all draws were void. Draws of servers
// where r is not allowed are void, and so are some draws of cold and faulty servers and of limited
// zones: each instance thins by itself, so that together they keep to a cold server's share. As void
// draws are repeated, a fleet that is mostly cold or faulty still serves.
func (b *Balancer) drawServer(r *request) *server {
	if len(b.servers.ready) == 0 {
		return nil
	}
	from := b.drawSubset()
	s := b.drawFrom(from, r)
	if s == nil && from != b.wholeFleet() { // the subset has none for r
		s = b.drawFrom(b.wholeFleet(), r)
	}
	if s != nil {
		return s
	}
	if r.Constraint != nil || b.hasZoneLimits() {
		return b.drawWeighted(r)
	}
	return nil
}

// drawFrom draws a server of a subset; nil if maxVoidDraws draws in a row were void.
func (b *Balancer) drawFrom(from subset, r *request) *server {
	for range maxVoidDraws {
		s := b.drawUniformly(from)
		if !b.isAllowed(r, s) {
			continue
		}
		if share := b.drawShare(r, s); share >= 1 || b.rng.Float64() < share {
			return s
		}
	}
	return nil
}

// drawShare is the part of its draws for r that a server keeps where r is allowed: by what it can bear,
// its faults, its zone and r's constraint.
func (b *Balancer) drawShare(r *request, s *server) float64 {
	if !b.hasCapacity(r, s) {
		return 0
	}
	share := b.faultShare(s) * b.constraintShare(r, s)
	if capacity := b.capacityShare(s); capacity < 1 && !b.hasLease() { // else its tokens are the limit
		share *= min(capacity, b.slowStartDrawShare(capacity))
	}
	return share
}

// faultShare is the part of its draws that faults leave to s. They count against the server that has
// the fewest: where all have some, none is better left out.
func (b *Balancer) faultShare(s *server) float64 {
	return min((1+b.fleet.fewestFaults)/(1+s.recentFaults.value(b.now)), 1)
}

// level cuts a load into whole levels. The unit is half of the fleet's mean load, within bounds, so
// that levels 0 and 1 mean not above the mean.
func (b *Balancer) level(load float64) int {
	unit := min(max(b.fleet.meanLoad, minLowLoad), maxLowLoad) / 2
	return int(load / unit)
}

// considerDraw weighs a drawn server, and reports whether the draw decides and r is placed, which is so
// at level 0 or 1.
func (b *Balancer) considerDraw(r *request, s *server) bool {
	load := b.estimatedLoad(s)
	if load < 0 || !b.hasCapacity(r, s) {
		return false
	}
	if r.round.best == nil || load < r.round.bestLoad {
		r.round.best, r.round.bestLoad = s, load
	}
	if b.level(load) > 1 {
		return false
	}
	b.placeWithAffinity(r, s)
	return true
}

// finishRound ends a round of draws: the least loaded of them takes r, unless even that one is full.
func (b *Balancer) finishRound(r *request) {
	s := r.round.best
	if s == nil {
		s, r.round.bestLoad = b.leastReported(r)
	}
	if s == nil || !s.isReady() || r.round.bestLoad >= fullLoad {
		if r.Constraint != nil && b.subscription.listReceived {
			b.finish(r, ConstraintFull) // others may go elsewhere: it says nothing of the fleet
			return
		}
		b.reduceWindow()
		b.enqueue(r)
		return
	}
	b.placeWithAffinity(r, s)
}

// leastReported takes the place of draws of which none was answered: of the servers drawn, it is the
// one with the least load by its last report. One that never reported passes as just not full: probes
// may go unanswered while servers work.
func (b *Balancer) leastReported(r *request) (*server, float64) {
	var best *server
	least := math.Inf(1)
	for _, s := range r.round.servers {
		load := b.estimatedLoad(s)
		if load < 0 {
			load = maxLowLoad
		}
		if load < least && b.hasCapacity(r, s) {
			best, least = s, load
		}
	}
	return best, least
}
