package route

import (
	"fmt"
	"hash/maphash"
	"maps"
	"math/bits"
	"slices"
	"strings"

	"coralrelay/balance"
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
	Index   uint64
	seed    maphash.Seed
	entries map[string]Entry // by path
	routes  map[string]*Route
	steered map[string]Allocation
	ready   map[string]int
	ranks   []int // that routes have, the most specific first
	cells   map[uint64]*cell
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
type cell struct {
	rank  int
	key   Query  // what they name, all else empty
	spans []span // by from, apart from each other
	next  *cell  // of the same hash
}

// Compile returns the table of a whole wire.
func Compile(w Update) (*Table, error) {
	if !w.Complete {
		return nil, fmt.Errorf("routes at %d: changes since %d, and there is nothing to change", w.Index, w.BaseIndex)
	}
	return (&Table{seed: maphash.MakeSeed()}).build(w)
}

// With returns the table after a change, which has to be one since this table's index. A
// whole wire takes the place of all.
func (t *Table) Apply(change Update) (*Table, error) {
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

func (t *Table) build(w Update) (*Table, error) {
	next := &Table{Index: w.Index, seed: t.seed, ready: t.ready, cells: map[uint64]*cell{},
		entries: make(map[string]Entry, len(t.entries)+len(w.Set)), steered: map[string]Allocation{}}
	next.routes = make(map[string]*Route, len(t.entries)+len(w.Set))
	maps.Copy(next.entries, t.entries)
	maps.Copy(next.steered, t.steered)
	if w.ReadyEndpoints != nil {
		next.ready = w.ReadyEndpoints
	}
	for _, path := range w.Removed {
		delete(next.entries, path)
	}
	other := map[string]bool{} // routes and contracts that are not as before
	for _, a := range w.Allocations {
		other[a.Contract] = true
		if len(a.Shares) == 0 {
			delete(next.steered, a.Contract)
		} else {
			next.steered[a.Contract] = a
		}
	}
	for _, e := range w.Set {
		if err := e.check(); err != nil {
			return nil, err
		}
		next.entries[e.Path()] = e
		other[e.Path()] = true // of a contract that is called so a route is made anew for nothing
	}
	if len(next.entries) > most {
		return nil, fmt.Errorf("routes: %d, at most %d are taken", len(next.entries), most)
	}
	claims := map[*cell][]span{}
	for _, path := range slices.Sorted(maps.Keys(next.entries)) {
		e := next.entries[path]
		r := t.routes[path]
		if r == nil || other[path] || other[e.Contract] || w.ReadyEndpoints != nil {
			r = next.route(&e)
		}
		next.routes[path] = r
		c, s := next.cell(&e), span{route: r}
		s.from, s.to = edge(e.Match.HashFrom), edge(e.Match.HashTo)
		if c.rank&byRange == 0 || e.Match.HashTo == 1 {
			s.to = ^uint64(0) // with the last place of all
		}
		claims[c] = append(claims[c], s)
	}
	for c, spans := range claims {
		c.spans = apart(spans)
		if !slices.Contains(next.ranks, c.rank) {
			next.ranks = append(next.ranks, c.rank)
		}
	}
	slices.Sort(next.ranks)
	slices.Reverse(next.ranks)
	return next, nil
}

// edge returns the place that a share of all places begins or ends at.
func edge(share float64) uint64 { return uint64(share*(1<<53)) << 11 }

// cell returns the cell of a route's match, made if there is none.
func (t *Table) cell(e *Entry) *cell {
	m := &e.Match
	q := Query{Class: m.Class, Tenant: m.Tenant, Group: m.Group}
	q.Returning = m.Returning != nil && *m.Returning
	q.Retry = m.Retry != nil && *m.Retry
	rank := m.Specificity()
	h := t.hash(&q).of(rank, &q)
	for c := t.cells[h]; c != nil; c = c.next {
		if c.rank == rank && c.names(&q) {
			return c
		}
	}
	t.cells[h] = &cell{rank: rank, key: q, next: t.cells[h]}
	return t.cells[h]
}

func (t *Table) route(e *Entry) *Route {
	r := &Route{Path: e.Path(), Contract: e.Contract}
	var steered *Allocation
	if a, ok := t.steered[e.Contract]; ok && e.Contract != "" {
		steered, r.RejectedShare = &a, a.RejectedShare
	}
	r.Bound = resolve(e, steered, t.ready)
	for i, letter := range e.Owner {
		if letter == '/' {
			r.Levels = append(r.Levels, e.Owner[:i])
		}
	}
	r.Levels = append(r.Levels, e.Owner, r.Path)
	r.Account, _, _ = strings.Cut(e.Owner, "/")
	return r
}

// hashes are those of what a transaction shows.
type hashes struct{ class, tenant, group uint64 }

func (t *Table) hash(q *Query) hashes {
	return hashes{maphash.String(t.seed, q.Class), maphash.String(t.seed, q.Tenant), maphash.String(t.seed, q.Group)}
}

// of puts together those that a rank names.
func (h hashes) of(rank int, q *Query) uint64 {
	x := uint64(rank)
	if rank&byClass != 0 {
		x = bits.RotateLeft64(x*0x9e3779b97f4a7c15, 29) ^ h.class
	}
	if rank&byTenant != 0 {
		x = bits.RotateLeft64(x*0x9e3779b97f4a7c15, 29) ^ h.tenant
	}
	if rank&byGroup != 0 {
		x = bits.RotateLeft64(x*0x9e3779b97f4a7c15, 29) ^ h.group
	}
	if rank&byReturned != 0 && q.Returning {
		x += 0xff51afd7ed558ccd
	}
	if rank&byRetry != 0 && q.Retry {
		x += 0xc4ceb9fe1a85ec53
	}
	return x
}

// names tells whether a transaction shows what the cell's routes name.
func (c *cell) names(q *Query) bool {
	return (c.rank&byClass == 0 || c.key.Class == q.Class) && (c.rank&byTenant == 0 || c.key.Tenant == q.Tenant) &&
		(c.rank&byGroup == 0 || c.key.Group == q.Group) && (c.rank&byReturned == 0 || c.key.Returning == q.Returning) &&
		(c.rank&byRetry == 0 || c.key.Retry == q.Retry)
}

// Find returns the route of a transaction, nil if none takes it. Among those that do, the
// one that names the most specific counts, in this order: class, tenant, one group, a range
// of groups, returned, retry; of two that name the same, which a checked record has not, the
// one with the lower path.
func (t *Table) Find(q Query) *Route {
	if t == nil || len(t.ranks) == 0 {
		return nil
	}
	h := t.hash(&q)
	for _, rank := range t.ranks {
		if rank&(byGroup|byRange) != 0 && q.Group == "" {
			continue
		}
		for c := t.cells[h.of(rank, &q)]; c != nil; c = c.next {
			if c.rank == rank && c.names(&q) {
				if r := c.at(q.GroupHash); r != nil {
					return r
				}
			}
		}
	}
	return nil
}
