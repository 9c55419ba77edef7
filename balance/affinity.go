package balance

// Group affinity: which server takes a member of a group. If connections of a group share work, each server
// that holds a member bears the cost of the whole group. A server that already holds the group, or one that
// all instances derive from the group's name, is therefore preferred unless its load is too high.

import "slices"

// maxRingServers is the number of servers on the ring that are candidates for a group. The largest groups
// fill more than one server, and a member placed on none of the candidates adds a group's load to the fleet.
const maxRingServers = 6

// placeWithAffinity places r after its draws have chosen s. If connections of a group share work, a server of
// r's group is preferred to s, provided that its load is below maxLowLoad or its level is not above that of
// s. The group's servers are probed one after the other.
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

// affinityServers lists the candidate servers for r's group: first the server of the group's latest placement
// by this instance, then the servers that follow the group's hash on the ring, which are the same for all
// instances.
func (b *Balancer) affinityServers(r *request) []*server {
	servers := r.round.affinityServers
	if g := b.requests.groups[r.Group]; g != nil {
		servers = append(servers, g.lastServer)
	}
	ring := b.servers.ring
	start := b.servers.ringIndex(ringHash(r.Group))
	limit := len(servers) + maxRingServers
	for i := 0; i < len(ring) && len(servers) < limit; i++ {
		if s := ring[(start+i)%len(ring)]; b.constraintShare(r, s) > 0 {
			servers = append(servers, s)
		}
	}
	return servers
}

// tryNextAffinityServer goes on to the next candidate for r's group that r may be sent to. It probes the
// candidate, or evaluates it at once if r has already drawn it or servers cannot be probed. It sends r to the
// server that the draws have chosen if no candidate is left, or if that server is the next candidate.
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
		if wasDrawn && (s.probeInFlight || b.faultShare(s) < 1) { // it did not answer its probe
			continue
		}
		if wasDrawn || !b.canProbe() {
			b.evaluateAffinityServer(r, s, true)
			return
		}
		r.round.servers = append(r.round.servers, s)
		b.awaitProbe(r, s)
		return
	}
	b.sendAttempt(r, r.round.best)
}

// evaluateAffinityServer sends r to s, a candidate for its group, or goes on to the next candidate.
func (b *Balancer) evaluateAffinityServer(r *request, s *server, answered bool) {
	load := b.estimatedLoad(s)
	isLow := load < maxLowLoad || b.level(load) <= b.level(r.round.bestLoad)
	if answered && load >= 0 && b.hasCapacity(r, s) && isLow {
		b.sendAttempt(r, s)
		return
	}
	b.tryNextAffinityServer(r)
}
