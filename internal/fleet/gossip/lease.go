package gossip

import (
	"time"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// leaseDuration is how long a lease stays in force at the node after the agent's last response.
const leaseDuration = time.Second

// unlimitedTokens in a zone's quota means that the zone has no limit.
const unlimitedTokens = -1

// ReportQuotaUsage reports the node's usage to the other members and returns the node's next lease.
func (m *Member) ReportQuotaUsage(usage balance.QuotaUsage) balance.QuotaLease {
	now := m.clock()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.publishReport(now, usage)
	m.removeExpired(now)
	period, _, end := m.cfg.Period(now)
	lease := balance.QuotaLease{
		Period:         period,
		TokensExpireAt: end,
		LeaseDuration:  leaseDuration,
		RetryBudget:    m.quotaState.RetryBudget(now),
		ShedFraction:   m.decision.ShedFraction,
	}
	// A restarted node gets no tokens in this period: the process before it was allocated them already.
	restarted := m.period == period && usage.Period < period
	for _, limit := range m.decision.ZoneLimits {
		lease.Zones = append(lease.Zones, m.zoneQuota(now, limit, restarted))
	}
	if restarted {
		return lease
	}
	for _, allocation := range m.quotaState.Allocate(now) {
		lease.Servers = append(lease.Servers, balance.ServerQuota{
			ID:        allocation.ID,
			StartedAt: time.Duration(allocation.StartedAt) * time.Millisecond,
			Tokens:    allocation.Tokens,
		})
	}
	for _, outlier := range m.quotaState.Outliers(now) {
		lease.EjectedServers = append(lease.EjectedServers, outlier.ID)
	}
	return lease
}

// zoneQuota returns the node's quota for a zone. A restarted node gets no tokens of a rate limit.
func (m *Member) zoneQuota(now time.Duration, limit zonestatus.TrafficLimit, restarted bool) balance.ZoneQuota {
	zone := balance.ZoneQuota{Zone: limit.Zone, Share: limit.Share, Tokens: unlimitedTokens}
	switch {
	case limit.Rate > 0 && restarted:
		zone.Tokens = 0
	case limit.Rate > 0:
		zone.Tokens = m.quotaState.AllocateRate(now, quota.ZoneKey(limit.Zone), limit.Rate)
	}
	return zone
}

// publishReport builds this member's next report, merges it locally and queues it for broadcast.
func (m *Member) publishReport(now time.Duration, usage balance.QuotaUsage) {
	m.startPeriod(usage.Period)
	m.seq++
	own := report{
		Report: quota.Report{
			Member:        m.name,
			Incarnation:   m.incarnation,
			Seq:           m.seq,
			ReportedAt:    now,
			Period:        m.period,
			FirstAttempts: usage.FirstAttempts,
			Retries:       usage.Retries,
		},
		Zone:         m.Zone,
		LogIndex:     m.decision.LogIndex,
		Observations: observeZones(usage.Servers),
	}
	current := usage.Period == m.period
	for _, server := range usage.Servers {
		endpoint := quota.Endpoint{ID: server.ID, StartedAt: server.StartedAt.Milliseconds()}
		if current && server.Used > 0 {
			m.spentInPeriod[endpoint] = server.Used
		}
		if server.RecentAttempts >= minReportedAttempts || server.WarmingUp {
			own.Usages = append(own.Usages, m.endpointUsage(endpoint, server))
		}
	}
	for _, zone := range usage.Zones {
		key := quota.ZoneKey(zone.Zone)
		if current && zone.Used > 0 {
			m.spentInPeriod[key] = zone.Used
		}
		spent, prior := m.spentInPeriod[key], m.spentInPriorPeriod[key]
		if spent+prior > 0 {
			own.Usages = append(own.Usages, quota.Usage{Endpoint: key, Spent: spent, PriorSpent: prior})
		}
	}
	m.mergeReport(own)
	m.enqueue(m.name, own.encode())
}

// startPeriod starts a new period if period is later than the current one. The tokens spent so far
// become those of the prior period, or are dropped if there was another period in between.
func (m *Member) startPeriod(period int64) {
	if period <= m.period {
		return
	}
	m.spentInPriorPeriod = m.spentInPeriod
	if period > m.period+1 {
		m.spentInPriorPeriod = map[quota.Endpoint]int{}
	}
	m.period = period
	m.spentInPeriod = map[quota.Endpoint]int{}
}

// endpointUsage returns the node's usage of a server. It includes spent tokens only while the server
// is warming up, because only such servers are limited by tokens.
func (m *Member) endpointUsage(endpoint quota.Endpoint, server balance.ServerUsage) quota.Usage {
	usage := quota.Usage{
		Endpoint:       endpoint,
		WarmingUp:      server.WarmingUp,
		Demand:         server.SlowStartBudget,
		Attempts:       server.RecentAttempts,
		FailedAttempts: server.RecentFailures,
	}
	if server.WarmingUp {
		usage.Spent = m.spentInPeriod[endpoint]
		usage.PriorSpent = m.spentInPriorPeriod[endpoint]
	}
	return usage
}
