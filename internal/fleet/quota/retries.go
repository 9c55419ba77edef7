package quota

import "time"

// unlimitedRetries is the retry budget if Guards.RetryBudget is set.
const unlimitedRetries = 1e6

// RetryBudget returns how many more retries this member may make now: the unused part of its own
// budget, and an equal share of the unused budgets of the others. The share is computed over all lease
// holders, whether or not their reports are fresh. Otherwise several members that received the report
// of one member but not those of one another would together take more than that member has left.
func (s *State) RetryBudget(now time.Duration) float64 {
	if s.DisabledGuards.RetryBudget {
		return unlimitedRetries
	}
	own, others, holders := 0.0, 0.0, 0
	for name, member := range s.members {
		if s.holdsLease(now, member) {
			holders++
		}
		if !s.hasFreshReport(now, member) {
			continue
		}
		remaining := s.cfg.RetryRatio*member.report.FirstAttempts - member.report.Retries
		if name == s.self {
			own = remaining
		} else {
			others += max(remaining, 0)
		}
	}
	if holders == 0 {
		return 0
	}
	return max(own+others/float64(holders), 0)
}
