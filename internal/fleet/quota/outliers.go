package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minReporters is how many members must report an endpoint as failing.
	minReporters = 2
	// minFailedAttempts is what a counter of one failure has decayed to a moment later.
	minFailedAttempts = 0.5
)

// Outliers returns the endpoints that enough members have recently seen fail: half of those that
// attempted them, and two at least, so that one member's report, true or not, is never enough.
// However many are reported, no more than MaxOutlierFraction of all endpoints are outliers, those
// with most reporters first.
func (s *State) Outliers(now time.Duration) []Endpoint {
	reporters, accusers := s.countReporters(now)
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
		return cmp.Or(cmp.Compare(accusers[b], accusers[a]), compareEndpoints(a, b))
	})
	if s.DisabledGuards.Quorum {
		return outliers
	}
	return outliers[:min(len(outliers), int(s.cfg.MaxOutlierFraction*float64(len(reporters))))]
}

// countReporters counts, by endpoint, the members that attempted it recently and those to which
// it failed.
func (s *State) countReporters(now time.Duration) (reporters, accusers map[Endpoint]int) {
	reporters, accusers = map[Endpoint]int{}, map[Endpoint]int{}
	for _, current := range s.members {
		if !s.hasFreshReport(now, current) {
			continue
		}
		for endpoint, usage := range current.usages {
			if usage.Attempts <= 0 {
				continue
			}
			reporters[endpoint]++
			if usage.FailedAttempts >= minFailedAttempts && 2*usage.FailedAttempts >= usage.Attempts {
				accusers[endpoint]++
			}
		}
	}
	return reporters, accusers
}
