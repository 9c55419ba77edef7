package account

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// add adds an account or a team.
func (d *draft) add(op *Op) error {
	above := parent(op.Path)
	switch {
	case (op.Kind == CreateAccount) != (above == ""):
		return errors.New("accounts are founded, teams are added below one")
	case d.Nodes[op.Path] != nil:
		return errors.New("exists")
	case above != "" && d.Nodes[above] == nil:
		return fmt.Errorf("no account or team %q", above)
	case len(d.Nodes) >= mostNodes:
		return fmt.Errorf("%d accounts and teams, no more are kept", mostNodes)
	}
	if err := d.may(d.key, PermissionTeams, above); err != nil {
		return err
	}
	if op.Node == nil || op.Node.Limits != (Limits{}) {
		if err := d.may(d.key, PermissionLimits, above); err != nil {
			return err
		}
	}
	return d.putNode(op, &Node{CreatedVersion: d.Version})
}

// set replaces limits, overcommit, scope and priority; that is for who may do so above, so
// that nobody raises its own.
func (d *draft) set(op *Op) error {
	old := d.Nodes[op.Path]
	if old == nil {
		return errors.New("no such account or team")
	}
	if err := d.may(d.key, PermissionLimits, parent(op.Path)); err != nil {
		return err
	}
	if err := d.putNode(op, old); err != nil || op.ShrinkPolicy == "" {
		return err
	}
	if op.ShrinkPolicy != ShrinkProportionally && op.ShrinkPolicy != ShrinkByPriority {
		return fmt.Errorf("shrink %.20q: want %q or %q", op.ShrinkPolicy, ShrinkProportionally, ShrinkByPriority)
	}
	if err := d.narrow(op.Path); err != nil {
		return err
	}
	return d.shrink(op.Path, op.ShrinkPolicy)
}

func (d *draft) putNode(op *Op, old *Node) error {
	if op.Node == nil {
		return errors.New("node: missing")
	}
	n := *op.Node
	if err := n.check(); err != nil {
		return err
	}
	n.CreatedVersion, n.ChildRemovedVersion, n.Version = old.CreatedVersion, old.ChildRemovedVersion, d.Version
	d.Nodes[op.Path] = &n
	d.touch(op.Path)
	d.scoped[op.Path] = true
	return nil
}

// touch notes that a node's own figures, and with them all sums above, may have changed.
func (d *draft) touch(path string) {
	for ; path != ""; path = parent(path) {
		d.touched[path] = true
	}
}

func (n *Node) check() error {
	if err := n.Limits.check(); err != nil {
		return err
	}
	if n.Overcommit != 0 && !(n.Overcommit >= 1 && n.Overcommit <= 100) {
		return fmt.Errorf("overcommit %v: want 1 to 100", n.Overcommit)
	}
	for i, list := range n.Scope.lists() {
		if err := goodList(scopeNames[i], list); err != nil {
			return err
		}
	}
	return nil
}

func goodList(what string, list []string) error {
	if len(list) > mostNames {
		return fmt.Errorf("%s: %d names, at most %d are kept", what, len(list), mostNames)
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
func (d *draft) drop(path string) error {
	if d.Nodes[path] == nil {
		return errors.New("no such account or team")
	}
	if err := d.may(d.key, PermissionTeams, parent(path)); err != nil {
		return err
	}
	for _, team := range sorted(d.Nodes) {
		if team != path && inside(team, path) {
			return fmt.Errorf("has team %q", team)
		}
	}
	for _, route := range sorted(d.Routes) {
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
	d.lost(parent(path))
	d.touch(parent(path))
	return nil
}

// narrow takes from the scopes of a node's subtree what the node may no longer use.
func (d *draft) narrow(top string) error {
	for _, path := range sorted(d.Nodes) { // a parent before its teams
		if path == top || !inside(path, top) {
			continue
		}
		n := *d.Nodes[path]
		above, lists := d.scope(parent(path)).lists(), n.Scope.lists()
		changed := false
		for i, list := range lists {
			if len(list) == 0 || len(above[i]) == 0 {
				continue
			}
			lists[i] = slices.DeleteFunc(slices.Clone(list), func(name string) bool { return !slices.Contains(above[i], name) })
			if len(lists[i]) == 0 {
				return fmt.Errorf("%q would have none of its %s left", path, scopeNames[i])
			}
			changed = changed || len(lists[i]) < len(list)
		}
		if changed {
			n.Scope, n.Version = Scope{lists[0], lists[1], lists[2]}, d.Version
			d.Nodes[path] = &n
			d.scoped[path] = true
		}
	}
	return nil
}
