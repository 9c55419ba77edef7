package account

import (
	"cmp"
	"fmt"
	"slices"
)

// child is a team or route that holds a part of its parent's limits.
type child struct {
	path     string
	team     bool
	priority int
	f        [6]int64
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
	slices.SortFunc(all, func(a, b child) int { return cmp.Or(flag(a.team, b.team), cmp.Compare(a.path, b.path)) })
	return all
}

// flag orders what is true first.
func flag(a, b bool) int {
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
func (d *draft) shrink(path, how string) error {
	n := d.Nodes[path]
	all := d.children(path)
	limit, allowed := n.Limits.thousandths(), n.allowed()
	before := make([][6]int64, len(all))
	for i := range all {
		before[i] = all[i].f
	}
	for i, room := range allowed {
		if room < 0 {
			continue
		}
		var of []*child
		for k := range all {
			c := &all[k]
			if i == shared && !c.team || i > shared && c.team {
				room -= thousand // its own routes and teams
			}
			if c.team || i < shared && c.f[i] >= 0 {
				of = append(of, c)
			}
		}
		if room < 0 {
			return fmt.Errorf("%q: has more %s than it would be allowed", path, figureNames[i])
		}
		cut(of, i, limit[i], room, how)
	}
	for i, c := range all {
		if c.f == before[i] {
			continue
		}
		if !c.team {
			r := *d.Routes[c.path]
			routes, teams := r.Limits.Routes, r.Limits.Teams
			r.Limits, r.Version = limitsOf(c.f), d.Version
			r.Limits.Routes, r.Limits.Teams = routes, teams
			d.Routes[c.path] = &r
			continue
		}
		t := *d.Nodes[c.path]
		t.Limits, t.Version = limitsOf(c.f), d.Version
		d.Nodes[c.path] = &t
		d.touch(c.path)
		if err := d.shrink(c.path, how); err != nil {
			return err
		}
	}
	return nil
}

// cut brings one figure of some children within a room.
func cut(of []*child, i int, limit, room int64, how string) {
	sum := int64(0)
	for _, c := range of {
		if c.f[i] < 0 {
			c.f[i] = limit
		}
		sum += c.f[i]
	}
	if sum <= room {
		return
	}
	if how == ShrinkByPriority {
		slices.SortStableFunc(of, func(a, b *child) int { return cmp.Compare(a.priority, b.priority) })
	}
	for _, c := range of {
		if how == ShrinkByPriority {
			c.f[i] = min(c.f[i], room)
		} else {
			c.f[i] = times(c.f[i], room, sum)
		}
		if i >= shared {
			c.f[i] -= c.f[i] % thousand // counts are whole
		}
		if how == ShrinkByPriority {
			room -= c.f[i]
		}
	}
}
