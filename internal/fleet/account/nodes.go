package account

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// add adds an account or a team.
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

// set replaces limits, overcommit, scope and priority; that is for who may do so above, so
// that nobody raises its own.
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
		return fmt.Errorf("shrink %.20q: want %q or %q", op.ShrinkPolicy, ShrinkProportionally, ShrinkByPriority)
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
	n.CreatedVersion, n.ChildRemovedVersion, n.Version = old.CreatedVersion, old.ChildRemovedVersion, d.Version
	d.Nodes[op.Path] = &n
	d.markTotalsChanged(op.Path)
	d.changedScopes[op.Path] = true
	return nil
}

// touch notes that a node's own figures, and with them all sums above, may have changed.
func (d *draft) markTotalsChanged(path string) {
	for ; path != ""; path = parent(path) {
		d.changedTotals[path] = true
	}
}

func (n *Node) validate() error {
	if err := n.Limits.validate(); err != nil {
		return err
	}
	if n.Overcommit != 0 && !(n.Overcommit >= 1 && n.Overcommit <= 100) {
		return fmt.Errorf("overcommit %v: want 1 to 100", n.Overcommit)
	}
	for i, list := range n.Scope.lists() {
		if err := checkScopeList(scopeNames[i], list); err != nil {
			return err
		}
	}
	return nil
}

func checkScopeList(what string, list []string) error {
	if len(list) > maxScopeNames {
		return fmt.Errorf("%s: %d names, at most %d are kept", what, len(list), maxScopeNames)
	}
	for i, name := range list {
		if name == "" || len(name) > 64 || slices.Contains(list[:i], name) {
			return fmt.Errorf("%s: %.80q: empty, longer than 64 bytes or twice there", what, name)
		}
	}
	return nil
}

var scopeNames = [3]string{"zones", "tenants", "classes"}

func (sc Scope) lists() [3][]string { return [3][]string{sc.Zones, sc.Tenants, sc.Classes} }

// drop takes away a node without teams and routes, and its grants.
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
	for id, g := range d.Grants { // what came of them is on the same path
		if g.Path == path {
			delete(d.Grants, id)
		}
	}
	d.markChildRemoved(parent(path))
	d.markTotalsChanged(parent(path))
	return nil
}

// narrow takes from the scopes of a node's subtree what the node may no longer use.
func (d *draft) narrowScopes(top string) error {
	for _, path := range sortedKeys(d.Nodes) { // a parent before its teams
		if path == top || !isInSubtree(path, top) {
			continue
		}
		node := *d.Nodes[path]
		parentLists, lists := d.effectiveScope(parent(path)).lists(), node.Scope.lists()
		changed := false
		for i, list := range lists {
			if len(list) == 0 || len(parentLists[i]) == 0 {
				continue
			}
			lists[i] = slices.DeleteFunc(slices.Clone(list), func(name string) bool { return !slices.Contains(parentLists[i], name) })
			if len(lists[i]) == 0 {
				return fmt.Errorf("%q would have none of its %s left", path, scopeNames[i])
			}
			changed = changed || len(lists[i]) < len(list)
		}
		if changed {
			node.Scope, node.Version = Scope{lists[0], lists[1], lists[2]}, d.Version
			d.Nodes[path] = &node
			d.changedScopes[path] = true
		}
	}
	return nil
}
