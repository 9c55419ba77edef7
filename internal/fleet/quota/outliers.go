package quota

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minReporters is the minimum number of members that must report an endpoint as failing.
	minReporters = 2
	// minFailedAttempts is the counter of failed attempts from which a member counts as reporting a
	// failure. It is below 1 because the counter of a single failure decays before it is evaluated.
	minFailedAttempts = 0.5
)

// Outliers returns the endpoints that enough members have recently reported as failing: at least half
// of the members that attempted the endpoint, and at least minReporters, so that the report of a
// single member, true or false, is never sufficient. At most MaxOutlierFraction of all endpoints are
// outliers; those reported by the most members come first.
func (s *State) Outliers(now time.Duration) []Endpoint {
	reporters, failureReporters := s.countReporters(now)
	quorum := minReporters
	if s.DisabledGuards.Quorum {
		quorum = 1
	}
	var outliers []Endpoint
	for endpoint, count := range failureReporters {
		if count >= quorum && (2*count >= reporters[endpoint] || s.DisabledGuards.Quorum) {
			outliers = append(outliers, endpoint)
		}
	}
	slices.SortFunc(outliers, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(failureReporters[b], failureReporters[a]), compareEndpoints(a, b))
	})
	if s.DisabledGuards.Quorum {
		return outliers
	}
	return outliers[:min(len(outliers), int(s.cfg.MaxOutlierFraction*float64(len(reporters))))]
}

// countReporters counts, for each endpoint, the members that recently attempted it and the members
// for which at least half of the attempts failed.
func (s *State) countReporters(now time.Duration) (reporters, failureReporters map[Endpoint]int) {
	reporters, failureReporters = map[Endpoint]int{}, map[Endpoint]int{}
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
				failureReporters[endpoint]++
			}
		}
	}
	return reporters, failureReporters
}
