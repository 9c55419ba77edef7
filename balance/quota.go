package balance

// What the fleet lets an instance spend, and what an instance reports of its spending. Nothing
// is decided here. The names in JSON are those that other versions read and write.

import (
	"maps"
	"slices"
	"time"
)

// QuotaLease is what the whole fleet lets this instance spend, where instances share their
// budgets. While it lasts it takes the place of the instance's own estimates.
type QuotaLease struct {
	Period         int64         `json:"Half"`    // that the tokens are for; never falls
	TokensExpireAt time.Duration `json:"Until"`   // tokens are void from then on
	LeaseDuration  time.Duration `json:"For"`     // from now; then the instance is on its own again
	Servers        []ServerQuota `json:"Servers"` // cold servers; those not named have no tokens
	RetryBudget    float64       `json:"Retries"` // attempts beyond a request's first that may be made now
	EjectedServers []string      `json:"Shunned"` // servers that enough instances have seen fail
	Zones          []ZoneQuota   `json:"Zones"`   // those not named are not bounded
	ShedFraction   float64       `json:"Over"`    // share of first arrivals to be rejected: the fleet can't carry them
}

// ZoneQuota bounds what this instance sends a zone. Connections that stand there stay.
type ZoneQuota struct {
	Zone   string  `json:"Zone"`
	Share  float64 `json:"Share"`  // of its draws that is kept, 0 to 1, as in a ZoneConstraint
	Tokens int     `json:"Tokens"` // attempts in the period; negative for no bound
}

// ServerQuota is how many attempts at a cold server this instance may make.
type ServerQuota struct {
	ID        string        `json:"ID"`
	StartedAt time.Duration `json:"Started"` // of the process that the tokens are for
	Tokens    int           `json:"Tokens"`  // attempts in the period
}

// QuotaUsage is what an instance reports to its peers.
type QuotaUsage struct {
	Period        int64         `json:"Half"`    // that the used tokens are of
	FirstAttempts float64       `json:"Firsts"`  // first attempts of first arrivals of late
	Retries       float64       `json:"Retries"` // attempts beyond the first, of late
	Servers       []ServerUsage `json:"Servers"`
	Zones         []ZoneUsage   `json:"Zones"` // those with tokens
}

// ZoneUsage is how many attempts into a zone there were in the period.
type ZoneUsage struct {
	Zone string `json:"Zone"`
	Used int    `json:"Used"`
}

// ServerUsage is what an instance reports of one server.
type ServerUsage struct {
	ID             string        `json:"ID"`
	Zone           string        `json:"Zone"`
	Load           float64       `json:"Load"` // as last reported; -1 if unknown
	StartedAt      time.Duration `json:"Started"`
	WarmingUp      bool          `json:"Cold"`
	ColdBudget     float64       `json:"Part"`   // attempts that its slow start leaves to this instance's traffic
	Used           int           `json:"Used"`   // attempts in the period
	RecentAttempts float64       `json:"Asked"`  // attempts and failed probes of late
	RecentFailures float64       `json:"Failed"` // those of them that failed
}

// QuotaUsage returns what this instance has spent of the fleet's budgets, and what it would take
// part with in them, for its peers.
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
		usage.ColdBudget = b.slowStartBudget(s, capacity)
	}
	return usage
}
