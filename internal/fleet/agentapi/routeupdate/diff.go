package routeupdate

import (
	"maps"
	"reflect"
	"slices"
)

// Diff returns the update that changes the routes of the complete update before into those of after.
func Diff(before, after Update) Update {
	update := Update{Index: after.Index, BaseIndex: before.Index}
	update.Set, update.Removed = diffEntries(before.Set, after.Set)
	update.Allocations = diffAllocations(before.Allocations, after.Allocations)
	if !maps.Equal(before.ReadyEndpoints, after.ReadyEndpoints) {
		update.ReadyEndpoints = after.ReadyEndpoints
		if update.ReadyEndpoints == nil {
			update.ReadyEndpoints = map[string]int{}
		}
	}
	return update
}

// diffEntries returns the new and changed entries, and the paths of the removed ones.
func diffEntries(before, after []Entry) (set []Entry, removed []string) {
	previous := map[string]*Entry{}
	for i := range before {
		previous[before[i].Path()] = &before[i]
	}
	for _, entry := range after {
		path := entry.Path()
		if old := previous[path]; old == nil || !reflect.DeepEqual(*old, entry) {
			set = append(set, entry)
		}
		delete(previous, path)
	}
	return set, slices.Sorted(maps.Keys(previous))
}

// diffAllocations returns the new and changed allocations, followed by one without shares for each
// removed allocation.
func diffAllocations(before, after []Allocation) []Allocation {
	var changed []Allocation
	previous := map[string]Allocation{}
	for _, allocation := range before {
		previous[allocation.Contract] = allocation
	}
	for _, allocation := range after {
		if old, ok := previous[allocation.Contract]; !ok || !old.equal(allocation) {
			changed = append(changed, allocation)
		}
		delete(previous, allocation.Contract)
	}
	for _, contract := range slices.Sorted(maps.Keys(previous)) {
		changed = append(changed, Allocation{Contract: contract})
	}
	return changed
}

func (a Allocation) equal(other Allocation) bool {
	return a.RejectedShare == other.RejectedShare && maps.Equal(a.Shares, other.Shares)
}
