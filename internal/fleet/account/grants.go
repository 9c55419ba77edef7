package account

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
)

// permissions lists all permissions that a grant may hold.
var permissions = []string{
	PermissionRoutes, PermissionLimits, PermissionTeams, PermissionGrants, PermissionContracts}

// authorize returns an error if a key does not have a permission on a path. The empty key, which stands
// for a member of the fleet, never has one.
func (s State) authorize(key, permission, path string) error {
	hasPermission := func(grant *Grant) bool { return slices.Contains(grant.Permissions, permission) }
	_, err := s.findGrant(key, path, hasPermission, permission)
	return err
}

// findGrant returns the suitable grant of a key that covers a path; if there are several, the one whose
// path sorts first. It returns nil for the root key, which needs no grant. Only the root key may act on
// the empty path, which is the parent of all accounts. The error contains the permission.
func (s State) findGrant(key, path string, isSuitable func(*Grant) bool, permission string) (*Grant, error) {
	if s.isRootKey(key) {
		return nil, nil
	}
	var best *Grant
	for _, grant := range s.Grants {
		if grant.Key != key || !isSuitable(grant) || !s.coversPath(grant, path) {
			continue
		}
		if best == nil || grant.Path < best.Path {
			best = grant
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

func (s State) coversPath(grant *Grant, path string) bool {
	return path != "" && isInSubtree(path, grant.Path) || s.DisabledChecks.GrantSubtree
}

// createGrant delegates permissions of the author to a key, on the author's subtree or a part of it.
func (d *draft) createGrant(op *Op) error {
	if op.Grant == nil {
		return errors.New("grant: missing")
	}
	grant := *op.Grant
	if grant.Path == "" {
		grant.Path = op.Path
	}
	if err := grant.validate(); err != nil {
		return err
	}
	if err := d.checkNewGrant(op, &grant); err != nil {
		return err
	}
	canDelegate := func(candidate *Grant) bool { return candidate.canDelegate(&grant) }
	parentGrant, err := d.findGrant(d.authorKey, grant.Path, canDelegate,
		"grants with all that it hands on, and depth left,")
	if err != nil {
		return err
	}
	grant.GrantedBy, grant.ParentID, grant.Version = d.authorKey, "", d.Version
	if parentGrant != nil {
		grant.ParentID = parentGrant.ID()
	}
	d.Grants[grant.ID()] = &grant
	return nil
}

// checkNewGrant checks a new grant against the tree, regardless of its author.
func (d *draft) checkNewGrant(op *Op, grant *Grant) error {
	switch {
	case grant.Path != op.Path:
		return fmt.Errorf("grant on %.80q: the operation is on %q", grant.Path, op.Path)
	case d.Nodes[grant.Path] == nil:
		return errors.New("no such account or team")
	case d.isRootKey(grant.Key):
		return errors.New("the root needs no grant")
	case d.Grants[grant.ID()] != nil:
		return fmt.Errorf("key %q has a grant here; revoke it first", grant.Key)
	case len(d.Grants) >= maxGrants:
		return fmt.Errorf("%d grants, no more are kept", maxGrants)
	}
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
		if !slices.Contains(permissions, permission) || slices.Contains(g.Permissions[:i], permission) {
			return fmt.Errorf(
				"act %.20q: want some of routes, limits, teams, grants and contracts, each once", permission)
		}
	}
	if len(g.Permissions) == 0 {
		return errors.New("acts: none")
	}
	return nil
}

// canDelegate reports whether the holder of grant g may create another grant from it.
func (g *Grant) canDelegate(other *Grant) bool {
	if !slices.Contains(g.Permissions, PermissionGrants) || g.DelegationDepth <= other.DelegationDepth {
		return false
	}
	for _, permission := range other.Permissions {
		if !slices.Contains(g.Permissions, permission) {
			return false
		}
	}
	return true
}

// revokeGrant removes a grant and all grants delegated from it, directly or indirectly. The key of the
// grant, the keys above it in its delegation chain, and the keys with PermissionGrants on the parent
// path may revoke it.
func (d *draft) revokeGrant(op *Op) error {
	id := op.Name + "@" + op.Path
	grant := d.Grants[id]
	if grant == nil {
		return fmt.Errorf("key %.40q has no grant here", op.Name)
	}
	if d.authorKey != grant.Key && !d.isGrantor(grant) {
		if err := d.authorize(d.authorKey, PermissionGrants, parent(op.Path)); err != nil {
			return err
		}
	}
	for revokedID := range d.withDescendants(id) {
		d.markChildRemoved(d.Grants[revokedID].Path)
		delete(d.Grants, revokedID)
	}
	return nil
}

// withDescendants returns the IDs of a grant and of all grants delegated from it.
func (d *draft) withDescendants(id string) map[string]bool {
	found := map[string]bool{id: true}
	for more := !d.DisabledChecks.RevokeDescendants; more; {
		more = false
		for descendantID, descendant := range d.Grants {
			if found[descendant.ParentID] && !found[descendantID] {
				found[descendantID], more = true, true
			}
		}
	}
	return found
}

// isGrantor reports whether the author created a grant or one above it in its delegation chain. Chains
// are finite, because grants are never changed, only revoked together with their descendants.
func (d *draft) isGrantor(grant *Grant) bool {
	for range maxDelegationDepth + 1 {
		grant = d.Grants[grant.ParentID]
		if grant == nil {
			return false
		}
		if grant.Key == d.authorKey {
			return true
		}
	}
	return false
}
