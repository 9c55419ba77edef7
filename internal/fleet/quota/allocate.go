package quota

import (
	"slices"
	"time"
)

// maxMedianMultiple is how many times the median of all members' demands one counts at most:
// uneven traffic passes, a false report does not.
const maxMedianMultiple = 3.0

// maxAllocatedRate is the greatest rate that is allocated, a second.
const maxAllocatedRate = 1e6

// TokenGrant is how many connections this member may open to one endpoint.
type TokenGrant struct {
	Endpoint
	Tokens int `json:"tokens"`
}

// Allocate returns this member's tokens for the period in which now lies, for every endpoint
// that any lease holder reports as warming up, by id.
func (s *State) Allocate(now time.Duration) (grants []TokenGrant) {
	holders := s.leaseHolders(now)
	period, _, _ := s.cfg.Period(now)
	for endpoint := range s.warmingEndpoints(now, holders) {
		budget := s.epochBudget(now, period/2, endpoint, holders)
		grants = append(grants, TokenGrant{endpoint, s.ownTokens(now, period, budget, endpoint, holders)})
	}
	slices.SortFunc(grants, func(a, b TokenGrant) int { return compareEndpoints(a.Endpoint, b.Endpoint) })
	return grants
}

// warmingEndpoints is the set of endpoints that any lease holder reports as warming up.
func (s *State) warmingEndpoints(now time.Duration, holders []string) map[Endpoint]bool {
	warming := map[Endpoint]bool{}
	for _, name := range holders {
		member := s.members[name]
		for endpoint, usage := range member.usages {
			if usage.WarmingUp && now-member.report.ReportedAt < s.cfg.LeaseTimeout {
				warming[endpoint] = true
			}
		}
	}
	return warming
}

// AllocateRate returns this member's tokens for the period in which now lies, of a rate a second
// that all members know and keep to together. An epoch's budget is half of what the rate makes
// in it, so that two epochs, which a window may touch, make no more than the whole.
func (s *State) AllocateRate(now time.Duration, endpoint Endpoint, rate float64) int {
	if !(rate > 0) {
		return 0
	}
	period, _, _ := s.cfg.Period(now)
	budget := roundBudget(min(rate, maxAllocatedRate)*s.cfg.Epoch.Seconds()/2, endpoint, period/2)
	return s.ownTokens(now, period, budget, endpoint, s.leaseHolders(now))
}

// ownTokens is this member's part of a budget: of all of it in an epoch's first period, and of
// what is known not to have been spent in the second.
func (s *State) ownTokens(now time.Duration, period int64, budget int, endpoint Endpoint, holders []string) int {
	isFirst := period%2 == 0
	firstPeriod := period / 2 * 2
	tokens := splitTokens(budget, endpoint, firstPeriod, holders)
	left := budget
	if !isFirst {
		_, begin, _ := s.cfg.Period(now)
		for _, name := range holders {
			left -= s.members[name].spentInPeriod(firstPeriod, begin, endpoint, tokens[name])
		}
		left = max(left, 0)
	}
	switch {
	case s.DisabledGuards.RankedAllocation:
		return left
	case isFirst:
		return tokens[s.self]
	}
	return splitTokens(left, endpoint, period, holders)[s.self]
}

// spentInPeriod is how many of its tokens a member has spent in a period that ended at a time.
// A member that has not reported since then counts as having spent all that it was allocated.
func (m *member) spentInPeriod(period int64, end time.Duration, endpoint Endpoint, allocated int) int {
	switch {
	case m.report != nil && m.report.Period == period && m.report.ReportedAt >= end:
		return m.usages[endpoint].Spent
	case m.report != nil && m.report.Period == period+1:
		return m.usages[endpoint].PriorSpent
	}
	return allocated
}

// epochBudget is how many connections all members may open to an endpoint within an epoch: the
// sum of their demands, each limited to a multiple of the median.
func (s *State) epochBudget(now time.Duration, epoch int64, endpoint Endpoint, holders []string) int {
	var demands []float64
	for _, name := range holders {
		member := s.members[name]
		if member.report == nil || now-member.report.ReportedAt >= s.cfg.LeaseTimeout {
			continue
		}
		if usage := member.usages[endpoint]; usage.WarmingUp {
			demands = append(demands, usage.Demand)
		}
	}
	if len(demands) == 0 {
		return 0
	}
	slices.Sort(demands)
	maxDemand := maxMedianMultiple * demands[(len(demands)-1)/2]
	sum := 0.0
	for _, demand := range demands {
		sum += min(demand, maxDemand)
	}
	return roundBudget(sum, endpoint, epoch)
}
