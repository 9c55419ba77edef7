package route

import (
	"strings"

	"coralrelay/balance"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// Route states in which zones a session may be placed, and against which limits it counts.
type Route struct {
	Path, Account string                  // path of the route, and the account at the top of that path
	Contract      string                  // name of the contract; empty for none
	Constraint    *balance.ZoneConstraint // nil for all zones
	RejectedShare float64                 // share of the set-ups for which the contract has no capacity
	Levels        []string                // paths on which a session counts: account, teams, the route itself
}

// Query describes a session whose route is to be found. GroupHash is used only if Group is not empty.
type Query struct {
	Class, Tenant, Group string
	GroupHash            uint64 // Hash of Group
	Returning, Retry     bool
}

// Hash returns the hash of a group. The ranges of matches refer to it as a fraction of 2^64, from 0 up to
// below 1. It must be the same on all nodes and in all versions: FNV-1a followed by a part of MurmurHash3's
// finalizer.
func Hash(group string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(group) {
		h = (h ^ uint64(group[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

// compileRoute returns the route of an entry, according to the table's allocations.
func (t *Table) compileRoute(entry *routeupdate.Entry) *Route {
	compiled := &Route{Path: entry.Path(), Contract: entry.Contract}
	var allocation *routeupdate.Allocation
	if found, ok := t.allocations[entry.Contract]; ok && entry.Contract != "" {
		allocation, compiled.RejectedShare = &found, found.RejectedShare
	}
	compiled.Constraint = resolveConstraint(entry, allocation, t.readyEndpoints)
	for i, letter := range entry.Owner {
		if letter == '/' {
			compiled.Levels = append(compiled.Levels, entry.Owner[:i])
		}
	}
	compiled.Levels = append(compiled.Levels, entry.Owner, compiled.Path)
	compiled.Account, _, _ = strings.Cut(entry.Owner, "/")
	return compiled
}
