package agentapi

import (
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// MaxPartBytes is the maximum size of a part of a table or a lease, in bytes of JSON. A part with a
// single item may exceed it. The response that carries a part stays below MaxLineBytes.
const MaxPartBytes = 1 << 20

// splitter distributes items over parts of limited size.
type splitter[P any] struct {
	parts    []P
	template P // every part but the first starts as a copy of it
	size     int
	maxBytes int
}

// newSplitter returns a splitter whose first part is first. Further parts are copies of template.
func newSplitter[P any](first, template P, maxBytes int) *splitter[P] {
	return &splitter[P]{parts: []P{first}, template: template, maxBytes: maxBytes}
}

// partFor returns the part for the next item, whose size is given in bytes. It starts a new part if
// the item would take the current one above maxBytes.
func (s *splitter[P]) partFor(itemSize int) *P {
	if s.size > 0 && s.size+itemSize > s.maxBytes {
		s.parts = append(s.parts, s.template)
		s.size = 0
	}
	s.size += itemSize
	return &s.parts[len(s.parts)-1]
}

// SplitTable splits an update into one or more parts of at most maxBytes each. A part with a single
// item may be larger. All parts have the index of the update, and together they hold all of its items.
func SplitTable(update routeupdate.Update, maxBytes int) []routeupdate.Update {
	template := routeupdate.Update{
		Index: update.Index, Complete: update.Complete, BaseIndex: update.BaseIndex}
	first := template
	first.ReadyEndpoints = update.ReadyEndpoints
	split := newSplitter(first, template, maxBytes)
	for _, entry := range update.Set {
		part := split.partFor(sizeOf(entry))
		part.Set = append(part.Set, entry)
	}
	for _, path := range update.Removed {
		part := split.partFor(sizeOf(path))
		part.Removed = append(part.Removed, path)
	}
	for _, allocation := range update.Allocations {
		part := split.partFor(sizeOf(allocation))
		part.Allocations = append(part.Allocations, allocation)
	}
	return split.parts
}

// SplitLease splits a lease into one or more parts of at most maxBytes each. A part with a single item
// may be larger.
func SplitLease(lease account.QuotaLease, maxBytes int) []account.QuotaLease {
	template := lease
	template.Allocated, template.EvenShares = nil, nil
	split := newSplitter(template, template, maxBytes)
	for _, path := range slices.Sorted(maps.Keys(lease.Allocated)) {
		amounts := lease.Allocated[path]
		part := split.partFor(sizeOf(path) + sizeOf(amounts))
		putAmounts(&part.Allocated, path, amounts)
	}
	for _, path := range slices.Sorted(maps.Keys(lease.EvenShares)) {
		amounts := lease.EvenShares[path]
		part := split.partFor(sizeOf(path) + sizeOf(amounts))
		putAmounts(&part.EvenShares, path, amounts)
	}
	return split.parts
}

// putAmounts sets the amounts of a path, and allocates the map if it is nil.
func putAmounts(byPath *map[string]account.Amounts, path string, amounts account.Amounts) {
	if *byPath == nil {
		*byPath = map[string]account.Amounts{}
	}
	(*byPath)[path] = amounts
}

// sizeOf returns the size of an item as JSON, including the separators around it.
func sizeOf(item any) int {
	raw, err := json.Marshal(item)
	if err != nil {
		return 0 // writing the response that holds the item returns the error
	}
	return len(raw) + 2
}
