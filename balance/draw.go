package balance

// Draws: which server takes a request. The mechanism is P^(1,1,d,d,...) of Czumaj and Stemann, Randomized
// Allocation Processes (2001), section 1.1 and Theorem 5: ready servers are drawn uniformly, with
// replacement, one at a time. A draw at level 0 or 1 is final; otherwise the request goes to the least loaded
// of d draws. docs/design.md lists every exception and its condition.

import (
	"math"
	"slices"
	"time"
)

const (
	// trials is d. The paper requires d >= 2. Beyond 3, the least of the readings depends more on chance
	// than on which server is the least loaded.
	trials = 3
	// minLowLoad and maxLowLoad bound the load below which a server counts as low (level 0 or 1). Below
	// minLowLoad there is nothing to balance; a server above maxLowLoad could be overloaded by a few more
	// connections, whatever the mean load of the fleet.
	minLowLoad, maxLowLoad = 0.3, 0.7
	// fullLoad is the load from which a server counts as full: one more connection may harm all of its
	// connections. A server serves well up to its capacity, but none of its clients in time beyond it, and
	// loads still change after placement. A round of draws that finds only full servers ends in a wait.
	fullLoad = 0.85
	// maxVoidDraws is the maximum number of consecutive void draws.
	maxVoidDraws = 16
	// faultDecay is the time constant with which errors and failed connections stop counting against a
	// server: longer than one retry, shorter than most faults.
	faultDecay = 5 * time.Second
)

// draw draws servers for r until r has to wait for a probe or its round of draws is decided.
func (b *Balancer) draw(r *request) {
	for r.round.draws < trials {
		s := b.drawServer(r)
		if s == nil {
			break
		}
		r.round.draws++
		if slices.Contains(r.round.servers, s) {
			continue // drawn with replacement: its load has already been considered
		}
		r.round.servers = append(r.round.servers, s)
		if b.canProbe() {
			b.awaitProbe(r, s)
			return
		}
		if b.evaluateDraw(r, s) {
			return
		}
	}
	b.finishRound(r)
}

// drawServer draws a server uniformly from the ready ones; nil if all draws were void. Draws of servers that
// are not allowed for r are void, and so is a random part of the draws of cold servers, faulty servers and
// servers in limited zones. Each instance discards draws independently, so that all instances together keep
// to a cold server's share. Void draws are repeated, so a fleet of mostly cold or faulty servers still
// serves.
func (b *Balancer) drawServer(r *request) *server {
	if len(b.servers.ready) == 0 {
		return nil
	}
	from := b.drawSubset()
	s := b.drawFrom(from, r)
	if s == nil && from != b.allReadyServers() { // all draws from the subset were void
		s = b.drawFrom(b.allReadyServers(), r)
	}
	if s != nil {
		return s
	}
	if r.Constraint != nil || b.hasZoneLimits() {
		return b.drawWeighted(r)
	}
	return nil
}

// drawFrom draws a server from a subset; nil if maxVoidDraws consecutive draws were void.
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

// drawShare is the share of its draws for r that a server allowed for r keeps, given its slow start, its
// faults, its zone and r's constraint; 0 if it has no capacity for one more attempt.
func (b *Balancer) drawShare(r *request, s *server) float64 {
	if !b.hasCapacity(r, s) {
		return 0
	}
	share := b.faultShare(s) * b.constraintShare(r, s)
	if capacity := b.capacityShare(s); capacity < 1 && !b.hasQuota() { // a quota limits it by tokens
		share *= min(capacity, b.slowStartDrawShare(capacity))
	}
	return share
}

// faultShare is the share of its draws that s keeps in view of its recent faults: (1 + the fewest faults of
// any ready server) over (1 + the faults of s). The comparison is relative because leaving servers out gains
// nothing if all of them have faults.
func (b *Balancer) faultShare(s *server) float64 {
	return min((1+b.fleet.fewestFaults)/(1+s.recentFaults.value(b.now)), 1)
}

// level converts a load to a whole level. One level is half of the fleet's mean load, which is first bounded
// by minLowLoad and maxLowLoad, so levels 0 and 1 are the loads below the bounded mean.
func (b *Balancer) level(load float64) int {
	unit := min(max(b.fleet.meanLoad, minLowLoad), maxLowLoad) / 2
	return int(load / unit)
}

// evaluateDraw takes a drawn server into account and reports whether the draw was final, so that r is placed:
// that is the case at levels 0 and 1.
func (b *Balancer) evaluateDraw(r *request, s *server) bool {
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

// finishRound ends a round of draws: the least loaded of the drawn servers takes r, unless that one is
// full too or there is none.
func (b *Balancer) finishRound(r *request) {
	s := r.round.best
	if s == nil {
		s, r.round.bestLoad = b.leastLoadedByReport(r)
	}
	if s == nil || !s.isReady() || r.round.bestLoad >= fullLoad {
		if r.Constraint != nil && b.subscription.listReceived {
			b.finish(r, ConstraintFull) // other servers may have capacity: no sign of congestion
			return
		}
		b.reduceWindow()
		b.enqueue(r)
		return
	}
	b.placeWithAffinity(r, s)
}

// leastLoadedByReport replaces the result of a round in which no probe was answered. It returns, of the
// servers drawn, the one with the least load by its last report, and that load. A server that has never
// reported counts as loaded to maxLowLoad, which is not full: probes may go unanswered although servers work.
func (b *Balancer) leastLoadedByReport(r *request) (*server, float64) {
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
