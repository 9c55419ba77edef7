package balance

// What the fleet lets this instance spend, and what it tells of its spending. Nothing is
// decided here. The names in JSON are those that other versions read and write.

import (
	"maps"
	"slices"
	"time"
)

// evidence is how long what this instance saw of a server is told to others: they
// are to hear of what fails now, and have a memory of their own.
const observationDecay = 2 * time.Second

// Granted is what the whole fleet lets this instance spend, where instances share their
// budgets: in place of what it would reckon by itself, for as long as For says.
type QuotaLease struct {
	Period         int64         `json:"Half"`    // the period that the tokens are for; never falls
	TokensExpireAt time.Duration `json:"Until"`   // they are void from then on
	LeaseDuration  time.Duration `json:"For"`     // from now: then it is on its own again
	Servers        []ServerQuota `json:"Servers"` // cold servers; those not named have no tokens
	RetryBudget    float64       `json:"Retries"` // attempts beyond a request's first that may be made now
	EjectedServers []string      `json:"Shunned"` // servers that enough instances have seen fail
	Zones          []ZoneQuota   `json:"Zones"`   // those not named are not bounded
	ShedFraction   float64       `json:"Over"`    // share of first arrivals to be refused at once: the fleet can't carry them
}

// ZoneGrant bounds what this instance sends a zone. What stands there stays.
type ZoneQuota struct {
	Zone   string  `json:"Zone"`
	Share  float64 `json:"Share"`  // of its draws that is kept, 0 to 1, as in a Bound
	Tokens int     `json:"Tokens"` // attempts in this half; negative for no bound
}

// Grant is how many attempts at a cold server this instance may make.
type ServerQuota struct {
	ID        string        `json:"ID"`
	StartedAt time.Duration `json:"Started"`
	Tokens    int           `json:"Tokens"`
}

// Spending is what an instance tells its peers.
type QuotaUsage struct {
	Period        int64         `json:"Half"`    // that Used is about
	FirstAttempts float64       `json:"Firsts"`  // first arrivals sent of late
	Retries       float64       `json:"Retries"` // attempts beyond the first, of late
	Servers       []ServerUsage `json:"Servers"`
	Zones         []ZoneUsage   `json:"Zones"` // those with tokens
}

// ZoneSpent is how many attempts into a zone there were in the half.
type ZoneUsage struct {
	Zone string `json:"Zone"`
	Used int    `json:"Used"`
}

// Spent is what an instance tells of one server.
type ServerUsage struct {
	ID             string        `json:"ID"`
	Zone           string        `json:"Zone"`
	Load           float64       `json:"Load"` // as last reported; -1 if it has not
	StartedAt      time.Duration `json:"Started"`
	WarmingUp      bool          `json:"Cold"`
	ColdBudget     float64       `json:"Part"`   // of its budget in the time that makes it fall, by this instance's traffic
	Used           int           `json:"Used"`   // attempts in the half
	RecentAttempts float64       `json:"Asked"`  // attempts and failed probes of late
	RecentFailures float64       `json:"Failed"` // of late, all that failed
}

// Spending tells what this instance has spent of the fleet's budgets, and what it would
// take part with in them, for its peers.
func (b *Balancer) QuotaUsage(now time.Duration) QuotaUsage {
	b.now = max(b.now, now)
	usage := QuotaUsage{Period: b.quotaPeriod, FirstAttempts: b.rate[1].value(b.now), Retries: b.recentRetries.value(b.now)}
	for _, id := range slices.Sorted(maps.Keys(b.servers)) {
		s := b.servers[id]
		server := ServerUsage{ID: id, Zone: s.Zone, Load: s.reportedLoad, StartedAt: s.StartedAt, Used: s.tokensUsed,
			RecentAttempts: s.observedAttempts.value(b.now), RecentFailures: s.observedFailures.value(b.now)}
		if capacity := b.capacityShare(s); capacity < 1 && s.readyIndex >= 0 {
			server.WarmingUp = true
			server.ColdBudget = b.slowStartPlacementRate(capacity) / float64(len(b.ready)) * s.recentAttempts.timeConstant.Seconds()
		}
		usage.Servers = append(usage.Servers, server)
	}
	for _, name := range slices.Sorted(maps.Keys(b.zoneLimits)) {
		if z := b.zoneLimits[name]; z.tokens >= 0 {
			usage.Zones = append(usage.Zones, ZoneUsage{Zone: name, Used: z.tokensUsed})
		}
	}
	return usage
}

// shunned is how many faults a verdict of the fleet counts as: a tenth of its draws is left
// to a server that all others have none of, enough to see it recover.
const ejectionFaults = 9.0

// granted takes what the fleet lets this instance spend. Tokens of an earlier half are
// void; of the same half only what is said of them is news.
func (b *Balancer) applyQuotaLease(lease QuotaLease) {
	if lease.Period < b.quotaPeriod || !(lease.RetryBudget >= 0) {
		return
	}
	for _, s := range b.servers {
		s.tokens = 0
		if lease.Period > b.quotaPeriod {
			s.tokensUsed = 0
		}
	}
	hasClosedZone := b.applyZoneQuotas(lease)
	b.quotaPeriod, b.leaseEndsAt, b.tokensExpireAt, b.retryBudget = lease.Period, b.now+lease.LeaseDuration, lease.TokensExpireAt, lease.RetryBudget
	for _, quota := range lease.Servers {
		if s := b.servers[quota.ID]; s != nil && s.StartedAt == quota.StartedAt {
			s.tokens = max(quota.Tokens, 0)
		}
	}
	for _, id := range lease.EjectedServers {
		if s := b.servers[id]; s != nil {
			s.recentFaults.add(b.now, max(0, ejectionFaults-s.recentFaults.value(b.now)))
		}
	}
	if hasClosedZone {
		b.finishUnplaceable()
	}
}

// grantZones takes what is said of zones, and tells whether one is shut that was not.
func (b *Balancer) applyZoneQuotas(lease QuotaLease) (hasClosedZone bool) {
	before, wasLimited := b.zoneLimits, b.limitsZones && b.now < b.leaseEndsAt
	b.zoneLimits = make(map[string]*zoneLimit, len(before))
	if lease.Period == b.quotaPeriod {
		for name, z := range before {
			b.zoneLimitFor(name).tokensUsed = z.tokensUsed
		}
	}
	for _, quota := range lease.Zones {
		z := b.zoneLimitFor(quota.Zone)
		z.share, z.tokens = clampShare(quota.Share), quota.Tokens
		was := before[quota.Zone]
		hasClosedZone = hasClosedZone || z.share == 0 && (!wasLimited || was == nil || was.share > 0)
	}
	b.limitsZones, b.shedFraction = len(lease.Zones) > 0, clampShare(lease.ShedFraction)
	return hasClosedZone
}

// zone returns what is kept of a zone, which nothing bounds unless a grant has said so.
func (b *Balancer) zoneLimitFor(name string) *zoneLimit {
	z := b.zoneLimits[name]
	if z == nil {
		z = &zoneLimit{share: 1, tokens: -1}
		b.zoneLimits[name] = z
	}
	return z
}

// clamp brings a share into 0 to 1. What is no number is 0.
func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}
