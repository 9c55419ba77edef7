package balance

// Where may a request be drawn? Anywhere, but for what the fleet's word on zones takes
// away, and then the request's own bound. Neither gives back what repeats, drains or the
// limits of cold servers have taken.

// zoneOf is the fleet's word on s's zone; nil where it has none.
func (b *Balancer) zoneOf(s *server) *zone {
	if !b.zoned || b.now >= b.sharedTo {
		return nil
	}
	return b.zones[s.Zone]
}

// bound is the part of its draws that s keeps by its zone, and of those by r's bound.
func (b *Balancer) bound(r *request, s *server) float64 {
	p := 1.0
	if z := b.zoneOf(s); z != nil {
		p = z.share
	}
	if r.Constraint != nil {
		p *= r.Constraint.part(s.Zone)
	}
	return p
}

// zoneTakes tells whether s's zone has a token left, if it has any.
func (b *Balancer) zoneTakes(s *server) bool {
	z := b.zoneOf(s)
	return z == nil || z.tokens < 0 || z.used < z.tokens && b.now < b.tokensTo
}

// part is the part of a zone's draws that q keeps.
func (q *ZoneConstraint) part(zone string) float64 {
	for _, z := range q.Zones {
		if z.Zone == zone {
			return clamp(z.Share)
		}
	}
	return clamp(q.DefaultShare)
}

// pickAmong draws as pick does where most draws are void: of all servers at once, each by
// the part that it keeps. One of many zones is missed too often by drawing again.
func (b *Balancer) pickAmong(r *request) (found *server) {
	sum := 0.0
	for _, s := range b.ready {
		if !b.allowed(r, s) {
			continue
		}
		p := b.share(r, s)
		if sum += p; b.rng.Float64()*sum < p {
			found = s
		}
	}
	return found
}
