// Package routeupdate is the form in which an agent sends routes to its node: complete, or as
// the changes since an earlier index. It does no I/O, reads no clock and starts no goroutine.
package routeupdate

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"coralrelay/internal/fleet/account"
)

// Wire is what the agent tells its node of the record: the whole, or what has changed since
// an index. Regions are zones by then.
type Update struct {
	Index          uint64         `json:"index"`
	Complete       bool           `json:"whole,omitempty"`
	BaseIndex      uint64         `json:"since,omitempty"` // the Index that changes are made to
	Set            []Entry        `json:"set,omitempty"`   // routes that are new or others than before
	Removed        []string       `json:"gone,omitempty"`  // paths of routes that are no more
	Allocations    []Allocation   `json:"steer,omitempty"` // by contract; without shares it is no more
	ReadyEndpoints map[string]int `json:"ready,omitempty"` // ready next hops by zone, all of them; nil for as before
}

// Entry is a route as the node needs it.
type Entry struct {
	Name         string              `json:"name"`  // within its owner
	Owner        string              `json:"owner"` // path, such as acme/web
	Match        account.Match       `json:"match"`
	ZoneShares   []account.ZoneShare `json:"parts,omitempty"` // in percent of the route's transactions
	AllowedZones []string            `json:"zones,omitempty"` // that the owner may use; empty for all
	Contract     string              `json:"contract,omitempty"`
}

// Path is how limits and counts name the route.
func (e *Entry) Path() string { return e.Owner + ":" + e.Name }

// Allocation is where a contract's transactions go: shares of zones that add up to 1, what
// explores among them.
type Allocation struct {
	Contract      string             `json:"contract"`
	Shares        map[string]float64 `json:"shares,omitempty"`
	RejectedShare float64            `json:"over,omitempty"` // of its set-ups, those that nobody has room for
}

func (e *Entry) Validate() error {
	match := &e.Match
	switch {
	case e.Name == "" || e.Owner == "":
		return fmt.Errorf("route %.80q: no name or no owner", e.Path())
	case (match.HashFrom != 0 || match.HashTo != 0) && !(match.HashFrom >= 0 && match.HashFrom < match.HashTo && match.HashTo <= 1):
		return fmt.Errorf("route %.80q: range %v to %v: want 0 <= from < to <= 1", e.Path(), match.HashFrom, match.HashTo)
	}
	return nil
}

// Diff returns what has to be told of after to who has before; both are whole.
func Diff(before, after Update) Update {
	update := Update{Index: after.Index, BaseIndex: before.Index}
	previous := map[string]*Entry{}
	for i := range before.Set {
		previous[before.Set[i].Path()] = &before.Set[i]
	}
	for _, entry := range after.Set {
		if old := previous[entry.Path()]; old == nil || !reflect.DeepEqual(*old, entry) {
			update.Set = append(update.Set, entry)
		}
		delete(previous, entry.Path())
	}
	update.Removed = slices.Sorted(maps.Keys(previous))
	previousAllocations := map[string]Allocation{}
	for _, allocation := range before.Allocations {
		previousAllocations[allocation.Contract] = allocation
	}
	for _, allocation := range after.Allocations {
		if old, ok := previousAllocations[allocation.Contract]; !ok || old.RejectedShare != allocation.RejectedShare || !maps.Equal(old.Shares, allocation.Shares) {
			update.Allocations = append(update.Allocations, allocation)
		}
		delete(previousAllocations, allocation.Contract)
	}
	for _, name := range slices.Sorted(maps.Keys(previousAllocations)) {
		update.Allocations = append(update.Allocations, Allocation{Contract: name})
	}
	if !maps.Equal(before.ReadyEndpoints, after.ReadyEndpoints) {
		if update.ReadyEndpoints = after.ReadyEndpoints; update.ReadyEndpoints == nil {
			update.ReadyEndpoints = map[string]int{}
		}
	}
	return update
}
