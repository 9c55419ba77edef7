package account

import (
	"errors"
	"fmt"
	"maps"
)

// Change is an entry of the replicated log. It is atomic: all of its operations take effect, or none.
//
// BaseVersion is the Version of the State that the author of the change has read. The change is
// rejected if an existing node, route or grant that it affects has changed since. For a new object, it
// is rejected if the nearest existing ancestor was created, or a child of it was removed, since; for a
// new account, if an account was removed. So changes to different objects do not conflict, and an
// accepted entry can't be accepted again.
type Change struct {
	BaseVersion      uint64 `json:"base"`
	RequireUnchanged bool   `json:"whole,omitempty"` // reject if anything has changed since BaseVersion
	Ops              []Op   `json:"ops"`
}

// OpKind selects what an Op does. The values must not change, because stored logs contain them.
type OpKind string

// The kinds of operations. The comments list the fields that each reads besides Kind and
// ExpectedVersion.
const (
	CreateAccount OpKind = "found"    // Path, Node
	CreateTeam    OpKind = "team"     // Path, Node
	SetLimits     OpKind = "limits"   // replaces a node except its versions: Path, Node, ShrinkPolicy
	DeleteNode    OpKind = "drop"     // deletes an account or team without teams and routes: Path
	PutRoute      OpKind = "route"    // creates or replaces a route: Path (its owner), Route
	DeleteRoute   OpKind = "no-route" // Path (its owner), Name
	CreateGrant   OpKind = "grant"    // Path, Grant
	RevokeGrant   OpKind = "revoke"   // revokes a grant and all delegated from it: Path, Name (of the key)
)

// Policies for reducing the limits of children when the limits of their parent are reduced below the
// sum of theirs.
const (
	ShrinkProportionally = "proportion" // all children by the same factor
	ShrinkByPriority     = "priority"   // the highest Priority value first, then the last path first
)

// Op is one operation of a change.
type Op struct {
	Kind            OpKind `json:"do"`
	Path            string `json:"path"`
	ExpectedVersion uint64 `json:"was,omitempty"` // Version of the object it replaces; 0 for any
	Node            *Node  `json:"node,omitempty"`
	ShrinkPolicy    string `json:"shrink,omitempty"` // if empty, reject a reduction below the children's sum
	Route           *Route `json:"route,omitempty"`
	Name            string `json:"name,omitempty"`
	Grant           *Grant `json:"grant,omitempty"`
}

// OpError is the error for an operation of a change that is rejected.
type OpError struct {
	Number int // position in Change.Ops, starting at 1
	Kind   OpKind
	Path   string
	Err    error
}

func (e *OpError) Error() string {
	return fmt.Sprintf("operation %d, %.20q on %.80q: %v", e.Number, string(e.Kind), e.Path, e.Err)
}

// Unwrap returns the reason for the rejection.
func (e *OpError) Unwrap() error { return e.Err }

// draft is a copy of a state to which a change is being applied. It has its own maps, but their values
// are shared with the original state and must be replaced rather than modified.
type draft struct {
	State
	authorKey     string
	changedTotals map[string]bool   // nodes whose totals of children may have changed
	changedScopes map[string]bool   // nodes whose subtrees need their scopes checked
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

// Apply returns the state after a change by the holder of a key. If the change is rejected, Apply
// returns the unchanged state and an error, which is an *OpError if a single operation is at fault.
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

// checkBase checks the size and the base version of a change.
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

// checkUnchanged returns an error if the object of an operation has changed since the base version, or
// if its version is not the expected one.
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

// objectVersion returns the version of the node, route or grant that an operation refers to, or 0 if
// it does not exist, and the path of the node that contains it.
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

// markChildRemoved records that a child of a node was removed, or an account if the path is empty.
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
