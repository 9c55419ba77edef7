package account

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// Key that is empty is nobody's: a member of the fleet has no say about accounts.
func (s State) may(key, act, path string) error {
	_, err := s.authority(key, path, func(g *Grant) bool { return slices.Contains(g.Permissions, act) }, act)
	return err
}

// authority returns the first of a key's grants, by path, that covers a path and suits; nil
// for the root, who needs none. An empty path, above all accounts, is the root's alone.
func (s State) authority(key, path string, suits func(*Grant) bool, act string) (*Grant, error) {
	if s.isRoot(key) {
		return nil, nil
	}
	var best *Grant
	for _, g := range s.Grants {
		if g.Key == key && suits(g) && (best == nil || g.Path < best.Path) &&
			(path != "" && inside(path, g.Path) || s.DisabledChecks.GrantSubtree) {
			best = g
		}
	}
	if best == nil && path == "" {
		return nil, fmt.Errorf("key %.40q: only the root may do this to accounts", key)
	}
	if best == nil {
		return nil, fmt.Errorf("key %.40q: has no grant of %s on %q", key, act, path)
	}
	return best, nil
}

// give hands on to a key what the giver has, on the giver's subtree or a part of it.
func (d *draft) give(op *Op) error {
	if op.Grant == nil {
		return errors.New("grant: missing")
	}
	g := *op.Grant
	if g.Path == "" {
		g.Path = op.Path
	}
	if err := g.check(); err != nil {
		return err
	}
	switch {
	case g.Path != op.Path:
		return fmt.Errorf("grant on %.80q: the operation is on %q", g.Path, op.Path)
	case d.Nodes[g.Path] == nil:
		return errors.New("no such account or team")
	case d.isRoot(g.Key):
		return errors.New("the root needs no grant")
	case d.Grants[g.ID()] != nil:
		return fmt.Errorf("key %q has a grant here; revoke it first", g.Key)
	case len(d.Grants) >= mostGrants:
		return fmt.Errorf("%d grants, no more are kept", mostGrants)
	}
	from, err := d.authority(d.key, g.Path, func(of *Grant) bool { return of.covers(&g) }, "grants with all that it hands on, and depth left,")
	if err != nil {
		return err
	}
	g.GrantedBy, g.ParentID, g.Version = d.key, "", d.Version
	if from != nil {
		g.ParentID = from.ID()
	}
	d.Grants[g.ID()] = &g
	return nil
}

func (g *Grant) check() error {
	if len(g.PublicKey) != ed25519.PublicKeySize {
		return fmt.Errorf("key %.40q: %d bytes are no Ed25519 public key", g.Key, len(g.PublicKey))
	}
	if g.Key != KeyName(g.PublicKey) {
		return fmt.Errorf("key %.40q: its name is %q", g.Key, KeyName(g.PublicKey))
	}
	if g.DelegationDepth < 0 || g.DelegationDepth > mostHandedOn {
		return fmt.Errorf("depth %d: want 0 to %d", g.DelegationDepth, mostHandedOn)
	}
	for i, act := range g.Permissions {
		if !slices.Contains([]string{PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants, PermissionContracts}, act) || slices.Contains(g.Permissions[:i], act) {
			return fmt.Errorf("act %.20q: want some of routes, limits, teams, grants and contracts, each once", act)
		}
	}
	if len(g.Permissions) == 0 {
		return errors.New("acts: none")
	}
	return nil
}

// covers tells whether who has a grant may hand on another by it.
func (g *Grant) covers(o *Grant) bool {
	return slices.Contains(g.Permissions, PermissionGrants) && g.DelegationDepth > o.DelegationDepth &&
		!slices.ContainsFunc(o.Permissions, func(act string) bool { return !slices.Contains(g.Permissions, act) })
}

// revoke takes away a grant and all that was given by it, down the line. Its own key may,
// who is in its line above, and who has a grant of grants on a path above.
func (d *draft) revoke(op *Op) error {
	id := op.Name + "@" + op.Path
	g := d.Grants[id]
	if g == nil {
		return fmt.Errorf("key %.40q has no grant here", op.Name)
	}
	if d.key != g.Key && !d.inLine(g) {
		if err := d.may(d.key, PermissionGrants, parent(op.Path)); err != nil {
			return err
		}
	}
	gone := map[string]bool{id: true}
	for more := !d.DisabledChecks.RevokeDescendants; more; {
		more = false
		for of, o := range d.Grants {
			if gone[o.ParentID] && !gone[of] {
				gone[of], more = true, true
			}
		}
	}
	for of := range gone {
		d.lost(d.Grants[of].Path)
		delete(d.Grants, of)
	}
	return nil
}

// inLine tells whether a key gave a grant, or one above it in its line. Grants are never
// changed, only revoked with their line, so that a line has an end.
func (d *draft) inLine(g *Grant) bool {
	for range mostHandedOn + 1 {
		if g = d.Grants[g.ParentID]; g == nil {
			return false
		}
		if g.Key == d.key {
			return true
		}
	}
	return false
}
