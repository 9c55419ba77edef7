package balance

// Where may a request be drawn? Anywhere, but for what the fleet's word on zones takes
// away, and then the request's own bound. Neither gives back what repeats, drains or the
// limits of cold servers have taken.

// zoneOf is the fleet's word on s's zone; nil where it has none.
func (b *Balancer) zoneLimitOf(s *server) *zoneLimit {
	if !b.limitsZones || b.now >= b.leaseEndsAt {
		return nil
	}
	return b.zoneLimits[s.Zone]
}

// bound is the part of its draws that s keeps by its zone, and of those by r's bound.
func (b *Balancer) constraintShare(r *request, s *server) float64 {
	share := 1.0
	if z := b.zoneLimitOf(s); z != nil {
		share = z.share
	}
	if r.Constraint != nil {
		share *= r.Constraint.shareOf(s.Zone)
	}
	return share
}

// zoneTakes tells whether s's zone has a token left, if it has any.
func (b *Balancer) zoneHasTokens(s *server) bool {
	z := b.zoneLimitOf(s)
	return z == nil || z.tokens < 0 || z.tokensUsed < z.tokens && b.now < b.tokensExpireAt
}

// part is the part of a zone's draws that q keeps.
func (c *ZoneConstraint) shareOf(zone string) float64 {
	for _, z := range c.Zones {
		if z.Zone == zone {
			return clampShare(z.Share)
		}
	}
	return clampShare(c.DefaultShare)
}

// pickAmong draws as pick does where most draws are void: of all servers at once, each by
// the part that it keeps. One of many zones is missed too often by drawing again.
func (b *Balancer) drawWeighted(r *request) (drawn *server) {
	sum := 0.0
	for _, s := range b.ready {
		if !b.isAllowed(r, s) {
			continue
		}
		share := b.drawShare(r, s)
		if sum += share; b.rng.Float64()*sum < share {
			drawn = s
		}
	}
	return drawn
}
