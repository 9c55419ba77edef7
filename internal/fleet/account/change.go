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
	authorKey     string
	changedTotals map[string]bool   // nodes whose children's sums may have changed
	changedScopes map[string]bool   // nodes below which scopes must be looked at
	changedRoutes map[string]*Route // routes that may tie
}

// Apply returns the state after a change by who has the key, or why it is not taken. The
// error names the operation by its number and path.
func (s State) Apply(change Change, authorKey string) (State, error) {
	switch {
	case len(change.Ops) == 0 || len(change.Ops) > maxOps:
		return s, fmt.Errorf("%d operations, want 1 to %d", len(change.Ops), maxOps)
	case change.BaseVersion > s.Version:
		return s, fmt.Errorf("base %d: the version is %d", change.BaseVersion, s.Version)
	case change.RequireUnchanged && change.BaseVersion != s.Version:
		return s, fmt.Errorf("base %d: the version is %d by now", change.BaseVersion, s.Version)
	}
	next := &draft{State: s, authorKey: authorKey, changedTotals: map[string]bool{}, changedScopes: map[string]bool{}, changedRoutes: map[string]*Route{}}
	next.Version++
	next.Nodes, next.Routes, next.Grants = cloneMap(s.Nodes), cloneMap(s.Routes), cloneMap(s.Grants)
	for i := range change.Ops {
		op := &change.Ops[i]
		err := s.checkUnchanged(change.BaseVersion, op)
		if err == nil {
			err = next.applyOp(op)
		}
		if err != nil && s.DisabledChecks.AtomicChange && i > 0 {
			return next.State, nil
		}
		if err != nil {
			return s, fmt.Errorf("operation %d, %.20q on %.80q: %w", i+1, op.Kind, op.Path, err)
		}
	}
	if err := next.validateChanged(); err != nil && !s.DisabledChecks.AtomicChange {
		return s, err
	}
	return next.State, nil
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// unchanged compares what an operation is about with what its author saw.
func (s State) checkUnchanged(base uint64, op *Op) error {
	version, ancestor := uint64(0), op.Path
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
		ancestor = parent(op.Path)
	}
	if op.ExpectedVersion != 0 && op.ExpectedVersion != version {
		return fmt.Errorf("was %d: it is %d", op.ExpectedVersion, version)
	}
	for ; version == 0 && ancestor != ""; ancestor = parent(ancestor) {
		if n := s.Nodes[ancestor]; n != nil {
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

func (d *draft) applyOp(op *Op) error {
	if err := checkPath(op.Path); err != nil {
		return err
	}
	switch op.Kind {
	case CreateAccount, CreateTeam:
		return d.createNode(op)
	case SetLimits:
		return d.setLimits(op)
	case DeleteNode:
		return d.deleteNode(op.Path)
	case PutRoute:
		return d.putRoute(op)
	case DeleteRoute:
		return d.deleteRoute(op)
	case CreateGrant:
		return d.createGrant(op)
	case RevokeGrant:
		return d.revokeGrant(op)
	}
	return errors.New("no such operation")
}

// lost notes that a node, or the fleet for the empty path, has had something taken away.
func (d *draft) markChildRemoved(path string) {
	if path == "" {
		d.AccountRemovedVersion = d.Version
	} else if n := d.Nodes[path]; n != nil {
		c := *n
		c.ChildRemovedVersion = d.Version
		d.Nodes[path] = &c
	}
}
