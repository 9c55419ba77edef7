package account

import "fmt"

// validateChanged checks the constraints that a change may have violated: limits, overlapping routes
// and scopes.
func (d *draft) validateChanged() error {
	if !d.DisabledChecks.ParentLimit {
		if err := d.checkLimits(d.changedTotals); err != nil {
			return err
		}
	}
	for _, path := range sortedKeys(d.changedRoutes) {
		if err := d.checkOverlap(d.changedRoutes[path]); err != nil {
			return err
		}
	}
	if len(d.changedScopes) == 0 {
		return nil
	}
	return d.checkScopes(d.isBelowChangedScope)
}

func (d *draft) isBelowChangedScope(path string) bool {
	for ; path != ""; path = parent(path) {
		if d.changedScopes[path] {
			return true
		}
	}
	return false
}

// Validate checks the whole tree and returns the first violation. It repeats the checks of each change,
// limits, scopes and overlapping routes, and verifies that each grant's delegation chain reaches the
// root.
func (s State) Validate() error {
	allPaths := make(map[string]bool, len(s.Nodes))
	for path, node := range s.Nodes {
		if err := s.validateNode(path, node); err != nil {
			return err
		}
		allPaths[path] = true
	}
	if err := s.checkLimits(allPaths); err != nil {
		return err
	}
	if err := s.checkScopes(func(string) bool { return true }); err != nil {
		return err
	}
	if err := s.validateRoutes(); err != nil {
		return err
	}
	for _, id := range sortedKeys(s.Grants) {
		if err := s.validateGrant(id, s.Grants[id]); err != nil {
			return err
		}
	}
	return nil
}

func (s State) validateNode(path string, node *Node) error {
	if parentPath := parent(path); parentPath != "" && s.Nodes[parentPath] == nil {
		return fmt.Errorf("%q: nothing above it", path)
	}
	if err := node.validate(); err != nil {
		return fmt.Errorf("%q: %w", path, err)
	}
	return nil
}

func (s State) validateRoutes() error {
	byMatchKey := map[matchKey][]*Route{}
	for _, path := range sortedKeys(s.Routes) {
		route := s.Routes[path]
		if s.Nodes[route.Owner] == nil || path != route.Path() {
			return fmt.Errorf("route %q: no owner, or another name", path)
		}
		if err := route.validate(); err != nil {
			return fmt.Errorf("route %q: %w", path, err)
		}
		key := route.Match.key()
		for _, other := range byMatchKey[key] {
			if other.Match.Overlaps(&route.Match) {
				return fmt.Errorf("route %q: ties with route %q", path, other.Path())
			}
		}
		byMatchKey[key] = append(byMatchKey[key], route)
	}
	return nil
}

func (s State) validateGrant(id string, grant *Grant) error {
	if s.Nodes[grant.Path] == nil || id != grant.ID() {
		return fmt.Errorf("grant %q: no such path, or another name", id)
	}
	if err := grant.validate(); err != nil {
		return fmt.Errorf("grant %q: %w", id, err)
	}
	if grant.ParentID != "" && !grant.isDelegatedFrom(s.Grants[grant.ParentID]) {
		return fmt.Errorf("grant %q: not covered by %q, from which it came", id, grant.ParentID)
	}
	if grant.ParentID == "" && !s.isRootKey(grant.GrantedBy) {
		return fmt.Errorf("grant %q: the root did not give it", id)
	}
	return nil
}

// isDelegatedFrom reports whether a grant is a valid delegation from parentGrant, which may be nil.
func (g *Grant) isDelegatedFrom(parentGrant *Grant) bool {
	return parentGrant != nil &&
		parentGrant.Key == g.GrantedBy &&
		parentGrant.canDelegate(g) &&
		isInSubtree(g.Path, parentGrant.Path)
}
