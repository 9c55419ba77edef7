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
	reporters, accusers := map[Endpoint]int{}, map[Endpoint]int{}
	for _, current := range s.members {
		if !s.hasFreshReport(now, current) {
			continue
		}
		for endpoint, usage := range current.usages {
			if usage.Attempts > 0 {
				reporters[endpoint]++
				if usage.FailedAttempts >= minFailedAttempts && 2*usage.FailedAttempts >= usage.Attempts {
					accusers[endpoint]++
				}
			}
		}
	}
	quorum := minReporters
	if s.DisabledGuards.Quorum {
		quorum = 1
	}
	var outliers []Endpoint
	for endpoint, count := range accusers {
		if count >= quorum && (2*count >= reporters[endpoint] || s.DisabledGuards.Quorum) {
			outliers = append(outliers, endpoint)
		}
	}
	slices.SortFunc(outliers, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(accusers[b], accusers[a]), cmp.Compare(a.ID, b.ID), cmp.Compare(a.StartedAt, b.StartedAt))
	})
	if s.DisabledGuards.Quorum {
		return outliers
	}
	return outliers[:min(len(outliers), int(s.cfg.MaxOutlierFraction*float64(len(reporters))))]
}
