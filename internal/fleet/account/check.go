package account

import "fmt"

// Check tells what of the whole tree does not hold, though every change has been looked at:
// sums, scopes, ties, and that each grant's line reaches the root unbroken.
func (s State) Validate() error {
	all := make(map[string]bool, len(s.Nodes))
	for path, n := range s.Nodes {
		if above := parent(path); above != "" && s.Nodes[above] == nil {
			return fmt.Errorf("%q: nothing above it", path)
		}
		if err := n.check(); err != nil {
			return fmt.Errorf("%q: %w", path, err)
		}
		all[path] = true
	}
	if err := s.sums(all); err != nil {
		return err
	}
	if err := s.scopes(func(string) bool { return true }); err != nil {
		return err
	}
	alike := map[named][]*Route{}
	for _, path := range sorted(s.Routes) {
		r := s.Routes[path]
		if s.Nodes[r.Owner] == nil || path != r.Path() {
			return fmt.Errorf("route %q: no owner, or another name", path)
		}
		if err := r.check(); err != nil {
			return fmt.Errorf("route %q: %w", path, err)
		}
		key := r.Match.named()
		for _, o := range alike[key] {
			if o.Match.Overlaps(&r.Match) {
				return fmt.Errorf("route %q: ties with route %q", path, o.Path())
			}
		}
		alike[key] = append(alike[key], r)
	}
	for _, id := range sorted(s.Grants) {
		g := s.Grants[id]
		if s.Nodes[g.Path] == nil || id != g.ID() {
			return fmt.Errorf("grant %q: no such path, or another name", id)
		}
		if err := g.check(); err != nil {
			return fmt.Errorf("grant %q: %w", id, err)
		}
		if from := s.Grants[g.ParentID]; g.ParentID != "" && (from == nil || from.Key != g.GrantedBy || !from.covers(g) || !inside(g.Path, from.Path)) {
			return fmt.Errorf("grant %q: not covered by %q, from which it came", id, g.ParentID)
		}
		if g.ParentID == "" && !s.isRoot(g.GrantedBy) {
			return fmt.Errorf("grant %q: the root did not give it", id)
		}
	}
	return nil
}
