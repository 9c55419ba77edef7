package balance

// Which server takes a member of a group? Where every server that holds any member of a group pays for
// it, one that does so already, or that all instances would choose.

import "slices"

// maxRingServers is how many servers the ring names for a group. The largest groups fill more than one
// server, and a member that finds none of them costs the fleet a group's load.
const maxRingServers = 6

// placeWithAffinity ends the drawing at s. Where connections of a group share work, one of the group's
// servers goes before s if it is not above maxLowLoad, or at no higher level than s: they are probed
// one after the other.
func (b *Balancer) placeWithAffinity(r *request, s *server) {
	if !b.settings.Connections.GroupAffinity || r.Group == "" {
		b.sendAttempt(r, s)
		return
	}
	r.round.tryingAffinity = true
	r.round.best, r.round.bestLoad = s, b.estimatedLoad(s)
	r.round.affinityServers = b.affinityServers(r)
	b.tryNextAffinityServer(r)
}

// affinityServers lists the servers for r's group: where this instance placed its latest member, then
// those that all instances agree on, which follow the group's hash on the ring.
func (b *Balancer) affinityServers(r *request) []*server {
	servers := r.round.affinityServers
	if g := b.requests.groups[r.Group]; g != nil {
		servers = append(servers, g.lastServer)
	}
	ring := b.servers.ring
	start := b.servers.ringIndex(ringHash(r.Group))
	longest := len(servers) + maxRingServers
	for i := 0; i < len(ring) && len(servers) < longest; i++ {
		if s := ring[(start+i)%len(ring)]; b.constraintShare(r, s) > 0 {
			servers = append(servers, s)
		}
	}
	return servers
}

// tryNextAffinityServer probes the next of the group's servers, or sends r where its draws have
// decided.
func (b *Balancer) tryNextAffinityServer(r *request) {
	for len(r.round.affinityServers) > 0 {
		s := r.round.affinityServers[0]
		r.round.affinityServers = r.round.affinityServers[1:]
		if s == r.round.best {
			break
		}
		if !s.isReady() || !b.isAllowed(r, s) || b.rng.Float64() >= b.drawShare(r, s) {
			continue
		}
		wasDrawn := slices.Contains(r.round.servers, s)
		if wasDrawn && (s.probeInFlight || b.faultShare(s) < 1) { // it did not answer
			continue
		}
		if wasDrawn || !b.canProbe() {
			b.decideAffinityServer(r, s, true)
			return
		}
		r.round.servers = append(r.round.servers, s)
		b.awaitProbe(r, s)
		return
	}
	b.sendAttempt(r, r.round.best)
}

// decideAffinityServer decides whether r goes to s, one of its group's servers.
func (b *Balancer) decideAffinityServer(r *request, s *server, answered bool) {
	load := b.estimatedLoad(s)
	isLow := load < maxLowLoad || b.level(load) <= b.level(r.round.bestLoad)
	if answered && load >= 0 && b.hasCapacity(r, s) && isLow {
		b.sendAttempt(r, s)
		return
	}
	b.tryNextAffinityServer(r)
}
