package balance

// Which server takes a member of a group? Where every server that holds any of a group
// pays for it, one that does so already, or that all instances would name.

import "slices"

// ringHomes is how many homes a group has at most. The largest groups fill more
// than one server, and a member that finds no home costs the fleet a group's load.
const ringHomes = 6

// settleOn ends the drawing at s. Where every server that holds any of a
// group pays for it, one of the group's homes goes before s if it is not above
// highest, or at no higher level than s: the homes are probed in turn.
func (b *Balancer) settleOn(r *request, s *server) {
	if !b.set.Connections.GroupAffinity || r.Group == "" {
		b.send(r, s)
		return
	}
	r.homing, r.best, r.bestLoad = true, s, b.loadOf(s)
	if g := b.groups[r.Group]; g != nil {
		r.homes = append(r.homes, g.home)
	}
	// Then those that all instances agree on: who follows the group's hash on the ring.
	i, _ := slices.BinarySearchFunc(b.ring, hash(r.Group), byHash)
	most := len(r.homes) + ringHomes
	for k := 0; k < len(b.ring) && len(r.homes) < most; k++ {
		if h := b.ring[(i+k)%len(b.ring)]; b.bound(r, h) > 0 {
			r.homes = append(r.homes, h)
		}
	}
	b.nextHome(r)
}

// nextHome asks r's next home, or sends r where its draws have decided.
func (b *Balancer) nextHome(r *request) {
	for len(r.homes) > 0 {
		h := r.homes[0]
		r.homes = r.homes[1:]
		if h == r.best {
			break
		}
		known := slices.Contains(r.drawn, h)
		if h.slot < 0 || !b.allowed(r, h) || b.rng.Float64() >= b.share(r, h) ||
			known && (h.probing || b.trust(h) < 1) { // it was drawn, and did not answer
			continue
		}
		if known || !b.probesTell() {
			b.atHome(r, h, true)
			return
		}
		r.drawn = append(r.drawn, h)
		b.ask(r, h)
		return
	}
	b.send(r, r.best)
}

// atHome decides for r, whose home s was probed.
func (b *Balancer) atHome(r *request, s *server, answered bool) {
	load := b.loadOf(s)
	if answered && load >= 0 && b.mayTake(s) && (load < highest || b.level(load) <= b.level(r.bestLoad)) {
		b.send(r, s)
		return
	}
	b.nextHome(r)
}
