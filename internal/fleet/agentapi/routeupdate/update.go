// Package routeupdate is the form in which an agent sends routes to its node: complete, or as the
// changes since an earlier index. It stands beside the API that carries it (package agentapi), and
// is what package route compiles. It does no I/O, reads no clock and starts no goroutine.
package routeupdate

import (
	"fmt"

	"coralrelay/internal/fleet/account"
)

// Update is the routes of the replicated log, or what has changed of them since an index. It names
// zones where the log may name regions. Nodes and agents of two versions exchange it: its JSON keys
// stay as they are.
type Update struct {
	Index          uint64         `json:"index"`
	Complete       bool           `json:"whole,omitempty"`
	BaseIndex      uint64         `json:"since,omitempty"` // the Index that the changes are made to
	Set            []Entry        `json:"set,omitempty"`   // routes that are new or changed
	Removed        []string       `json:"gone,omitempty"`  // paths of routes
	Allocations    []Allocation   `json:"steer,omitempty"` // by contract; one without shares is removed
	ReadyEndpoints map[string]int `json:"ready,omitempty"` // by zone, all of them; nil for as before
}

// Entry is a route as the node needs it.
type Entry struct {
	Name         string              `json:"name"`  // unique within its owner
	Owner        string              `json:"owner"` // path, such as acme/web
	Match        account.Match       `json:"match"`
	ZoneShares   []account.ZoneShare `json:"parts,omitempty"` // in percent of the route's sessions
	AllowedZones []string            `json:"zones,omitempty"` // that the owner may use; empty for all
	Contract     string              `json:"contract,omitempty"`
}

// Path is how limits and usage name the route.
func (e *Entry) Path() string { return e.Owner + ":" + e.Name }

// Validate returns why a route can't be used.
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

// Allocation is where a contract's sessions go: shares by zone that add up to 1, with those that
// explore.
type Allocation struct {
	Contract      string             `json:"contract"`
	Shares        map[string]float64 `json:"shares,omitempty"`
	RejectedShare float64            `json:"over,omitempty"` // of its set-ups, those that no zone has capacity for
}
