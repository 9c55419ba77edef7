package agent

import (
	"maps"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/gossip"
)

// maxFilledPaths bounds the paths that are filled in for reports that were cut. A member
// whose report is beyond it counts as missing, and as having used all that it had.
const maxFilledPaths = 200_000

// completeUsages returns members' usages as an allocation takes them. A path that a report of
// this half epoch has omitted to be shorter counts as used as much as the largest that it
// omitted.
func completeUsages(usages []gossip.Usage, accounts account.State, halfEpoch int64) (all []account.Usage) {
	var paths []string // computed once it is needed
	filled := 0
	for _, usage := range usages {
		if usage.HalfEpoch == halfEpoch && usage.OmittedMax != (account.Amounts{}) {
			if paths == nil {
				paths = limitedPaths(accounts)
			}
			if filled += len(paths); filled > maxFilledPaths {
				continue
			}
			usage.UsedBefore = fillOmitted(usage, paths)
		}
		all = append(all, usage.Usage)
	}
	return all
}

// fillOmitted returns what was used before, with the paths that the report has omitted.
func fillOmitted(usage gossip.Usage, paths []string) map[string]account.Amounts {
	usedBefore := maps.Clone(usage.UsedBefore)
	for _, path := range paths {
		if _, ok := usedBefore[path]; !ok {
			usedBefore[path] = usage.OmittedMax
		}
	}
	return usedBefore
}

// limitedPaths returns the paths with a limit that is allocated again in an epoch's second
// half. It is never nil.
func limitedPaths(accounts account.State) []string {
	paths := []string{}
	for path, node := range accounts.Nodes {
		if isReallocated(node.Limits) {
			paths = append(paths, path)
		}
	}
	for path, route := range accounts.Routes {
		if isReallocated(route.Limits) {
			paths = append(paths, path)
		}
	}
	return paths
}

func isReallocated(limits account.Limits) bool {
	return limits.SetupRate >= 0 || limits.RetryRate >= 0 || limits.ProbeRate >= 0
}
