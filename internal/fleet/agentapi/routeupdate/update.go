// Package routeupdate defines the format in which an agent sends routes to its node: the complete
// table, or the changes since an earlier index. Package agentapi transports updates and package
// route compiles them. The package does no I/O, reads no clock and starts no goroutine.
package routeupdate

import (
	"fmt"

	"coralrelay/internal/fleet/account"
)

// Update contains the routes of the replicated log, or their changes since an index. It names zones
// where the log may name regions. The JSON keys must not change, because nodes and agents of two
// versions exchange updates.
type Update struct {
	Index          uint64         `json:"index"`
	Complete       bool           `json:"whole,omitempty"`
	BaseIndex      uint64         `json:"since,omitempty"` // Index of the update that the changes apply to
	Set            []Entry        `json:"set,omitempty"`   // new and changed routes
	Removed        []string       `json:"gone,omitempty"`  // paths of removed routes
	Allocations    []Allocation   `json:"steer,omitempty"` // new and changed; without shares: removed
	ReadyEndpoints map[string]int `json:"ready,omitempty"` // counts of all zones; nil if unchanged
}

// Entry is a route with the fields that the node needs.
type Entry struct {
	Name         string              `json:"name"`  // unique within its owner
	Owner        string              `json:"owner"` // path, such as acme/web
	Match        account.Match       `json:"match"`
	ZoneShares   []account.ZoneShare `json:"parts,omitempty"` // in percent of the route's sessions
	AllowedZones []string            `json:"zones,omitempty"` // zones that the owner may use; empty for all
	Contract     string              `json:"contract,omitempty"`
}

// Path returns the name of the route in limits and usage: owner, colon, name.
func (e *Entry) Path() string { return e.Owner + ":" + e.Name }

// Validate returns an error if the route can't be used.
func (e *Entry) Validate() error {
	from, to := e.Match.HashFrom, e.Match.HashTo
	switch {
	case e.Name == "" || e.Owner == "":
		return fmt.Errorf("route %.80q: no name or no owner", e.Path())
	case (from != 0 || to != 0) && !(from >= 0 && from < to && to <= 1):
		return fmt.Errorf("route %.80q: range %v to %v: want 0 <= from < to <= 1", e.Path(), from, to)
	}
	return nil
}

// Allocation distributes a contract's sessions over zones. The shares by zone add up to 1, including
// the sessions that explore.
type Allocation struct {
	Contract      string             `json:"contract"`
	Shares        map[string]float64 `json:"shares,omitempty"`
	RejectedShare float64            `json:"over,omitempty"` // share of set-ups above all zones' capacity
}
