package route

import (
	"strings"

	"coralrelay/balance"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// Route is where a session may go and what it counts against.
type Route struct {
	Path, Account string // its path, and the account at the top of it
	Contract      string
	Constraint    *balance.ZoneConstraint // nil for anywhere
	RejectedShare float64                 // of its set-ups, those that its contract has no capacity for
	Levels        []string                // paths that it counts on: account, teams, the route itself
}

// Query is what is known of a session. GroupHash counts where Group is not empty.
type Query struct {
	Class, Tenant, Group string
	GroupHash            uint64 // Hash of Group
	Returning, Retry     bool
}

// Hash is a group's place in the ranges of matches: over 2^64, from 0 up to below 1. It is the same
// on all nodes and in all versions: FNV-1a and a part of MurmurHash3's finalizer.
func Hash(group string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(group) {
		h = (h ^ uint64(group[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

// compileRoute returns the route of an entry under the table's allocations.
func (t *Table) compileRoute(entry *routeupdate.Entry) *Route {
	compiled := &Route{Path: entry.Path(), Contract: entry.Contract}
	var allocation *routeupdate.Allocation
	if found, ok := t.allocations[entry.Contract]; ok && entry.Contract != "" {
		allocation, compiled.RejectedShare = &found, found.RejectedShare
	}
	compiled.Constraint = resolveBound(entry, allocation, t.readyEndpoints)
	for i, letter := range entry.Owner {
		if letter == '/' {
			compiled.Levels = append(compiled.Levels, entry.Owner[:i])
		}
	}
	compiled.Levels = append(compiled.Levels, entry.Owner, compiled.Path)
	compiled.Account, _, _ = strings.Cut(entry.Owner, "/")
	return compiled
}
