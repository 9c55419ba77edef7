package account

import (
	"errors"
	"fmt"
	"maps"
)

// Change is an entry of the record: all of it takes force, or nothing.
//
// Base is the Version that its author saw. Nothing that the change touches may have changed
// since: a node, route or grant that exists, or, for one that is new, that its parent was
// added or has lost one. So changes to different things pass each other, and an entry that
// was taken once can never be taken again.
type Change struct {
	BaseVersion      uint64 `json:"base"`
	RequireUnchanged bool   `json:"whole,omitempty"` // nothing at all may have changed since Base
	Ops              []Op   `json:"ops"`
}

// What an Op does.
const (
	CreateAccount = "found"    // add an account: Path, Node
	CreateTeam    = "team"     // add a team: Path, Node
	SetLimits     = "limits"   // replace limits, overcommit, scope and priority: Path, Node, Shrink
	DeleteNode    = "drop"     // take away an account or team that has no teams and no routes: Path
	PutRoute      = "route"    // add or replace a route: Path (its owner), Route
	DeleteRoute   = "no-route" // Path (its owner), Name
	CreateGrant   = "grant"    // Path, Grant
	RevokeGrant   = "revoke"   // Path, Name (of the key); takes all that came of it
)

// How children shrink when their parent is cut below what they hold.
const (
	ShrinkProportionally = "proportion" // all by one factor
	ShrinkByPriority     = "priority"   // the lower keeps first, the later path is cut first
)

// Op is one part of a change.
type Op struct {
	Kind            string `json:"do"`
	Path            string `json:"path"`
	ExpectedVersion uint64 `json:"was,omitempty"` // Version of what it replaces; 0 is not compared
	Node            *Node  `json:"node,omitempty"`
	ShrinkPolicy    string `json:"shrink,omitempty"` // empty: refuse
	Route           *Route `json:"route,omitempty"`
	Name            string `json:"name,omitempty"`
	Grant           *Grant `json:"grant,omitempty"`
}

// draft is a state under change: its maps are its own, what they hold is not.
type draft struct {
	State
	key     string
	touched map[string]bool   // nodes whose children's sums may have changed
	scoped  map[string]bool   // nodes below which scopes must be looked at
	put     map[string]*Route // routes that may tie
}

// Apply returns the state after a change by who has the key, or why it is not taken. The
// error names the operation by its number and path.
func (s State) Apply(c Change, key string) (State, error) {
	switch {
	case len(c.Ops) == 0 || len(c.Ops) > mostOps:
		return s, fmt.Errorf("%d operations, want 1 to %d", len(c.Ops), mostOps)
	case c.BaseVersion > s.Version:
		return s, fmt.Errorf("base %d: the version is %d", c.BaseVersion, s.Version)
	case c.RequireUnchanged && c.BaseVersion != s.Version:
		return s, fmt.Errorf("base %d: the version is %d by now", c.BaseVersion, s.Version)
	}
	d := &draft{State: s, key: key, touched: map[string]bool{}, scoped: map[string]bool{}, put: map[string]*Route{}}
	d.Version++
	d.Nodes, d.Routes, d.Grants = own(s.Nodes), own(s.Routes), own(s.Grants)
	for i := range c.Ops {
		op := &c.Ops[i]
		err := s.unchanged(c.BaseVersion, op)
		if err == nil {
			err = d.do(op)
		}
		if err != nil && s.DisabledChecks.AtomicChange && i > 0 {
			return d.State, nil
		}
		if err != nil {
			return s, fmt.Errorf("operation %d, %.20q on %.80q: %w", i+1, op.Kind, op.Path, err)
		}
	}
	if err := d.holds(); err != nil && !s.DisabledChecks.AtomicChange {
		return s, err
	}
	return d.State, nil
}

func own[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// unchanged compares what an operation is about with what its author saw.
func (s State) unchanged(base uint64, op *Op) error {
	version, above := uint64(0), op.Path
	switch op.Kind {
	case PutRoute, DeleteRoute:
		name := op.Name
		if op.Route != nil {
			name = op.Route.Name
		}
		if r := s.Routes[op.Path+":"+name]; r != nil {
			version = r.Version
		}
	case CreateGrant, RevokeGrant:
		name := op.Name
		if op.Grant != nil {
			name = op.Grant.Key
		}
		if g := s.Grants[name+"@"+op.Path]; g != nil {
			version = g.Version
		}
	default:
		if n := s.Nodes[op.Path]; n != nil {
			version = n.Version
		}
		above = parent(op.Path)
	}
	if op.ExpectedVersion != 0 && op.ExpectedVersion != version {
		return fmt.Errorf("was %d: it is %d", op.ExpectedVersion, version)
	}
	for ; version == 0 && above != ""; above = parent(above) {
		if n := s.Nodes[above]; n != nil {
			version = max(n.CreatedVersion, n.ChildRemovedVersion)
		}
	}
	if version == 0 {
		version = s.AccountRemovedVersion
	}
	if version > base {
		return fmt.Errorf("base %d: changed since, at %d", base, version)
	}
	return nil
}

func (d *draft) do(op *Op) error {
	if err := goodPath(op.Path); err != nil {
		return err
	}
	switch op.Kind {
	case CreateAccount, CreateTeam:
		return d.add(op)
	case SetLimits:
		return d.set(op)
	case DeleteNode:
		return d.drop(op.Path)
	case PutRoute:
		return d.putRoute(op)
	case DeleteRoute:
		return d.dropRoute(op)
	case CreateGrant:
		return d.give(op)
	case RevokeGrant:
		return d.revoke(op)
	}
	return errors.New("no such operation")
}

// lost notes that a node, or the fleet for the empty path, has had something taken away.
func (d *draft) lost(path string) {
	if path == "" {
		d.AccountRemovedVersion = d.Version
	} else if n := d.Nodes[path]; n != nil {
		c := *n
		c.ChildRemovedVersion = d.Version
		d.Nodes[path] = &c
	}
}
