package account

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// Key that is empty is nobody's: a member of the fleet has no say about accounts.
func (s State) authorize(key, permission, path string) error {
	_, err := s.findGrant(key, path, func(g *Grant) bool { return slices.Contains(g.Permissions, permission) }, permission)
	return err
}

// authority returns the first of a key's grants, by path, that covers a path and suits; nil
// for the root, who needs none. An empty path, above all accounts, is the root's alone.
func (s State) findGrant(key, path string, isSuitable func(*Grant) bool, permission string) (*Grant, error) {
	if s.isRootKey(key) {
		return nil, nil
	}
	var best *Grant
	for _, g := range s.Grants {
		if g.Key == key && isSuitable(g) && (best == nil || g.Path < best.Path) &&
			(path != "" && isInSubtree(path, g.Path) || s.DisabledChecks.GrantSubtree) {
			best = g
		}
	}
	if best == nil && path == "" {
		return nil, fmt.Errorf("key %.40q: only the root may do this to accounts", key)
	}
	if best == nil {
		return nil, fmt.Errorf("key %.40q: has no grant of %s on %q", key, permission, path)
	}
	return best, nil
}

// give hands on to a key what the giver has, on the giver's subtree or a part of it.
func (d *draft) createGrant(op *Op) error {
	if op.Grant == nil {
		return errors.New("grant: missing")
	}
	g := *op.Grant
	if g.Path == "" {
		g.Path = op.Path
	}
	if err := g.validate(); err != nil {
		return err
	}
	switch {
	case g.Path != op.Path:
		return fmt.Errorf("grant on %.80q: the operation is on %q", g.Path, op.Path)
	case d.Nodes[g.Path] == nil:
		return errors.New("no such account or team")
	case d.isRootKey(g.Key):
		return errors.New("the root needs no grant")
	case d.Grants[g.ID()] != nil:
		return fmt.Errorf("key %q has a grant here; revoke it first", g.Key)
	case len(d.Grants) >= maxGrants:
		return fmt.Errorf("%d grants, no more are kept", maxGrants)
	}
	parentGrant, err := d.findGrant(d.authorKey, g.Path, func(of *Grant) bool { return of.canDelegate(&g) }, "grants with all that it hands on, and depth left,")
	if err != nil {
		return err
	}
	g.GrantedBy, g.ParentID, g.Version = d.authorKey, "", d.Version
	if parentGrant != nil {
		g.ParentID = parentGrant.ID()
	}
	d.Grants[g.ID()] = &g
	return nil
}

func (g *Grant) validate() error {
	if len(g.PublicKey) != ed25519.PublicKeySize {
		return fmt.Errorf("key %.40q: %d bytes are no Ed25519 public key", g.Key, len(g.PublicKey))
	}
	if g.Key != KeyName(g.PublicKey) {
		return fmt.Errorf("key %.40q: its name is %q", g.Key, KeyName(g.PublicKey))
	}
	if g.DelegationDepth < 0 || g.DelegationDepth > maxDelegationDepth {
		return fmt.Errorf("depth %d: want 0 to %d", g.DelegationDepth, maxDelegationDepth)
	}
	for i, permission := range g.Permissions {
		if !slices.Contains([]string{PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants, PermissionContracts}, permission) || slices.Contains(g.Permissions[:i], permission) {
			return fmt.Errorf("act %.20q: want some of routes, limits, teams, grants and contracts, each once", permission)
		}
	}
	if len(g.Permissions) == 0 {
		return errors.New("acts: none")
	}
	return nil
}

// covers tells whether who has a grant may hand on another by it.
func (g *Grant) canDelegate(other *Grant) bool {
	return slices.Contains(g.Permissions, PermissionGrants) && g.DelegationDepth > other.DelegationDepth &&
		!slices.ContainsFunc(other.Permissions, func(act string) bool { return !slices.Contains(g.Permissions, act) })
}

// revoke takes away a grant and all that was given by it, down the line. Its own key may,
// who is in its line above, and who has a grant of grants on a path above.
func (d *draft) revokeGrant(op *Op) error {
	id := op.Name + "@" + op.Path
	g := d.Grants[id]
	if g == nil {
		return fmt.Errorf("key %.40q has no grant here", op.Name)
	}
	if d.authorKey != g.Key && !d.isGrantor(g) {
		if err := d.authorize(d.authorKey, PermissionGrants, parent(op.Path)); err != nil {
			return err
		}
	}
	revoked := map[string]bool{id: true}
	for more := !d.DisabledChecks.RevokeDescendants; more; {
		more = false
		for descendantID, descendant := range d.Grants {
			if revoked[descendant.ParentID] && !revoked[descendantID] {
				revoked[descendantID], more = true, true
			}
		}
	}
	for descendantID := range revoked {
		d.markChildRemoved(d.Grants[descendantID].Path)
		delete(d.Grants, descendantID)
	}
	return nil
}

// inLine tells whether a key gave a grant, or one above it in its line. Grants are never
// changed, only revoked with their line, so that a line has an end.
func (d *draft) isGrantor(g *Grant) bool {
	for range maxDelegationDepth + 1 {
		if g = d.Grants[g.ParentID]; g == nil {
			return false
		}
		if g.Key == d.authorKey {
			return true
		}
	}
	return false
}
