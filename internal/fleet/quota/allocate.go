package quota

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// clamp is how many times the median of all members' parts one counts at most: the
// uneven spread of traffic passes, a false word does not.
const maxMedianMultiple = 3.0

// Token is how many connections this member may send one next hop.
type TokenGrant struct {
	Endpoint
	Tokens int `json:"tokens"`
}

// Deal returns this member's tokens for the half epoch in which now lies, for every next
// hop that any member holds for cold, by id.
func (s *State) Allocate(now time.Duration) (grants []TokenGrant) {
	leaseHolders := s.leaseHolders(now)
	warming := map[Endpoint]bool{}
	for _, name := range leaseHolders {
		member := s.members[name]
		for endpoint, usage := range member.usages {
			if usage.WarmingUp && now-member.report.ReportedAt < s.cfg.LeaseTimeout {
				warming[endpoint] = true
			}
		}
	}
	period, _, _ := s.cfg.Period(now)
	for endpoint := range warming {
		budget := s.epochBudget(now, period/2, endpoint, leaseHolders)
		grants = append(grants, TokenGrant{endpoint, s.ownTokens(now, period, budget, endpoint, leaseHolders)})
	}
	slices.SortFunc(grants, func(a, b TokenGrant) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	return grants
}

// Zone is the name under which the set-ups into a zone are dealt. No next hop has it: none
// started before 1970.
func ZoneKey(name string) Endpoint { return Endpoint{ID: name, StartedAt: -1} }

// Rate returns this member's tokens for the half epoch in which now lies, of a rate a second
// that all members know and keep to together. Half of it is dealt in an epoch, so that two
// epochs, which a window may touch, make no more than the whole.
func (s *State) AllocateRate(now time.Duration, endpoint Endpoint, rate float64) int {
	if !(rate > 0) {
		return 0
	}
	period, _, _ := s.cfg.Period(now)
	budget := roundBudget(min(rate, 1e6)*s.cfg.Epoch.Seconds()/2, endpoint, period/2)
	return s.ownTokens(now, period, budget, endpoint, s.leaseHolders(now))
}

// tokens deals a budget: whole in an epoch's first half, and what is known not to
// have been spent in the second. Who has not reported since the first half's end counts as
// having spent all that he had.
func (s *State) ownTokens(now time.Duration, period int64, budget int, endpoint Endpoint, leaseHolders []string) int {
	firstHalf := splitTokens(budget, endpoint, period/2*2, leaseHolders)
	if period%2 == 0 {
		if s.DisabledGuards.RankedAllocation {
			return budget
		}
		return firstHalf[s.self]
	}
	left := budget
	_, periodStart, _ := s.cfg.Period(now)
	for _, name := range leaseHolders {
		member := s.members[name]
		spent := firstHalf[name]
		if report := member.report; report != nil && report.Period == period-1 && report.ReportedAt >= periodStart {
			spent = member.usages[endpoint].Spent
		} else if report != nil && report.Period == period {
			spent = member.usages[endpoint].PriorSpent
		}
		left -= spent
	}
	if s.DisabledGuards.RankedAllocation {
		return max(left, 0)
	}
	return splitTokens(max(left, 0), endpoint, period, leaseHolders)[s.self]
}

// budget is what all may send a server within an epoch: the sum of their parts, none over
// clamp times the median.
func (s *State) epochBudget(now time.Duration, epoch int64, endpoint Endpoint, leaseHolders []string) int {
	var demands []float64
	for _, name := range leaseHolders {
		if member := s.members[name]; member.report != nil && now-member.report.ReportedAt < s.cfg.LeaseTimeout {
			if usage := member.usages[endpoint]; usage.WarmingUp {
				demands = append(demands, usage.Demand)
			}
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

// rounded is a budget in whole tokens: a fraction becomes one more in as many epochs.
func roundBudget(budget float64, endpoint Endpoint, epoch int64) int {
	whole, fraction := math.Modf(budget)
	if float64(hash(endpoint.ID, uint64(endpoint.StartedAt), uint64(epoch))%1e6)/1e6 < fraction {
		whole++
	}
	return int(min(whole, 1e6))
}

// dealt gives each holder an equal share of the tokens, and one more of the rest to those
// who come first by their hash with the server and the half. More tokens never mean fewer
// for anyone, so that members who reckon with different numbers together spend no more
// than the greatest of them.
func splitTokens(tokens int, endpoint Endpoint, period int64, leaseHolders []string) map[string]int {
	ranked := slices.Clone(leaseHolders)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a+"\x00"+endpoint.ID, uint64(endpoint.StartedAt), uint64(period)),
			hash(b+"\x00"+endpoint.ID, uint64(endpoint.StartedAt), uint64(period))), cmp.Compare(a, b))
	})
	tokensByMember := make(map[string]int, len(ranked))
	for rank, name := range ranked {
		tokensByMember[name] = tokens / len(ranked)
		if rank < tokens%len(ranked) {
			tokensByMember[name]++
		}
	}
	return tokensByMember
}

func hash(key string, a, b uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(key))
	for _, x := range [2]uint64{a, b} {
		for range 8 {
			h.Write([]byte{byte(x)})
			x >>= 8
		}
	}
	x := h.Sum64() // FNV's high bits hardly move with the last bytes
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}
