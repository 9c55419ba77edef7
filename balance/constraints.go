package balance

// Zone limits: how large a share of its draws each server keeps. The quota lease's limit on the zone and the
// request's own constraint are applied one after the other, and each can only reduce the share. Neither
// permits what idempotency, drains or the limits on cold servers forbid.

// constraintShare is the share of its draws for r that s keeps under its zone's limit and r's constraint.
func (b *Balancer) constraintShare(r *request, s *server) float64 {
	share := b.zoneShare(s)
	if r.Constraint != nil {
		share *= r.Constraint.shareOf(s.Zone)
	}
	return share
}

// zoneShare is the share of its draws that s keeps under its zone's limit.
func (b *Balancer) zoneShare(s *server) float64 {
	if z := b.zoneLimitOf(s); z != nil {
		return z.share
	}
	return 1
}

// zoneHasTokens reports whether the zone of s has a token left; true if the zone is not limited by tokens.
func (b *Balancer) zoneHasTokens(s *server) bool {
	z := b.zoneLimitOf(s)
	return z == nil || z.tokens < 0 || z.tokensUsed < z.tokens && b.now < b.quota.tokensExpireAt
}

// shareOf is the share of a zone's draws that the constraint keeps.
func (c *ZoneConstraint) shareOf(zone string) float64 {
	for _, z := range c.Zones {
		if z.Zone == zone {
			return clampShare(z.Share)
		}
	}
	return clampShare(c.DefaultShare)
}

// drawWeighted draws once from all servers at the same time, each weighted by its share. It is used where
// most uniform draws are void: with many zones of which only one is allowed, repeated uniform draws too often
// miss it. It returns nil if all shares are 0.
func (b *Balancer) drawWeighted(r *request) (drawn *server) {
	sum := 0.0
	for _, s := range b.servers.ready {
		if !b.isAllowed(r, s) {
			continue
		}
		share := b.drawShare(r, s)
		sum += share
		if b.rng.Float64()*sum < share {
			drawn = s
		}
	}
	return drawn
}
