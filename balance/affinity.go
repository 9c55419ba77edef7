package balance

// Which server takes a member of a group? Where every server that holds any of a group
// pays for it, one that does so already, or that all instances would name.

import "slices"

// ringHomes is how many homes a group has at most. The largest groups fill more
// than one server, and a member that finds no home costs the fleet a group's load.
const maxRingServers = 6

// settleOn ends the drawing at s. Where every server that holds any of a
// group pays for it, one of the group's homes goes before s if it is not above
// highest, or at no higher level than s: the homes are probed in turn.
func (b *Balancer) placeWithAffinity(r *request, s *server) {
	if !b.settings.Connections.GroupAffinity || r.Group == "" {
		b.sendAttempt(r, s)
		return
	}
	r.tryingAffinity, r.bestServer, r.bestLoad = true, s, b.estimatedLoad(s)
	if g := b.groups[r.Group]; g != nil {
		r.affinityServers = append(r.affinityServers, g.lastServer)
	}
	// Then those that all instances agree on: who follows the group's hash on the ring.
	i, _ := slices.BinarySearchFunc(b.ring, ringHash(r.Group), compareRingHash)
	longest := len(r.affinityServers) + maxRingServers
	for k := 0; k < len(b.ring) && len(r.affinityServers) < longest; k++ {
		if h := b.ring[(i+k)%len(b.ring)]; b.constraintShare(r, h) > 0 {
			r.affinityServers = append(r.affinityServers, h)
		}
	}
	b.tryNextAffinityServer(r)
}

// nextHome asks r's next home, or sends r where its draws have decided.
func (b *Balancer) tryNextAffinityServer(r *request) {
	for len(r.affinityServers) > 0 {
		s := r.affinityServers[0]
		r.affinityServers = r.affinityServers[1:]
		if s == r.bestServer {
			break
		}
		wasDrawn := slices.Contains(r.drawnServers, s)
		if s.readyIndex < 0 || !b.isAllowed(r, s) || b.rng.Float64() >= b.drawShare(r, s) ||
			wasDrawn && (s.probeInFlight || b.faultShare(s) < 1) { // it was drawn, and did not answer
			continue
		}
		if wasDrawn || !b.canProbe() {
			b.decideAffinityServer(r, s, true)
			return
		}
		r.drawnServers = append(r.drawnServers, s)
		b.awaitProbe(r, s)
		return
	}
	b.sendAttempt(r, r.bestServer)
}

// atHome decides for r, whose home s was probed.
func (b *Balancer) decideAffinityServer(r *request, s *server, answered bool) {
	load := b.estimatedLoad(s)
	if answered && load >= 0 && b.hasCapacity(s) && (load < maxLowLoad || b.level(load) <= b.level(r.bestLoad)) {
		b.sendAttempt(r, s)
		return
	}
	b.tryNextAffinityServer(r)
}
