package balance

// Application of the fleet's quota lease. This file contains no decision logic.

import "time"

const (
	// observationDecay is the time constant of the observations that are reported to peers. It is short
	// because peers need to learn what fails now and keep counts of their own.
	observationDecay = 2 * time.Second
	// ejectionFaults is the number of faults that an ejection by the fleet counts as. If another server has
	// no faults, an ejected one keeps 1/(1+9), a tenth, of its draws: enough to detect its recovery.
	ejectionFaults = 9.0
)

// quotaState is the state of the latest quota lease.
type quotaState struct {
	period         int64         // the period that the tokens are valid for
	leaseEndsAt    time.Duration // the lease applies until then
	tokensExpireAt time.Duration
	retryBudget    float64 // remaining attempts beyond a request's first one
	shedFraction   float64 // share of first arrivals to reject
	limitsZones    bool
	zones          map[string]*zoneLimit
}

// zoneLimit limits the attempts of this instance in a zone in the current period.
type zoneLimit struct {
	share      float64 // of the draws in the zone that is kept
	tokens     int     // permitted attempts; negative for no limit
	tokensUsed int
}

// zone returns the limit of a zone. It restricts nothing until a lease has set it.
func (q *quotaState) zone(name string) *zoneLimit {
	z := q.zones[name]
	if z == nil {
		z = &zoneLimit{share: 1, tokens: -1}
		q.zones[name] = z
	}
	return z
}

// hasQuota reports whether a quota lease is in force.
func (b *Balancer) hasQuota() bool { return b.now < b.quota.leaseEndsAt }

// hasZoneLimits reports whether a quota lease is in force that limits zones.
func (b *Balancer) hasZoneLimits() bool { return b.quota.limitsZones && b.hasQuota() }

// zoneLimitOf is the limit that the quota lease sets on the zone of s; nil if it sets none.
func (b *Balancer) zoneLimitOf(s *server) *zoneLimit {
	if !b.hasZoneLimits() {
		return nil
	}
	return b.quota.zones[s.Zone]
}

// applyQuotaLease applies a lease. A lease of an earlier period is ignored, and so is one whose retry budget
// is negative or NaN. A further lease of the same period does not restore tokens that were used.
func (b *Balancer) applyQuotaLease(lease QuotaLease) {
	if lease.Period < b.quota.period || !(lease.RetryBudget >= 0) {
		return
	}
	for _, s := range b.servers.byID {
		s.tokens = 0
		if lease.Period > b.quota.period {
			s.tokensUsed = 0
		}
	}
	hasClosedZone := b.applyZoneQuotas(lease)
	b.quota.period = lease.Period
	b.quota.leaseEndsAt = b.now + lease.LeaseDuration
	b.quota.tokensExpireAt = lease.TokensExpireAt
	b.quota.retryBudget = lease.RetryBudget
	b.quota.shedFraction = clampShare(lease.ShedFraction)
	for _, quota := range lease.Servers {
		if s := b.servers.byID[quota.ID]; s != nil && s.StartedAt == quota.StartedAt {
			s.tokens = max(quota.Tokens, 0)
		}
	}
	for _, id := range lease.EjectedServers {
		if s := b.servers.byID[id]; s != nil {
			s.recentFaults.add(b.now, max(0, ejectionFaults-s.recentFaults.value(b.now)))
		}
	}
	if hasClosedZone {
		b.finishUnplaceable()
	}
}

// applyZoneQuotas applies the zone quotas of a lease and reports whether a zone that was open is now closed.
func (b *Balancer) applyZoneQuotas(lease QuotaLease) (hasClosedZone bool) {
	previousZones, wasLimited := b.quota.zones, b.hasZoneLimits()
	b.quota.zones = make(map[string]*zoneLimit, len(previousZones))
	if lease.Period == b.quota.period {
		for name, z := range previousZones {
			b.quota.zone(name).tokensUsed = z.tokensUsed
		}
	}
	for _, quota := range lease.Zones {
		z := b.quota.zone(quota.Zone)
		z.share = clampShare(quota.Share)
		z.tokens = quota.Tokens
		previous := previousZones[quota.Zone]
		wasOpen := !wasLimited || previous == nil || previous.share > 0
		hasClosedZone = hasClosedZone || z.share == 0 && wasOpen
	}
	b.quota.limitsZones = len(lease.Zones) > 0
	return hasClosedZone
}

// clampShare limits a share to the range 0 to 1. NaN becomes 0.
func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}
