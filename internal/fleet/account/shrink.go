package account

import (
	"cmp"
	"fmt"
	"slices"
)

// child is a team or route that holds a part of its parent's limits.
type child struct {
	path     string
	isTeam   bool
	priority int
	limits   limitValues
}

// children returns those of a node by path, teams first.
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

// shrinkChildren cuts a node's children to what it may hold, and theirs where that cuts them. A
// team without a bound counts as holding all of its parent's limit.
func (d *draft) shrinkChildren(path, policy string) error {
	node := d.Nodes[path]
	children := d.children(path)
	before := slices.Clone(children)
	limit := node.Limits.thousandths()
	for kind, allowance := range node.childAllowance() {
		if allowance < 0 {
			continue
		}
		allowance -= countedChildren(children, kind) * thousand
		if allowance < 0 {
			return fmt.Errorf("%q: has more %s than it would be allowed", path, limitNames[kind])
		}
		shrinkKind(holdersOf(children, kind), kind, limit[kind], allowance, policy)
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

// countedChildren returns how many of the children count towards a kind themselves: routes or
// teams.
func countedChildren(children []child, kind int) int64 {
	count := int64(0)
	for i := range children {
		if kind == routesKind && !children[i].isTeam || kind == teamsKind && children[i].isTeam {
			count++
		}
	}
	return count
}

// holdersOf returns the children that hold a part of one kind of limit. A route without a bound
// holds none.
func holdersOf(children []child, kind int) []*child {
	var holders []*child
	for i := range children {
		candidate := &children[i]
		if candidate.isTeam || kind < amountKinds && candidate.limits[kind] >= 0 {
			holders = append(holders, candidate)
		}
	}
	return holders
}

// shrinkKind cuts one kind of some children's limits to what they may hold together.
func shrinkKind(holders []*child, kind int, limit, allowance int64, policy string) {
	sum := int64(0)
	for _, holder := range holders {
		if holder.limits[kind] < 0 {
			holder.limits[kind] = limit
		}
		sum += holder.limits[kind]
	}
	if sum <= allowance {
		return
	}
	if policy != ShrinkByPriority {
		for _, holder := range holders {
			holder.limits[kind] = wholeCount(kind, mulDiv(holder.limits[kind], allowance, sum))
		}
		return
	}
	slices.SortStableFunc(holders, func(a, b *child) int { return cmp.Compare(a.priority, b.priority) })
	for _, holder := range holders {
		holder.limits[kind] = wholeCount(kind, min(holder.limits[kind], allowance))
		allowance -= holder.limits[kind]
	}
}

// wholeCount rounds thousandths down to a whole number where the kind is a count.
func wholeCount(kind int, thousandths int64) int64 {
	if kind >= amountKinds {
		thousandths -= thousandths % thousand
	}
	return thousandths
}

// replaceLimits puts a child's new limits into the draft, and shrinks its own children.
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
