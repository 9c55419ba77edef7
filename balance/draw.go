package balance

// Which server takes a request? The mechanism is P^(1,1,d,d,...) of Czumaj and Stemann,
// Randomized Allocation Processes (2001), section 1.1 and Theorem 5: ready servers are
// drawn uniformly, with replacement, one at a time; a draw at level 0 or 1 decides at
// once, else the least loaded of d draws does. Every exception is listed with its
// condition in docs/design.md.

import (
	"math"
	"slices"
	"time"
)

const (
	// trials is d. The paper needs d >= 2; beyond 3 the least of the draws is
	// rather the luckiest reading than the least loaded server.
	trials = 3
	// lowest and highest bound the load below which a server passes as low.
	// Under lowest there is nothing to even out; a server above highest would
	// be pushed over by a few more connections, whatever the fleet's usual is.
	minLowLoad, maxLowLoad = 0.3, 0.7
	// fullLoad is the load at which one more connection may harm all of a server's:
	// served well up to its capacity, it serves nobody in time beyond, and loads
	// change after placement. Drawing ends in a wait rather than there.
	fullLoad = 0.85
	// redraws bounds the draws that thinning or skipping may void in a row.
	maxVoidDraws = 16
	// blame is how long an error or a failed connection is held against a
	// server: longer than one retry, shorter than most troubles.
	faultDecay = 5 * time.Second
)

// draw goes on drawing for r until a probe must be waited for or a server is
// decided on.
func (b *Balancer) draw(r *request) {
	for r.drawCount < trials {
		s := b.drawServer(r)
		if s == nil {
			break
		}
		r.drawCount++
		if slices.Contains(r.drawnServers, s) {
			continue // drawn with replacement: its answer is known
		}
		r.drawnServers = append(r.drawnServers, s)
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

// pick draws a server uniformly from the ready ones. Draws of servers that r
// skips are void, and so are some draws of cold and faulty servers and of bounded
// zones: each instance thins by itself, so that together they keep to a cold server's
// part. As void draws are drawn again, a fleet that is mostly cold or faulty
// still serves.
func (b *Balancer) drawServer(r *request) *server {
	if len(b.ready) == 0 {
		return nil
	}
	for range maxVoidDraws {
		s := b.ready[b.rng.IntN(len(b.ready))]
		if !b.isAllowed(r, s) {
			continue
		}
		if share := b.drawShare(r, s); share >= 1 || b.rng.Float64() < share {
			return s
		}
	}
	if r.Constraint != nil || b.limitsZones && b.now < b.leaseEndsAt {
		return b.drawWeighted(r)
	}
	return nil
}

// share is the part of its draws for r that a server is left with where r is allowed: by
// what it can bear, by its zone and by r's bound. Faults count against the server that has
// the fewest: where all have some, none is better left out.
func (b *Balancer) drawShare(r *request, s *server) float64 {
	if !b.hasCapacity(s) {
		return 0
	}
	share := b.faultShare(s) * b.constraintShare(r, s)
	if capacity := b.capacityShare(s); capacity < 1 && b.now >= b.leaseEndsAt { // else its tokens are all that it gets
		share *= min(capacity, b.slowStartDrawShare(capacity))
	}
	return share
}

// trust is the part of its draws that faults leave to s.
func (b *Balancer) faultShare(s *server) float64 {
	return min((1+b.fewestFaults)/(1+s.recentFaults.value(b.now)), 1)
}

// fewest sees how many faults the ready server has that has the fewest.
func (b *Balancer) updateFewestFaults() {
	b.fewestFaults = 0
	for i, s := range b.ready {
		if faults := s.recentFaults.value(b.now); i == 0 || faults < b.fewestFaults {
			b.fewestFaults = faults
		}
	}
}

// Avoided counts the listed servers that are left out of all or of most draws.
func (b *Balancer) AvoidedServers() (count int) {
	for _, s := range b.servers {
		if s.State != Gone && (s.readyIndex < 0 || b.faultShare(s)*b.constraintShare(&request{}, s) < 0.5) {
			count++
		}
	}
	return count
}

// level cuts a load into whole levels. The unit is half of the fleet's usual
// load, within bounds, so that levels 0 and 1 mean not above the usual.
func (b *Balancer) level(load float64) int {
	unit := min(max(b.meanLoad, minLowLoad), maxLowLoad) / 2
	return int(load / unit)
}

// consider weighs a drawn server and places r if the draw decides, which it
// does at level 0 or 1.
func (b *Balancer) considerDraw(r *request, s *server) bool {
	load := b.estimatedLoad(s)
	if load < 0 || !b.hasCapacity(s) {
		return false
	}
	if r.bestServer == nil || load < r.bestLoad {
		r.bestServer, r.bestLoad = s, load
	}
	if b.level(load) > 1 {
		return false
	}
	b.placeWithAffinity(r, s)
	return true
}

// decide ends a round of draws: the least loaded of them takes r, unless even
// that one is full.
func (b *Balancer) finishRound(r *request) {
	s := r.bestServer
	if s == nil {
		s, r.bestLoad = b.leastReported(r)
	}
	if s == nil || s.readyIndex < 0 || r.bestLoad >= fullLoad {
		if r.Constraint != nil && b.listReceived { // others may go elsewhere: it tells nothing of the fleet
			b.finish(r)
			return
		}
		b.reduceWindow()
		b.enqueue(r)
		return
	}
	b.placeWithAffinity(r, s)
}

// remembered stands in where no draw was answered: of the servers drawn, the
// one with the least load by its last report. One that never reported passes
// as just not full: probes may be dead while servers work.
func (b *Balancer) leastReported(r *request) (*server, float64) {
	var best *server
	least := math.Inf(1)
	for _, s := range r.drawnServers {
		load := b.estimatedLoad(s)
		if load < 0 {
			load = maxLowLoad
		}
		if load < least && b.hasCapacity(s) {
			best, least = s, load
		}
	}
	return best, least
}
