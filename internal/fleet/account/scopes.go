package account

import (
	"fmt"
	"slices"
	"strings"
)

// scopes holds what is in some subtrees to what the level above may use and match.
func (s State) checkScopes(selected func(path string) bool) error {
	for _, path := range sortedKeys(s.Nodes) {
		if !selected(path) {
			continue
		}
		parentLists := s.effectiveScope(parent(path)).lists()
		for i, list := range s.Nodes[path].Scope.lists() {
			for _, name := range list {
				if len(parentLists[i]) > 0 && !slices.Contains(parentLists[i], name) {
					return fmt.Errorf("%q: %.64q is none of the %s that %q has", path, name, scopeNames[i], parent(path))
				}
			}
		}
	}
	for _, path := range sortedKeys(s.Routes) {
		if r := s.Routes[path]; selected(r.Owner) {
			if err := s.checkRouteScope(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// routeScope holds a route to what its owner may use and match.
func (s State) checkRouteScope(r *Route) error {
	sc := s.effectiveScope(r.Owner)
	for _, p := range r.ZoneShares {
		if len(sc.Zones) > 0 && !slices.Contains(sc.Zones, p.Zone) {
			return fmt.Errorf("route %q: zone %.64q is none that %q may use", r.Path(), p.Zone, r.Owner)
		}
	}
	for i, name := range []string{r.Match.Tenant, r.Match.Class} {
		if list := sc.lists()[i+1]; len(list) > 0 && !slices.Contains(list, name) {
			return fmt.Errorf("route %q: %s %.64q, but %q may match only %s", r.Path(), []string{"tenant", "class"}[i], name, r.Owner, strings.Join(list, ", "))
		}
	}
	return nil
}
