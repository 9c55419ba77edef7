package account

import (
	"cmp"
	"fmt"
	"slices"
)

// child is a team or route whose limits count towards those of its parent.
type child struct {
	path     string
	isTeam   bool
	priority int
	limits   limitValues
}

// children returns the children of a node: the teams sorted by path, then the routes sorted by path.
func (s State) children(path string) []child {
	var all []child
	for name, node := range s.Nodes {
		if parent(name) == path {
			all = append(all, child{name, true, node.Priority, node.Limits.thousandths()})
		}
	}
	for name, route := range s.Routes {
		if route.Owner == path {
			all = append(all, child{name, false, route.Priority, route.Limits.thousandths()})
		}
	}
	slices.SortFunc(all, func(a, b child) int {
		return cmp.Or(compareTrueFirst(a.isTeam, b.isTeam), cmp.Compare(a.path, b.path))
	})
	return all
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// shrinkChildren reduces the limits of a node's children to the node's allowance, and recursively those
// of their children. An unlimited team counts with the whole limit of its parent.
func (d *draft) shrinkChildren(path, policy string) error {
	node := d.Nodes[path]
	children := d.children(path)
	before := slices.Clone(children)
	limit := node.Limits.thousandths()
	for kind, allowance := range node.childAllowance() {
		if allowance < 0 {
			continue
		}
		allowance -= countChildren(children, kind) * fixedPointScale
		if allowance < 0 {
			return fmt.Errorf("%q: has more %s than it would be allowed", path, limitNames[kind])
		}
		shrinkKind(childrenWithLimit(children, kind), kind, limit[kind], allowance, policy)
	}
	for i := range children {
		if children[i].limits == before[i].limits {
			continue
		}
		if err := d.replaceLimits(&children[i], policy); err != nil {
			return err
		}
	}
	return nil
}

// countChildren returns the number of routes if the kind is routesKind, of teams if it is teamsKind,
// and 0 for the other kinds.
func countChildren(children []child, kind int) int64 {
	count := int64(0)
	for i := range children {
		if kind == routesKind && !children[i].isTeam || kind == teamsKind && children[i].isTeam {
			count++
		}
	}
	return count
}

// childrenWithLimit returns the children whose limits of one kind count towards the parent's: all teams,
// and for amounts also the routes that are not unlimited.
func childrenWithLimit(children []child, kind int) []*child {
	var limited []*child
	for i := range children {
		candidate := &children[i]
		if candidate.isTeam || kind < amountKinds && candidate.limits[kind] >= 0 {
			limited = append(limited, candidate)
		}
	}
	return limited
}

// shrinkKind reduces the children's limits of one kind until their sum does not exceed the allowance.
// An unlimited child is first given the parent's limit.
func shrinkKind(children []*child, kind int, limit, allowance int64, policy string) {
	sum := int64(0)
	for _, sibling := range children {
		if sibling.limits[kind] < 0 {
			sibling.limits[kind] = limit
		}
		sum += sibling.limits[kind]
	}
	if sum <= allowance {
		return
	}
	if policy != ShrinkByPriority {
		for _, sibling := range children {
			sibling.limits[kind] = wholeCount(kind, mulDiv(sibling.limits[kind], allowance, sum))
		}
		return
	}
	slices.SortStableFunc(children, func(a, b *child) int { return cmp.Compare(a.priority, b.priority) })
	for _, sibling := range children {
		sibling.limits[kind] = wholeCount(kind, min(sibling.limits[kind], allowance))
		allowance -= sibling.limits[kind]
	}
}

// wholeCount rounds thousandths down to a whole number if the kind is a count of routes or teams.
func wholeCount(kind int, thousandths int64) int64 {
	if kind >= amountKinds {
		thousandths -= thousandths % fixedPointScale
	}
	return thousandths
}

// replaceLimits stores the reduced limits of a child in the draft, and shrinks the child's own children.
func (d *draft) replaceLimits(changed *child, policy string) error {
	limits := limitsFromThousandths(changed.limits)
	if !changed.isTeam {
		route := *d.Routes[changed.path]
		limits.Routes, limits.Teams = route.Limits.Routes, route.Limits.Teams
		route.Limits, route.Version = limits, d.Version
		d.Routes[changed.path] = &route
		return nil
	}
	team := *d.Nodes[changed.path]
	team.Limits, team.Version = limits, d.Version
	d.Nodes[changed.path] = &team
	d.markTotalsChanged(changed.path)
	return d.shrinkChildren(changed.path, policy)
}
