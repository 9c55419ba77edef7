package account

import (
	"cmp"
	"fmt"
	"slices"
)

// child is a team or route that holds a part of its parent's limits.
type child struct {
	path        string
	isTeam      bool
	priority    int
	thousandths [6]int64
}

// children returns those of a node by path, teams first.
func (s State) children(path string) (all []child) {
	for name, n := range s.Nodes {
		if parent(name) == path {
			all = append(all, child{name, true, n.Priority, n.Limits.thousandths()})
		}
	}
	for name, r := range s.Routes {
		if r.Owner == path {
			all = append(all, child{name, false, r.Priority, r.Limits.thousandths()})
		}
	}
	slices.SortFunc(all, func(a, b child) int { return cmp.Or(compareTrueFirst(a.isTeam, b.isTeam), cmp.Compare(a.path, b.path)) })
	return all
}

// flag orders what is true first.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// shrink cuts a node's children to what it may hold, and theirs where that cuts them. A
// team without a bound counts as holding all of its parent's limit.
func (d *draft) shrinkChildren(path, policy string) error {
	node := d.Nodes[path]
	children := d.children(path)
	limit, allowed := node.Limits.thousandths(), node.childAllowance()
	before := make([][6]int64, len(children))
	for kind := range children {
		before[kind] = children[kind].thousandths
	}
	for kind, allowance := range allowed {
		if allowance < 0 {
			continue
		}
		var holders []*child
		for i := range children {
			child := &children[i]
			if kind == amountKinds && !child.isTeam || kind > amountKinds && child.isTeam {
				allowance -= thousand // its own routes and teams
			}
			if child.isTeam || kind < amountKinds && child.thousandths[kind] >= 0 {
				holders = append(holders, child)
			}
		}
		if allowance < 0 {
			return fmt.Errorf("%q: has more %s than it would be allowed", path, limitNames[kind])
		}
		shrinkKind(holders, kind, limit[kind], allowance, policy)
	}
	for kind, child := range children {
		if child.thousandths == before[kind] {
			continue
		}
		if !child.isTeam {
			route := *d.Routes[child.path]
			routes, teams := route.Limits.Routes, route.Limits.Teams
			route.Limits, route.Version = limitsFromThousandths(child.thousandths), d.Version
			route.Limits.Routes, route.Limits.Teams = routes, teams
			d.Routes[child.path] = &route
			continue
		}
		team := *d.Nodes[child.path]
		team.Limits, team.Version = limitsFromThousandths(child.thousandths), d.Version
		d.Nodes[child.path] = &team
		d.markTotalsChanged(child.path)
		if err := d.shrinkChildren(child.path, policy); err != nil {
			return err
		}
	}
	return nil
}

// cut brings one figure of some children within a room.
func shrinkKind(holders []*child, kind int, limit, allowance int64, policy string) {
	sum := int64(0)
	for _, holder := range holders {
		if holder.thousandths[kind] < 0 {
			holder.thousandths[kind] = limit
		}
		sum += holder.thousandths[kind]
	}
	if sum <= allowance {
		return
	}
	if policy == ShrinkByPriority {
		slices.SortStableFunc(holders, func(a, b *child) int { return cmp.Compare(a.priority, b.priority) })
	}
	for _, holder := range holders {
		if policy == ShrinkByPriority {
			holder.thousandths[kind] = min(holder.thousandths[kind], allowance)
		} else {
			holder.thousandths[kind] = mulDiv(holder.thousandths[kind], allowance, sum)
		}
		if kind >= amountKinds {
			holder.thousandths[kind] -= holder.thousandths[kind] % thousand // counts are whole
		}
		if policy == ShrinkByPriority {
			allowance -= holder.thousandths[kind]
		}
	}
}
