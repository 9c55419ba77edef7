// Package member is the fleet agent's part in gossip: it knows which nodes there are (SWIM,
// by hashicorp/memberlist), spreads what each has spent and seen, and tells the node beside
// it what it may spend, as package share decides.
package gossip

import (
	"hash/maphash"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// binds is how long a grant keeps the node to the fleet's budgets after the agent has last
// been heard of.
const grantLifetime = time.Second

// Agent is one member. Its methods may be called at any time; Zone and Record are set
// before.
type Member struct {
	Zone          string               // where it stands; empty for nowhere
	ReplogAddress string               // where the others reach its record; empty where it serves none
	OnMessage     func(message []byte) // what others Tell this member; nil for nobody

	name        string
	incarnation int64
	cfg         quota.Config
	clock       func() time.Duration

	mu                 sync.Mutex
	quotaState         *quota.State
	metadata           map[string]nodeMetadata // of others
	reports            map[string]report       // the last of each member
	usages             map[string]Usage        // and of what it uses of accounts,
	encodedUsages      map[string][]byte       // as it travels
	decision           Decision
	seq                uint64
	period             int64                  // of the node's last word
	spentInPeriod      map[quota.Endpoint]int // in that half
	spentInPriorPeriod map[quota.Endpoint]int // in the half before it
	hashSeed           maphash.Seed
	receivedHashes     [4096]uint64 // marks of reports that were taken
	enqueue            func(name string, report []byte)
	cluster            *memberlist.Memberlist // nil before Run has met anybody
}

// Decided is what the record, or this member by itself, has decided for its node.
type Decision struct {
	LogIndex     uint64                    // of the record as this member serves it
	ZoneLimits   []zonestatus.TrafficLimit // zones that are not named are not bounded
	ShedFraction float64                   // share of first arrivals that is refused at once
}

// NewAgent returns a member by that name that knows nobody.
func NewMember(name string, cfg quota.Config, disabledGuards quota.Guards, clock func() time.Duration) *Member {
	m := &Member{name: name, incarnation: int64(clock()), cfg: cfg, clock: clock, quotaState: quota.NewState(name, cfg),
		metadata: map[string]nodeMetadata{}, reports: map[string]report{},
		usages: map[string]Usage{}, encodedUsages: map[string][]byte{}, hashSeed: maphash.MakeSeed(),
		spentInPeriod: map[quota.Endpoint]int{}, spentInPriorPeriod: map[quota.Endpoint]int{}, enqueue: func(string, []byte) {}}
	m.quotaState.DisabledGuards = disabledGuards
	return m
}

// Decide takes what the node is told from now on.
func (m *Member) SetDecision(decision Decision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.decision = decision
	m.removeExpired(m.clock())
}

// Answer takes what the node has spent and returns what it may spend now.
func (m *Member) ReportQuotaUsage(usage balance.QuotaUsage) balance.QuotaLease {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishReport(now, usage)
	m.removeExpired(now)
	period, _, end := m.cfg.Period(now)
	lease := balance.QuotaLease{Period: period, TokensExpireAt: end, LeaseDuration: grantLifetime, RetryBudget: m.quotaState.RetryBudget(now), ShedFraction: m.decision.ShedFraction}
	superseded := m.period == period && usage.Period < period // a new process of the node: the old one had this half's tokens
	for _, limit := range m.decision.ZoneLimits {
		lease.Zones = append(lease.Zones, m.zoneQuota(now, limit, superseded))
	}
	if superseded {
		return lease
	}
	for _, allocation := range m.quotaState.Allocate(now) {
		lease.Servers = append(lease.Servers, balance.ServerQuota{ID: allocation.ID, StartedAt: time.Duration(allocation.StartedAt) * time.Millisecond, Tokens: allocation.Tokens})
	}
	for _, outlier := range m.quotaState.Outliers(now) {
		lease.EjectedServers = append(lease.EjectedServers, outlier.ID)
	}
	return lease
}

func (m *Member) zoneQuota(now time.Duration, limit zonestatus.TrafficLimit, superseded bool) balance.ZoneQuota {
	zoneQuota := balance.ZoneQuota{Zone: limit.Zone, Share: limit.Share, Tokens: -1}
	if limit.Rate > 0 {
		if zoneQuota.Tokens = 0; !superseded {
			zoneQuota.Tokens = m.quotaState.AllocateRate(now, quota.ZoneKey(limit.Zone), limit.Rate)
		}
	}
	return zoneQuota
}

// own makes this member's report of what its node says, and spreads it.
func (m *Member) publishReport(now time.Duration, usage balance.QuotaUsage) {
	if usage.Period > m.period {
		if m.spentInPriorPeriod = m.spentInPeriod; usage.Period > m.period+1 {
			m.spentInPriorPeriod = map[quota.Endpoint]int{}
		}
		m.period, m.spentInPeriod = usage.Period, map[quota.Endpoint]int{}
	}
	m.seq++
	own := report{Report: quota.Report{Member: m.name, Incarnation: m.incarnation, Seq: m.seq, ReportedAt: now, Period: m.period, FirstAttempts: usage.FirstAttempts, Retries: usage.Retries},
		Zone: m.Zone, LogIndex: m.decision.LogIndex, Observations: observeZones(usage.Servers)}
	for _, server := range usage.Servers {
		endpoint := quota.Endpoint{ID: server.ID, StartedAt: server.StartedAt.Milliseconds()}
		if usage.Period == m.period && server.Used > 0 {
			m.spentInPeriod[endpoint] = server.Used
		}
		if server.RecentAttempts >= minReportedAttempts || server.WarmingUp {
			endpointUsage := quota.Usage{Endpoint: endpoint, WarmingUp: server.WarmingUp, Demand: server.ColdBudget, Attempts: server.RecentAttempts, FailedAttempts: server.RecentFailures}
			if server.WarmingUp { // tokens are for cold ones alone
				endpointUsage.Spent, endpointUsage.PriorSpent = m.spentInPeriod[endpoint], m.spentInPriorPeriod[endpoint]
			}
			own.Usages = append(own.Usages, endpointUsage)
		}
	}
	for _, zone := range usage.Zones {
		endpoint := quota.ZoneKey(zone.Zone)
		if usage.Period == m.period && zone.Used > 0 {
			m.spentInPeriod[endpoint] = zone.Used
		}
		if endpointUsage := (quota.Usage{Endpoint: endpoint, Spent: m.spentInPeriod[endpoint], PriorSpent: m.spentInPriorPeriod[endpoint]}); endpointUsage.Spent+endpointUsage.PriorSpent > 0 {
			own.Usages = append(own.Usages, endpointUsage)
		}
	}
	m.mergeReport(own)
	m.enqueue(m.name, own.encode())
}

// keep takes a report if it is news, and tells whether it was.
func (m *Member) mergeReport(received report) bool {
	if !received.isValid() || !m.quotaState.Merge(received.Report) {
		return false
	}
	m.reports[received.Member] = received
	return true
}

// Hear takes a report as it came, and spreads it further if it is news. Gossip brings each
// several times: it is read once.
func (m *Member) Receive(raw []byte) {
	hash := maphash.Bytes(m.hashSeed, raw)
	slot := &m.receivedHashes[hash%uint64(len(m.receivedHashes))]
	m.mu.Lock()
	known := *slot == hash
	m.mu.Unlock()
	if known {
		return
	}
	if isUsageMessage(raw) {
		m.mu.Lock()
		defer m.mu.Unlock()
		name, isNew, err := m.mergeUsage(raw)
		if err != nil {
			slog.Warn("fleet: what a member says to have used can't be read", "err", err)
		} else if isNew {
			*slot = hash
			m.enqueue(name, slices.Clone(raw))
		}
		return
	}
	decoded, err := decodeReport(raw)
	if err != nil {
		slog.Warn("fleet: a report that can't be read", "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if decoded.Member != m.name && m.mergeReport(decoded) {
		*slot = hash
		m.enqueue(decoded.Member, slices.Clone(raw))
	}
}
