package account

import (
	"errors"
	"fmt"
	"strings"
)

// maxOvercommit is the maximum ratio of the sum of the children's limits to the limit of their parent.
const maxOvercommit = 100

// createNode adds an account or a team. It requires PermissionTeams on the parent, and PermissionLimits
// too unless all limits are 0.
func (d *draft) createNode(op *Op) error {
	parentPath := parent(op.Path)
	switch {
	case (op.Kind == CreateAccount) != (parentPath == ""):
		return errors.New("accounts are founded, teams are added below one")
	case d.Nodes[op.Path] != nil:
		return errors.New("exists")
	case parentPath != "" && d.Nodes[parentPath] == nil:
		return fmt.Errorf("no account or team %q", parentPath)
	case len(d.Nodes) >= maxNodes:
		return fmt.Errorf("%d accounts and teams, no more are kept", maxNodes)
	}
	if err := d.authorize(d.authorKey, PermissionTeams, parentPath); err != nil {
		return err
	}
	if op.Node == nil || op.Node.Limits != (Limits{}) {
		if err := d.authorize(d.authorKey, PermissionLimits, parentPath); err != nil {
			return err
		}
	}
	return d.putNode(op, &Node{CreatedVersion: d.Version})
}

// setLimits replaces limits, overcommit, scope and priority. It requires PermissionLimits on the
// parent, so that the holder of a grant can't raise the limits of the node that the grant is on.
func (d *draft) setLimits(op *Op) error {
	old := d.Nodes[op.Path]
	if old == nil {
		return errors.New("no such account or team")
	}
	if err := d.authorize(d.authorKey, PermissionLimits, parent(op.Path)); err != nil {
		return err
	}
	if err := d.putNode(op, old); err != nil || op.ShrinkPolicy == "" {
		return err
	}
	if op.ShrinkPolicy != ShrinkProportionally && op.ShrinkPolicy != ShrinkByPriority {
		return fmt.Errorf("shrink %.20q: want %q or %q",
			op.ShrinkPolicy, ShrinkProportionally, ShrinkByPriority)
	}
	if err := d.narrowScopes(op.Path); err != nil {
		return err
	}
	return d.shrinkChildren(op.Path, op.ShrinkPolicy)
}

func (d *draft) putNode(op *Op, old *Node) error {
	if op.Node == nil {
		return errors.New("node: missing")
	}
	n := *op.Node
	if err := n.validate(); err != nil {
		return err
	}
	n.CreatedVersion, n.ChildRemovedVersion, n.Version =
		old.CreatedVersion, old.ChildRemovedVersion, d.Version
	d.Nodes[op.Path] = &n
	d.markTotalsChanged(op.Path)
	d.changedScopes[op.Path] = true
	return nil
}

// markTotalsChanged records that the limits of a node, and so the totals of all its ancestors, may
// have changed.
func (d *draft) markTotalsChanged(path string) {
	for ; path != ""; path = parent(path) {
		d.changedTotals[path] = true
	}
}

func (n *Node) validate() error {
	if err := n.Limits.validate(); err != nil {
		return err
	}
	if n.Overcommit != 0 && !(n.Overcommit >= 1 && n.Overcommit <= maxOvercommit) {
		return fmt.Errorf("overcommit %v: want 1 to %d", n.Overcommit, maxOvercommit)
	}
	for i, list := range n.Scope.lists() {
		if err := checkScopeList(scopeNames[i], list); err != nil {
			return err
		}
	}
	return nil
}

// deleteNode removes a node that has no teams and routes, together with its grants.
func (d *draft) deleteNode(path string) error {
	if d.Nodes[path] == nil {
		return errors.New("no such account or team")
	}
	if err := d.authorize(d.authorKey, PermissionTeams, parent(path)); err != nil {
		return err
	}
	for _, team := range sortedKeys(d.Nodes) {
		if team != path && isInSubtree(team, path) {
			return fmt.Errorf("has team %q", team)
		}
	}
	for _, route := range sortedKeys(d.Routes) {
		if strings.HasPrefix(route, path+":") {
			return fmt.Errorf("has route %q", route)
		}
	}
	delete(d.Nodes, path)
	for id, grant := range d.Grants { // grants delegated from them have the same path
		if grant.Path == path {
			delete(d.Grants, id)
		}
	}
	d.markChildRemoved(parent(path))
	d.markTotalsChanged(parent(path))
	return nil
}
