package balance

// Quota leases and usage reports. This file contains no decision logic. The JSON names are read and written
// by other versions.

import (
	"maps"
	"slices"
	"time"
)

// QuotaLease is the part of the fleet's budgets that this instance may use, where instances share their
// budgets. While the lease lasts, it replaces the instance's own estimates.
type QuotaLease struct {
	Period         int64         `json:"Half"`    // the period of the tokens; never decreases
	TokensExpireAt time.Duration `json:"Until"`   // the tokens are void from then on
	LeaseDuration  time.Duration `json:"For"`     // from now; then the instance's own estimates apply again
	Servers        []ServerQuota `json:"Servers"` // cold servers; servers not listed have no tokens
	RetryBudget    float64       `json:"Retries"` // attempts beyond a request's first that are permitted
	EjectedServers []string      `json:"Shunned"` // servers that enough instances have observed to fail
	Zones          []ZoneQuota   `json:"Zones"`   // zones not listed are not limited
	ShedFraction   float64       `json:"Over"`    // share of first arrivals to reject for lack of capacity
}

// ZoneQuota limits the attempts of this instance in a zone. Established connections are not affected.
type ZoneQuota struct {
	Zone   string  `json:"Zone"`
	Share  float64 `json:"Share"`  // share of draws that is kept, 0 to 1, as in a ZoneConstraint
	Tokens int     `json:"Tokens"` // attempts in the period; negative for no limit
}

// ServerQuota is the number of attempts that this instance may make at a cold server.
type ServerQuota struct {
	ID        string        `json:"ID"`
	StartedAt time.Duration `json:"Started"` // start of the process that the tokens are for
	Tokens    int           `json:"Tokens"`  // attempts in the period
}

// QuotaUsage is the usage that an instance reports to its peers.
type QuotaUsage struct {
	Period        int64         `json:"Half"`    // the period of the used tokens
	FirstAttempts float64       `json:"Firsts"`  // recent first attempts of first arrivals
	Retries       float64       `json:"Retries"` // recent attempts beyond the first
	Servers       []ServerUsage `json:"Servers"`
	Zones         []ZoneUsage   `json:"Zones"` // zones that are limited by tokens
}

// ZoneUsage is the number of attempts made in a zone in the period.
type ZoneUsage struct {
	Zone string `json:"Zone"`
	Used int    `json:"Used"`
}

// ServerUsage is the usage of one server that an instance reports.
type ServerUsage struct {
	ID              string        `json:"ID"`
	Zone            string        `json:"Zone"`
	Load            float64       `json:"Load"` // last reported load; -1 if unknown
	StartedAt       time.Duration `json:"Started"`
	WarmingUp       bool          `json:"Cold"`
	SlowStartBudget float64       `json:"Part"`   // attempts that slow start leaves to this instance
	Used            int           `json:"Used"`   // attempts in the period
	RecentAttempts  float64       `json:"Asked"`  // recent attempts and failed probes
	RecentFailures  float64       `json:"Failed"` // those of RecentAttempts that failed
}

// QuotaUsage returns what this instance has used of the fleet's budgets, and the demand on which its share of
// them is based, for its peers.
func (b *Balancer) QuotaUsage(now time.Duration) QuotaUsage {
	b.now = max(b.now, now)
	usage := QuotaUsage{
		Period:        b.quota.period,
		FirstAttempts: b.fleet.baselinePlacements.value(b.now),
		Retries:       b.fleet.retries.value(b.now),
	}
	for _, id := range slices.Sorted(maps.Keys(b.servers.byID)) {
		usage.Servers = append(usage.Servers, b.serverUsage(b.servers.byID[id]))
	}
	for _, name := range slices.Sorted(maps.Keys(b.quota.zones)) {
		if z := b.quota.zones[name]; z.tokens >= 0 {
			usage.Zones = append(usage.Zones, ZoneUsage{Zone: name, Used: z.tokensUsed})
		}
	}
	return usage
}

// serverUsage is the part of QuotaUsage for one server.
func (b *Balancer) serverUsage(s *server) ServerUsage {
	usage := ServerUsage{
		ID:             s.ID,
		Zone:           s.Zone,
		Load:           s.reportedLoad,
		StartedAt:      s.StartedAt,
		Used:           s.tokensUsed,
		RecentAttempts: s.observedAttempts.value(b.now),
		RecentFailures: s.observedFailures.value(b.now),
	}
	if capacity := b.capacityShare(s); capacity < 1 && s.isReady() {
		usage.WarmingUp = true
		usage.SlowStartBudget = b.slowStartBudget(s, capacity)
	}
	return usage
}
