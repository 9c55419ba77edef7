// Package route finds the route of a transaction among all that the fleet's record holds,
// says where it may be drawn, and counts what this node uses against its rights. It does
// no I/O, reads no clock and starts no goroutine.
package route

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math/bits"
	"slices"
	"strings"

	"coralrelay/balance"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// Route is where a transaction may go and what it counts against.
type Route struct {
	Path, Account string // path, and the account at its top
	Contract      string
	Bound         *balance.ZoneConstraint // nil for anywhere
	RejectedShare float64                 // of its set-ups, those that its contract has no room for
	Levels        []string                // paths that it counts on: account, teams, the route itself
}

// Query is what a transaction shows. GroupHash counts where Group is not empty.
type Query struct {
	Class, Tenant, Group string
	GroupHash            uint64 // Hash of Group
	Returning, Retry     bool
}

// Hash is a group's place in the ranges of matches: over 2^64, from 0 up to below 1. It is
// the same on all nodes and in all versions.
func Hash(group string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(group) {
		h = (h ^ uint64(group[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

// Table finds routes. It is never changed.
type Table struct {
	Index          uint64
	seed           maphash.Seed
	entries        map[string]routeupdate.Entry // by path
	routes         map[string]*Route
	allocations    map[string]routeupdate.Allocation
	readyEndpoints map[string]int
	specificities  []int // that routes have, the most specific first
	buckets        map[uint64]*bucket
}

// What a match names, by account.Match.Rank: the rank of one that names more, or the
// former of these, is greater, and the greatest that takes a transaction counts.
const (
	byRetry = 1 << iota
	byReturned
	byRange
	byGroup
	byTenant
	byClass
)

// cell holds the routes of one rank that name the same but for their ranges.
type bucket struct {
	specificity int
	key         Query       // what they name, all else empty
	ranges      []hashRange // by from, apart from each other
	next        *bucket     // of the same hash
}

// most bounds a table: as many routes as an account room keeps, and more.
const maxRoutes = 1 << 16

// Compile returns the table of a whole wire.
func Compile(update routeupdate.Update) (*Table, error) {
	if !update.Complete {
		return nil, fmt.Errorf("routes at %d: changes since %d, and there is nothing to change", update.Index, update.BaseIndex)
	}
	return (&Table{seed: maphash.MakeSeed()}).build(update)
}

// With returns the table after a change, which has to be one since this table's index. A
// whole wire takes the place of all.
func (t *Table) Apply(change routeupdate.Update) (*Table, error) {
	switch {
	case change.Complete:
		return Compile(change)
	case change.BaseIndex != t.Index || change.Index < t.Index:
		return nil, fmt.Errorf("routes: changes from %d to %d, the table is at %d", change.BaseIndex, change.Index, t.Index)
	case len(change.Set)+len(change.Removed)+len(change.Allocations) == 0 && change.ReadyEndpoints == nil:
		next := *t
		next.Index = change.Index
		return &next, nil
	}
	return t.build(change)
}

func (t *Table) build(update routeupdate.Update) (*Table, error) {
	next := &Table{Index: update.Index, seed: t.seed, readyEndpoints: t.readyEndpoints, buckets: map[uint64]*bucket{},
		entries: make(map[string]routeupdate.Entry, len(t.entries)+len(update.Set)), allocations: map[string]routeupdate.Allocation{}}
	next.routes = make(map[string]*Route, len(t.entries)+len(update.Set))
	maps.Copy(next.entries, t.entries)
	maps.Copy(next.allocations, t.allocations)
	if update.ReadyEndpoints != nil {
		next.readyEndpoints = update.ReadyEndpoints
	}
	for _, path := range update.Removed {
		delete(next.entries, path)
	}
	changed := map[string]bool{} // routes and contracts that are not as before
	for _, allocation := range update.Allocations {
		changed[allocation.Contract] = true
		if len(allocation.Shares) == 0 {
			delete(next.allocations, allocation.Contract)
		} else {
			next.allocations[allocation.Contract] = allocation
		}
	}
	for _, entry := range update.Set {
		if err := entry.Validate(); err != nil {
			return nil, err
		}
		next.entries[entry.Path()] = entry
		changed[entry.Path()] = true // of a contract that is called so a route is made anew for nothing
	}
	if len(next.entries) > maxRoutes {
		return nil, fmt.Errorf("routes: %d, at most %d are taken", len(next.entries), maxRoutes)
	}
	claims := map[*bucket][]hashRange{}
	for _, path := range slices.Sorted(maps.Keys(next.entries)) {
		entry := next.entries[path]
		compiled := t.routes[path]
		if compiled == nil || changed[path] || changed[entry.Contract] || update.ReadyEndpoints != nil {
			compiled = next.compileRoute(&entry)
		}
		next.routes[path] = compiled
		b, candidate := next.bucketFor(&entry), hashRange{route: compiled}
		candidate.from, candidate.to = hashEdge(entry.Match.HashFrom), hashEdge(entry.Match.HashTo)
		if b.specificity&byRange == 0 || entry.Match.HashTo == 1 {
			candidate.to = ^uint64(0) // with the last place of all
		}
		claims[b] = append(claims[b], candidate)
	}
	for b, ranges := range claims {
		b.ranges = splitOverlaps(ranges)
		if !slices.Contains(next.specificities, b.specificity) {
			next.specificities = append(next.specificities, b.specificity)
		}
	}
	slices.Sort(next.specificities)
	slices.Reverse(next.specificities)
	return next, nil
}

// edge returns the place that a share of all places begins or ends at.
func hashEdge(share float64) uint64 { return uint64(share*(1<<53)) << 11 }

// cell returns the cell of a route's match, made if there is none.
func (t *Table) bucketFor(entry *routeupdate.Entry) *bucket {
	match := &entry.Match
	query := Query{Class: match.Class, Tenant: match.Tenant, Group: match.Group}
	query.Returning = match.Returning != nil && *match.Returning
	query.Retry = match.Retry != nil && *match.Retry
	specificity := match.Specificity()
	hash := t.hashQuery(&query).combine(specificity, &query)
	for b := t.buckets[hash]; b != nil; b = b.next {
		if b.specificity == specificity && b.matches(&query) {
			return b
		}
	}
	t.buckets[hash] = &bucket{specificity: specificity, key: query, next: t.buckets[hash]}
	return t.buckets[hash]
}

func (t *Table) compileRoute(entry *routeupdate.Entry) *Route {
	compiled := &Route{Path: entry.Path(), Contract: entry.Contract}
	var allocation *routeupdate.Allocation
	if found, ok := t.allocations[entry.Contract]; ok && entry.Contract != "" {
		allocation, compiled.RejectedShare = &found, found.RejectedShare
	}
	compiled.Bound = resolveBound(entry, allocation, t.readyEndpoints)
	for i, letter := range entry.Owner {
		if letter == '/' {
			compiled.Levels = append(compiled.Levels, entry.Owner[:i])
		}
	}
	compiled.Levels = append(compiled.Levels, entry.Owner, compiled.Path)
	compiled.Account, _, _ = strings.Cut(entry.Owner, "/")
	return compiled
}

// hashes are those of what a transaction shows.
type queryHashes struct{ class, tenant, group uint64 }

func (t *Table) hashQuery(query *Query) queryHashes {
	return queryHashes{maphash.String(t.seed, query.Class), maphash.String(t.seed, query.Tenant), maphash.String(t.seed, query.Group)}
}

// of puts together those that a rank names.
func (h queryHashes) combine(specificity int, query *Query) uint64 {
	x := uint64(specificity)
	if specificity&byClass != 0 {
		x = bits.RotateLeft64(x*0x9e3779b97f4a7c15, 29) ^ h.class
	}
	if specificity&byTenant != 0 {
		x = bits.RotateLeft64(x*0x9e3779b97f4a7c15, 29) ^ h.tenant
	}
	if specificity&byGroup != 0 {
		x = bits.RotateLeft64(x*0x9e3779b97f4a7c15, 29) ^ h.group
	}
	if specificity&byReturned != 0 && query.Returning {
		x += 0xff51afd7ed558ccd
	}
	if specificity&byRetry != 0 && query.Retry {
		x += 0xc4ceb9fe1a85ec53
	}
	return x
}

// names tells whether a transaction shows what the cell's routes name.
func (b *bucket) matches(query *Query) bool {
	return (b.specificity&byClass == 0 || b.key.Class == query.Class) && (b.specificity&byTenant == 0 || b.key.Tenant == query.Tenant) &&
		(b.specificity&byGroup == 0 || b.key.Group == query.Group) && (b.specificity&byReturned == 0 || b.key.Returning == query.Returning) &&
		(b.specificity&byRetry == 0 || b.key.Retry == query.Retry)
}

// Find returns the route of a transaction, nil if none takes it. Among those that do, the
// one that names the most specific counts, in this order: class, tenant, one group, a range
// of groups, returned, retry; of two that name the same, which a checked record has not, the
// one with the lower path.
func (t *Table) Find(query Query) *Route {
	if t == nil || len(t.specificities) == 0 {
		return nil
	}
	hashes := t.hashQuery(&query)
	for _, specificity := range t.specificities {
		if specificity&(byGroup|byRange) != 0 && query.Group == "" {
			continue
		}
		for b := t.buckets[hashes.combine(specificity, &query)]; b != nil; b = b.next {
			if b.specificity == specificity && b.matches(&query) {
				if route := b.lookup(query.GroupHash); route != nil {
					return route
				}
			}
		}
	}
	return nil
}
