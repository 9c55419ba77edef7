package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// leastAccusers is how many members must have seen a next hop fail.
	minReporters = 2
	// seen is what one failure counts for a moment after it, as all that is of late fades.
	minFailedAttempts = 0.5
)

// Shunned are the next hops that enough members have seen fail of late: half of those who
// have asked them, and two at least. One member's word, true or not, is never enough; and
// however many accuse, only a share of all next hops is shunned, the most accused first.
func (s *State) Outliers(now time.Duration) []Endpoint {
	asked, accused := map[Endpoint]int{}, map[Endpoint]int{}
	for _, m := range s.members {
		if !s.hasFreshReport(now, m) {
			continue
		}
		for server, u := range m.usages {
			if u.Attempts > 0 {
				asked[server]++
				if u.FailedAttempts >= minFailedAttempts && 2*u.FailedAttempts >= u.Attempts {
					accused[server]++
				}
			}
		}
	}
	least := minReporters
	if s.DisabledGuards.Quorum {
		least = 1
	}
	var bad []Endpoint
	for server, n := range accused {
		if n >= least && (2*n >= asked[server] || s.DisabledGuards.Quorum) {
			bad = append(bad, server)
		}
	}
	slices.SortFunc(bad, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(accused[b], accused[a]), cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	if s.DisabledGuards.Quorum {
		return bad
	}
	return bad[:min(len(bad), int(s.cfg.MaxOutlierFraction*float64(len(asked))))]
}
