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
	own, others, n := 0.0, 0.0, 0
	for name, m := range s.members {
		if s.holdsLease(now, m) {
			n++
		}
		if !s.hasFreshReport(now, m) {
			continue
		}
		if left := s.cfg.RetryRatio*m.report.FirstAttempts - m.report.Retries; name == s.self {
			own = left
		} else {
			others += max(left, 0)
		}
	}
	if n == 0 {
		return 0
	}
	return max(own+others/float64(n), 0)
}
