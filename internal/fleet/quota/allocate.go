package quota

import (
	"slices"
	"time"
)

// maxMedianMultiple limits the demand of one member to a multiple of the median of all members'
// demands. Uneven traffic stays below the limit; a false report does not.
const maxMedianMultiple = 3.0

// maxAllocatedRate is the maximum rate that AllocateRate allocates, per second.
const maxAllocatedRate = 1e6

// TokenGrant is the number of connections that this member may open to one endpoint.
type TokenGrant struct {
	Endpoint
	Tokens int `json:"tokens"`
}

// Allocate returns this member's tokens for the period that contains now, for every endpoint that
// any lease holder reports as warming up. The result is sorted by endpoint.
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

// warmingEndpoints returns the set of endpoints that any lease holder has reported as warming up
// within the LeaseTimeout.
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

// AllocateRate returns this member's tokens for the period that contains now, out of a rate per
// second that all members receive and share. The budget of an epoch is half of rate times Epoch, so
// that a window of one epoch's length, which may overlap two epochs, never exceeds the rate.
func (s *State) AllocateRate(now time.Duration, endpoint Endpoint, rate float64) int {
	if !(rate > 0) {
		return 0
	}
	period, _, _ := s.cfg.Period(now)
	budget := roundBudget(min(rate, maxAllocatedRate)*s.cfg.Epoch.Seconds()/2, endpoint, period/2)
	return s.ownTokens(now, period, budget, endpoint, s.leaseHolders(now))
}

// ownTokens returns this member's share of a budget: of the whole budget in the first period of an
// epoch, and in the second period of the tokens that are known to be unspent.
func (s *State) ownTokens(
	now time.Duration, period int64, budget int, endpoint Endpoint, holders []string,
) int {
	isFirstPeriod := period%2 == 0
	firstPeriod := period / 2 * 2
	tokens := splitTokens(budget, endpoint, firstPeriod, holders)
	remaining := budget
	if !isFirstPeriod {
		_, begin, _ := s.cfg.Period(now)
		for _, name := range holders {
			remaining -= s.members[name].spentInPeriod(firstPeriod, begin, endpoint, tokens[name])
		}
		remaining = max(remaining, 0)
	}
	switch {
	case s.DisabledGuards.RankedAllocation:
		return remaining
	case isFirstPeriod:
		return tokens[s.self]
	}
	return splitTokens(remaining, endpoint, period, holders)[s.self]
}

// spentInPeriod returns the number of tokens that a member spent in a period that ended at end. A
// member that has not reported since end counts as having spent all tokens allocated to it.
func (m *member) spentInPeriod(period int64, end time.Duration, endpoint Endpoint, allocated int) int {
	switch {
	case m.report != nil && m.report.Period == period && m.report.ReportedAt >= end:
		return m.usages[endpoint].Spent
	case m.report != nil && m.report.Period == period+1:
		return m.usages[endpoint].PriorSpent
	}
	return allocated
}

// epochBudget returns the number of connections that all members together may open to an endpoint
// within an epoch: the sum of their demands, each limited to maxMedianMultiple times the median.
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
