package balance

// How the fleet's quota lease is applied. Nothing is decided here.

import "time"

const (
	// observationDecay is how long what this instance saw of a server is reported to its peers:
	// they are to learn what fails now, and keep their own counts.
	observationDecay = 2 * time.Second
	// ejectionFaults is how many faults an ejection by the fleet counts as: a tenth of its draws
	// is left to a server that all others have no fault of, enough to see it recover.
	ejectionFaults = 9.0
)

// quotaState is the latest quota lease.
type quotaState struct {
	period         int64         // that the tokens are for
	endsAt         time.Duration // the lease binds until then
	tokensExpireAt time.Duration
	retryBudget    float64 // attempts beyond a request's first that are left
	shedFraction   float64 // share of first arrivals to be rejected
	limitsZones    bool
	zones          map[string]*zoneLimit
}

// zoneLimit is what the fleet lets this instance do in a zone in this period.
type zoneLimit struct {
	share      float64 // of its draws that is kept
	tokens     int     // attempts allowed; negative for no bound
	tokensUsed int
}

// zone returns the limit of a zone, which bounds nothing unless a lease has set it.
func (q *quotaState) zone(name string) *zoneLimit {
	z := q.zones[name]
	if z == nil {
		z = &zoneLimit{share: 1, tokens: -1}
		q.zones[name] = z
	}
	return z
}

// hasLease reports whether a quota lease binds this instance.
func (b *Balancer) hasLease() bool { return b.now < b.quota.endsAt }

// hasZoneLimits reports whether a quota lease that binds this instance limits zones.
func (b *Balancer) hasZoneLimits() bool { return b.quota.limitsZones && b.hasLease() }

// zoneLimitOf is the quota lease's limit on the zone of s; nil where it has none.
func (b *Balancer) zoneLimitOf(s *server) *zoneLimit {
	if !b.hasZoneLimits() {
		return nil
	}
	return b.quota.zones[s.Zone]
}

// applyQuotaLease takes a lease. One of an earlier period is ignored, as is one whose retry
// budget is no number above 0. A second one of the same period does not renew what is used.
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
	b.quota.endsAt = b.now + lease.LeaseDuration
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

// applyZoneQuotas takes a lease's zones, and reports whether one is closed that was not.
func (b *Balancer) applyZoneQuotas(lease QuotaLease) (hasClosedZone bool) {
	before, wasLimited := b.quota.zones, b.hasZoneLimits()
	b.quota.zones = make(map[string]*zoneLimit, len(before))
	if lease.Period == b.quota.period {
		for name, z := range before {
			b.quota.zone(name).tokensUsed = z.tokensUsed
		}
	}
	for _, quota := range lease.Zones {
		z := b.quota.zone(quota.Zone)
		z.share = clampShare(quota.Share)
		z.tokens = quota.Tokens
		was := before[quota.Zone]
		wasOpen := !wasLimited || was == nil || was.share > 0
		hasClosedZone = hasClosedZone || z.share == 0 && wasOpen
	}
	b.quota.limitsZones = len(lease.Zones) > 0
	return hasClosedZone
}

// clampShare brings a share into 0 to 1. What is no number is 0.
func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}
