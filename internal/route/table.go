package route

import (
	"fmt"
	"hash/maphash"
	"maps"
	"slices"

	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// maxRoutes bounds a table: as many routes as a tree of accounts holds, and more.
const maxRoutes = 1 << 16

// Table finds routes. It is immutable.
type Table struct {
	Index          uint64 // of the update that it is the result of
	seed           maphash.Seed
	entries        map[string]routeupdate.Entry // by path
	routes         map[string]*Route            // by path
	allocations    map[string]routeupdate.Allocation
	readyEndpoints map[string]int
	specificities  []int // that routes have, the most specific first
	buckets        map[uint64]*bucket
}

// Compile returns the table of a complete update.
func Compile(update routeupdate.Update) (*Table, error) {
	if !update.Complete {
		return nil, fmt.Errorf("routes at %d: changes since %d, and there is nothing to change",
			update.Index, update.BaseIndex)
	}
	return (&Table{seed: maphash.MakeSeed()}).build(update)
}

// Apply returns the table after an update, which has to be based on this table's index. A
// complete update replaces the table.
func (t *Table) Apply(update routeupdate.Update) (*Table, error) {
	switch {
	case update.Complete:
		return Compile(update)
	case update.BaseIndex != t.Index || update.Index < t.Index:
		return nil, fmt.Errorf("routes: changes from %d to %d, the table is at %d", update.BaseIndex, update.Index, t.Index)
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

// merge puts an update's entries and allocations into the table. It returns the paths and
// contracts that are not as before; a route with the path of a changed contract is compiled anew
// for nothing.
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
		return nil, fmt.Errorf("routes: %d, at most %d are taken", len(t.entries), maxRoutes)
	}
	return changed, nil
}

// compile makes the routes of all entries, and the index that finds them. A previous route whose
// path and contract are not stale is used again.
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

// Find returns the route of a session, nil if none matches. Of those that match the most specific
// counts, by what their matches name, in this order: class, tenant, one group, a range of groups,
// returning, retry. Of two that name the same, which a validated log does not hold, it is the one
// with the lower path.
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
