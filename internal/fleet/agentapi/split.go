package agentapi

import (
	"encoding/json"
	"maps"
	"slices"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// MaxPartBytes is how much of a table or a lease goes with one response, in bytes of JSON. One item
// may exceed it: a whole response stays below MaxLineBytes.
const MaxPartBytes = 1 << 20

// splitter spreads items over parts.
type splitter[P any] struct {
	parts    []P
	head     P // what each part has besides its items
	size     int
	maxBytes int
}

// newSplitter returns a splitter with the first part.
func newSplitter[P any](first, head P, maxBytes int) *splitter[P] {
	return &splitter[P]{parts: []P{first}, head: head, maxBytes: maxBytes}
}

// partFor returns the part that the next item goes into, by the item's size in bytes.
func (s *splitter[P]) partFor(itemSize int) *P {
	if s.size > 0 && s.size+itemSize > s.maxBytes {
		s.parts = append(s.parts, s.head)
		s.size = 0
	}
	s.size += itemSize
	return &s.parts[len(s.parts)-1]
}

// SplitTable cuts an update into parts of some size, at least one. Each is for the same index, and
// together they are the update.
func SplitTable(update routeupdate.Update, maxBytes int) []routeupdate.Update {
	head := routeupdate.Update{Index: update.Index, Complete: update.Complete, BaseIndex: update.BaseIndex}
	first := head
	first.ReadyEndpoints = update.ReadyEndpoints
	split := newSplitter(first, head, maxBytes)
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

// SplitLease cuts a lease into parts of some size, at least one.
func SplitLease(lease account.QuotaLease, maxBytes int) []account.QuotaLease {
	head := lease
	head.Allocated, head.EvenShares = nil, nil
	split := newSplitter(head, head, maxBytes)
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

// putAmounts adds a path to a map, which is made if it is nil.
func putAmounts(byPath *map[string]account.Amounts, path string, amounts account.Amounts) {
	if *byPath == nil {
		*byPath = map[string]account.Amounts{}
	}
	(*byPath)[path] = amounts
}

// sizeOf returns an item's size as JSON, with what separates it from others.
func sizeOf(item any) int {
	raw, err := json.Marshal(item)
	if err != nil {
		return 0 // then the response that holds it can't be written, and says so
	}
	return len(raw) + 2
}
