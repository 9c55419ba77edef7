package account

import (
	"fmt"
	"slices"
	"strings"
)

// Indexes of the lists of a scope in the result of Scope.lists.
const (
	zonesList = iota
	tenantsList
	classesList
	scopeLists
)

var scopeNames = [scopeLists]string{"zones", "tenants", "classes"}

func (sc Scope) lists() [scopeLists][]string {
	return [scopeLists][]string{sc.Zones, sc.Tenants, sc.Classes}
}

func scopeOf(lists [scopeLists][]string) Scope {
	return Scope{Zones: lists[zonesList], Tenants: lists[tenantsList], Classes: lists[classesList]}
}

// effectiveScope returns the scope that applies to a path: each list is the node's own, or that of the
// nearest ancestor with a non-empty one.
func (s State) effectiveScope(path string) Scope {
	var lists [scopeLists][]string
	for ; path != ""; path = parent(path) {
		node := s.Nodes[path]
		if node == nil {
			continue
		}
		for i, list := range node.Scope.lists() {
			if len(lists[i]) == 0 {
				lists[i] = list
			}
		}
	}
	return scopeOf(lists)
}

// checkScopes checks the scopes of the selected nodes against the scope of the level above, and the
// routes of these nodes against the scope of their owner.
func (s State) checkScopes(selected func(path string) bool) error {
	for _, path := range sortedKeys(s.Nodes) {
		if !selected(path) {
			continue
		}
		if err := s.checkNodeScope(path); err != nil {
			return err
		}
	}
	for _, path := range sortedKeys(s.Routes) {
		route := s.Routes[path]
		if !selected(route.Owner) {
			continue
		}
		if err := s.checkRouteScope(route); err != nil {
			return err
		}
	}
	return nil
}

func (s State) checkNodeScope(path string) error {
	allowed := s.effectiveScope(parent(path)).lists()
	for i, list := range s.Nodes[path].Scope.lists() {
		for _, name := range list {
			if len(allowed[i]) > 0 && !slices.Contains(allowed[i], name) {
				return fmt.Errorf("%q: %.64q is none of the %s that %q has",
					path, name, scopeNames[i], parent(path))
			}
		}
	}
	return nil
}

// checkRouteScope checks the zones, the tenant and the class of a route against its owner's scope.
func (s State) checkRouteScope(route *Route) error {
	scope := s.effectiveScope(route.Owner)
	for _, share := range route.ZoneShares {
		if len(scope.Zones) > 0 && !slices.Contains(scope.Zones, share.Zone) {
			return fmt.Errorf("route %q: zone %.64q is none that %q may use",
				route.Path(), share.Zone, route.Owner)
		}
	}
	if err := checkMatchScope(route, "tenant", route.Match.Tenant, scope.Tenants); err != nil {
		return err
	}
	return checkMatchScope(route, "class", route.Match.Class, scope.Classes)
}

func checkMatchScope(route *Route, field, value string, allowed []string) error {
	if len(allowed) == 0 || slices.Contains(allowed, value) {
		return nil
	}
	return fmt.Errorf("route %q: %s %.64q, but %q may match only %s",
		route.Path(), field, value, route.Owner, strings.Join(allowed, ", "))
}

// checkScopeList checks the length and the names of one list of a node's scope.
func checkScopeList(listName string, list []string) error {
	if len(list) > maxScopeNames {
		return fmt.Errorf("%s: %d names, at most %d are kept", listName, len(list), maxScopeNames)
	}
	for i, name := range list {
		if name == "" || len(name) > maxLabelBytes || slices.Contains(list[:i], name) {
			return fmt.Errorf("%s: %.80q: empty, longer than 64 bytes or twice there", listName, name)
		}
	}
	return nil
}

// narrowScopes removes, from the scopes of all nodes below a node, the names that are no longer in the
// scope of the level above. It returns an error if a list would become empty.
func (d *draft) narrowScopes(top string) error {
	for _, path := range sortedKeys(d.Nodes) { // parents before their teams
		if path == top || !isInSubtree(path, top) {
			continue
		}
		if err := d.narrowScope(path); err != nil {
			return err
		}
	}
	return nil
}

func (d *draft) narrowScope(path string) error {
	node := *d.Nodes[path]
	allowed, lists := d.effectiveScope(parent(path)).lists(), node.Scope.lists()
	changed := false
	for i, list := range lists {
		if len(list) == 0 || len(allowed[i]) == 0 {
			continue
		}
		lists[i] = slices.DeleteFunc(slices.Clone(list), func(name string) bool {
			return !slices.Contains(allowed[i], name)
		})
		if len(lists[i]) == 0 {
			return fmt.Errorf("%q would have none of its %s left", path, scopeNames[i])
		}
		changed = changed || len(lists[i]) < len(list)
	}
	if !changed {
		return nil
	}
	node.Scope, node.Version = scopeOf(lists), d.Version
	d.Nodes[path] = &node
	d.changedScopes[path] = true
	return nil
}
