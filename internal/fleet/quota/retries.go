package quota

import "time"

// unlimitedRetries is the budget while its guard is disabled.
const unlimitedRetries = 1e6

// RetryBudget is how many more retries this member may make now: what its own first attempts
// allow and it has not used, and its part of what the others have left. Parts are of all lease
// holders, with a fresh report or not: several that received the same member's report and not
// one another's would else take more than that member has left.
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
		left := s.cfg.RetryRatio*member.report.FirstAttempts - member.report.Retries
		if name == s.self {
			own = left
		} else {
			others += max(left, 0)
		}
	}
	if holders == 0 {
		return 0
	}
	return max(own+others/float64(holders), 0)
}
