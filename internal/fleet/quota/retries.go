package quota

import "time"

// Retries is how many more retries this member may make now: what its own first tries
// allow and it has not used, and its part of what the others have left. Parts are of all
// members that there are, heard of late or not: several who have heard the same one and not
// each other would else take more than he has left.
func (s *State) RetryBudget(now time.Duration) float64 {
	if s.DisabledGuards.RetryBudget {
		return 1e6
	}
	own, others, holders := 0.0, 0.0, 0
	for name, member := range s.members {
		if s.holdsLease(now, member) {
			holders++
		}
		if !s.hasFreshReport(now, member) {
			continue
		}
		if left := s.cfg.RetryRatio*member.report.FirstAttempts - member.report.Retries; name == s.self {
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
