package route

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"

	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// maxRoutes is the maximum number of routes in a table. It exceeds the number of routes that a tree of
// accounts can hold.
const maxRoutes = 1 << 16

// Table finds the routes of sessions. It is immutable.
type Table struct {
	Index          uint64 // of the latest update that was applied
	seed           maphash.Seed
	entries        map[string]routeupdate.Entry // by path
	routes         map[string]*Route            // by path
	allocations    map[string]routeupdate.Allocation
	readyEndpoints map[string]int
	specificities  []int // specificities of the routes, in descending order
	buckets        map[uint64]*bucket
}

// Compile returns the table of a complete update.
func Compile(update routeupdate.Update) (*Table, error) {
	if !update.Complete {
		return nil, fmt.Errorf("routes at %d: changes since %d cannot be applied without a table",
			update.Index, update.BaseIndex)
	}
	return (&Table{seed: maphash.MakeSeed()}).build(update)
}

// Apply returns the table after an update. An update that is not complete must be based on this table's
// index; a complete update replaces the table.
func (t *Table) Apply(update routeupdate.Update) (*Table, error) {
	switch {
	case update.Complete:
		return Compile(update)
	case update.BaseIndex != t.Index || update.Index < t.Index:
		return nil, fmt.Errorf("routes: changes from %d to %d, but the table is at %d", update.BaseIndex, update.Index, t.Index)
	case len(update.Set)+len(update.Removed)+len(update.Allocations) == 0 && update.ReadyEndpoints == nil:
		next := *t
		next.Index = update.Index
		return &next, nil
	}
	return t.build(update)
}

func (t *Table) build(update routeupdate.Update) (*Table, error) {
	next := &Table{
		Index:          update.Index,
		seed:           t.seed,
		entries:        make(map[string]routeupdate.Entry, len(t.entries)+len(update.Set)),
		routes:         make(map[string]*Route, len(t.entries)+len(update.Set)),
		allocations:    map[string]routeupdate.Allocation{},
		readyEndpoints: t.readyEndpoints,
		buckets:        map[uint64]*bucket{},
	}
	maps.Copy(next.entries, t.entries)
	maps.Copy(next.allocations, t.allocations)
	if update.ReadyEndpoints != nil {
		next.readyEndpoints = update.ReadyEndpoints
	}
	changed, err := next.merge(update)
	if err != nil {
		return nil, err
	}
	next.compile(t.routes, func(path, contract string) bool {
		return changed[path] || changed[contract] || update.ReadyEndpoints != nil
	})
	return next, nil
}

// merge applies an update's entries and allocations to the table. It returns the paths and contracts that
// have changed in one set: a route whose path equals the name of a changed contract is recompiled
// needlessly, which is harmless.
func (t *Table) merge(update routeupdate.Update) (changed map[string]bool, err error) {
	changed = map[string]bool{}
	for _, path := range update.Removed {
		delete(t.entries, path)
	}
	for _, allocation := range update.Allocations {
		changed[allocation.Contract] = true
		if len(allocation.Shares) == 0 {
			delete(t.allocations, allocation.Contract)
		} else {
			t.allocations[allocation.Contract] = allocation
		}
	}
	for _, entry := range update.Set {
		if err := entry.Validate(); err != nil {
			return nil, err
		}
		t.entries[entry.Path()] = entry
		changed[entry.Path()] = true
	}
	if len(t.entries) > maxRoutes {
		return nil, fmt.Errorf("routes: %d exceed the maximum of %d", len(t.entries), maxRoutes)
	}
	return changed, nil
}

// compile compiles the routes of all entries and the index for Find. A previous route is reused if neither
// its path nor its contract is stale.
func (t *Table) compile(previous map[string]*Route, isStale func(path, contract string) bool) {
	claims := map[*bucket][]hashRange{}
	for _, path := range slices.Sorted(maps.Keys(t.entries)) {
		entry := t.entries[path]
		compiled := previous[path]
		if compiled == nil || isStale(path, entry.Contract) {
			compiled = t.compileRoute(&entry)
		}
		t.routes[path] = compiled
		b := t.bucketFor(&entry)
		claims[b] = append(claims[b], b.rangeOf(&entry, compiled))
	}
	for b, ranges := range claims {
		b.ranges = splitOverlaps(ranges)
		if !slices.Contains(t.specificities, b.specificity) {
			t.specificities = append(t.specificities, b.specificity)
		}
	}
	slices.Sort(t.specificities)
	slices.Reverse(t.specificities)
}

// Find returns the route of a session, or nil if none matches. Of several matching routes it returns the
// most specific one. Of two, that is the one whose match sets the first field in which they differ, in the
// order class, tenant, one group, a range of groups, returning, retry. If two matches set the same
// fields, which a validated log does not contain, Find returns the route with the lower path.
func (t *Table) Find(query Query) *Route {
	if t == nil || len(t.specificities) == 0 {
		return nil
	}
	hashes := t.hashQuery(&query)
	for _, specificity := range t.specificities {
		if specificity&(fieldGroup|fieldRange) != 0 && query.Group == "" {
			continue
		}
		for b := t.buckets[hashes.combine(specificity, &query)]; b != nil; b = b.next {
			if b.specificity != specificity || !b.matches(&query) {
				continue
			}
			if route := b.lookup(query.GroupHash); route != nil {
				return route
			}
		}
	}
	return nil
}
