package account

import "fmt"

// Check tells what of the whole tree does not hold, though every change has been looked at:
// sums, scopes, ties, and that each grant's line reaches the root unbroken.
func (s State) Validate() error {
	allPaths := make(map[string]bool, len(s.Nodes))
	for path, n := range s.Nodes {
		if parentPath := parent(path); parentPath != "" && s.Nodes[parentPath] == nil {
			return fmt.Errorf("%q: nothing above it", path)
		}
		if err := n.validate(); err != nil {
			return fmt.Errorf("%q: %w", path, err)
		}
		allPaths[path] = true
	}
	if err := s.checkLimits(allPaths); err != nil {
		return err
	}
	if err := s.checkScopes(func(string) bool { return true }); err != nil {
		return err
	}
	byMatchKey := map[matchKey][]*Route{}
	for _, path := range sortedKeys(s.Routes) {
		r := s.Routes[path]
		if s.Nodes[r.Owner] == nil || path != r.Path() {
			return fmt.Errorf("route %q: no owner, or another name", path)
		}
		if err := r.validate(); err != nil {
			return fmt.Errorf("route %q: %w", path, err)
		}
		key := r.Match.key()
		for _, other := range byMatchKey[key] {
			if other.Match.Overlaps(&r.Match) {
				return fmt.Errorf("route %q: ties with route %q", path, other.Path())
			}
		}
		byMatchKey[key] = append(byMatchKey[key], r)
	}
	for _, id := range sortedKeys(s.Grants) {
		g := s.Grants[id]
		if s.Nodes[g.Path] == nil || id != g.ID() {
			return fmt.Errorf("grant %q: no such path, or another name", id)
		}
		if err := g.validate(); err != nil {
			return fmt.Errorf("grant %q: %w", id, err)
		}
		if parentGrant := s.Grants[g.ParentID]; g.ParentID != "" && (parentGrant == nil || parentGrant.Key != g.GrantedBy || !parentGrant.canDelegate(g) || !isInSubtree(g.Path, parentGrant.Path)) {
			return fmt.Errorf("grant %q: not covered by %q, from which it came", id, g.ParentID)
		}
		if g.ParentID == "" && !s.isRootKey(g.GrantedBy) {
			return fmt.Errorf("grant %q: the root did not give it", id)
		}
	}
	return nil
}
