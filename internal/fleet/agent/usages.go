package agent

import (
	"maps"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/gossip"
)

// maxFilledPaths limits the total number of paths that are filled in for incomplete reports. A member
// whose report exceeds it counts as not having reported, hence as having used its whole allocation.
const maxFilledPaths = 200_000

// completeUsages returns members' usages as the input of an allocation. If a report of this half epoch
// has omitted paths to fit its message, each of them counts as used as much as its OmittedMax.
func completeUsages(usages []gossip.Usage, accounts account.State, halfEpoch int64) (all []account.Usage) {
	var paths []string // computed when first needed
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

// fillOmitted returns UsedBefore of the usage with the missing ones of paths set to OmittedMax.
func fillOmitted(usage gossip.Usage, paths []string) map[string]account.Amounts {
	usedBefore := maps.Clone(usage.UsedBefore)
	for _, path := range paths {
		if _, ok := usedBefore[path]; !ok {
			usedBefore[path] = usage.OmittedMax
		}
	}
	return usedBefore
}

// limitedPaths returns the paths with a limit that is reallocated in the second half of an epoch. The
// result is never nil.
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
