package account

import (
	"errors"
	"fmt"
	"maps"
)

// Change is an entry of the replicated log: all of it takes effect, or nothing.
//
// BaseVersion is the State's Version that its author saw. Nothing that the change touches may have
// changed since: a node, route or grant that exists, or, for one that is new, that its parent was
// created or has lost a child. So changes to different objects do not conflict, and an entry that
// was accepted once can never be accepted again.
type Change struct {
	BaseVersion      uint64 `json:"base"`
	RequireUnchanged bool   `json:"whole,omitempty"` // nothing at all may have changed since BaseVersion
	Ops              []Op   `json:"ops"`
}

// OpKind is what an Op does. The words are in stored logs and stay as they are.
type OpKind string

// The operations, with the fields that each reads besides Kind and ExpectedVersion.
const (
	CreateAccount OpKind = "found"    // Path, Node
	CreateTeam    OpKind = "team"     // Path, Node
	SetLimits     OpKind = "limits"   // replaces limits, overcommit, scope and priority: Path, Node, ShrinkPolicy
	DeleteNode    OpKind = "drop"     // of an account or team without teams and routes: Path
	PutRoute      OpKind = "route"    // creates or replaces: Path (its owner), Route
	DeleteRoute   OpKind = "no-route" // Path (its owner), Name
	CreateGrant   OpKind = "grant"    // Path, Grant
	RevokeGrant   OpKind = "revoke"   // with all that were delegated from it: Path, Name (of the key)
)

// How children shrink when their parent is cut below what they hold.
const (
	ShrinkProportionally = "proportion" // all by one factor
	ShrinkByPriority     = "priority"   // the lower keeps first, the later path is cut first
)

// Op is one operation of a change.
type Op struct {
	Kind            OpKind `json:"do"`
	Path            string `json:"path"`
	ExpectedVersion uint64 `json:"was,omitempty"` // Version of what it replaces; 0 is not compared
	Node            *Node  `json:"node,omitempty"`
	ShrinkPolicy    string `json:"shrink,omitempty"` // empty: refuse
	Route           *Route `json:"route,omitempty"`
	Name            string `json:"name,omitempty"`
	Grant           *Grant `json:"grant,omitempty"`
}

// OpError says which operation of a change can't be accepted, and why.
type OpError struct {
	Number int // from 1
	Kind   OpKind
	Path   string
	Err    error
}

func (e *OpError) Error() string {
	return fmt.Sprintf("operation %d, %.20q on %.80q: %v", e.Number, string(e.Kind), e.Path, e.Err)
}

// Unwrap returns why the operation can't be accepted.
func (e *OpError) Unwrap() error { return e.Err }

// draft is a state under change: its maps are its own, what they hold is not.
type draft struct {
	State
	authorKey     string
	changedTotals map[string]bool   // nodes whose children's sums may have changed
	changedScopes map[string]bool   // nodes in whose subtrees scopes have to be checked
	changedRoutes map[string]*Route // routes that may overlap others
}

func newDraft(s State, authorKey string) *draft {
	d := &draft{
		State:         s,
		authorKey:     authorKey,
		changedTotals: map[string]bool{},
		changedScopes: map[string]bool{},
		changedRoutes: map[string]*Route{},
	}
	d.Version++
	d.Nodes, d.Routes, d.Grants = cloneMap(s.Nodes), cloneMap(s.Routes), cloneMap(s.Grants)
	return d
}

// Apply returns the state after a change by the holder of a key, or the state as it is and why
// the change is not accepted: an *OpError where one operation is at fault.
func (s State) Apply(change Change, authorKey string) (State, error) {
	if err := s.checkBase(change); err != nil {
		return s, err
	}
	next := newDraft(s, authorKey)
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
			return s, &OpError{Number: i + 1, Kind: op.Kind, Path: op.Path, Err: err}
		}
	}
	if err := next.validateChanged(); err != nil && !s.DisabledChecks.AtomicChange {
		return s, err
	}
	return next.State, nil
}

// checkBase checks a change's size and the version that it is based on.
func (s State) checkBase(change Change) error {
	switch {
	case len(change.Ops) == 0 || len(change.Ops) > maxOps:
		return fmt.Errorf("%d operations, want 1 to %d", len(change.Ops), maxOps)
	case change.BaseVersion > s.Version:
		return fmt.Errorf("base %d: the version is %d", change.BaseVersion, s.Version)
	case change.RequireUnchanged && change.BaseVersion != s.Version:
		return fmt.Errorf("base %d: the version is %d by now", change.BaseVersion, s.Version)
	}
	return nil
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return map[string]V{}
	}
	return maps.Clone(m)
}

// checkUnchanged compares what an operation touches with what its author saw.
func (s State) checkUnchanged(base uint64, op *Op) error {
	version, ancestor := s.objectVersion(op)
	if op.ExpectedVersion != 0 && op.ExpectedVersion != version {
		return fmt.Errorf("was %d: it is %d", op.ExpectedVersion, version)
	}
	for ; version == 0 && ancestor != ""; ancestor = parent(ancestor) {
		if node := s.Nodes[ancestor]; node != nil {
			version = max(node.CreatedVersion, node.ChildRemovedVersion)
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

// objectVersion returns the version of the node, route or grant that an operation is about, 0 if
// there is none, and the path of the node that it is in.
func (s State) objectVersion(op *Op) (version uint64, container string) {
	switch op.Kind {
	case PutRoute, DeleteRoute:
		name := op.Name
		if op.Route != nil {
			name = op.Route.Name
		}
		if route := s.Routes[op.Path+":"+name]; route != nil {
			version = route.Version
		}
		return version, op.Path
	case CreateGrant, RevokeGrant:
		name := op.Name
		if op.Grant != nil {
			name = op.Grant.Key
		}
		if grant := s.Grants[name+"@"+op.Path]; grant != nil {
			version = grant.Version
		}
		return version, op.Path
	default:
		if node := s.Nodes[op.Path]; node != nil {
			version = node.Version
		}
		return version, parent(op.Path)
	}
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

// markChildRemoved notes that a child of a node was removed, or an account for the empty path.
func (d *draft) markChildRemoved(path string) {
	if path == "" {
		d.AccountRemovedVersion = d.Version
		return
	}
	if node := d.Nodes[path]; node != nil {
		marked := *node
		marked.ChildRemovedVersion = d.Version
		d.Nodes[path] = &marked
	}
}
