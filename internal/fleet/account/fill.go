package account

import (
	"cmp"
	"slices"
	"strings"
)

// limits returns those of a node or route.
func (s State) limits(path string) (Limits, bool) {
	if n := s.Nodes[path]; n != nil {
		return n.Limits, true
	}
	if r := s.Routes[path]; r != nil {
		return r.Limits, true
	}
	return Limits{}, false
}

// fill takes what a member was dealt of each limit down the tree. A child's right is what
// progressive filling of its parent's gives it for what this member wants (max-min fair),
// and all that no child wants, which is anybody's: the parent's count bounds it.
func (s State) fill(own Usage, dealt func(path string, i int, limit int64) int64) map[string]Amounts {
	below := map[string][]string{}
	for path := range s.Nodes {
		below[parent(path)] = append(below[parent(path)], path)
	}
	for path, r := range s.Routes {
		below[r.Owner] = append(below[r.Owner], path)
	}
	wants := own.Demand
	if s.DisabledChecks.LendingRecall {
		wants = own.Used
	}
	rights := make(map[string][shared]int64, len(s.Nodes)+len(s.Routes))
	var down func(above string, has [shared]int64)
	down = func(above string, has [shared]int64) {
		names := below[above]
		slices.Sort(names) // who has less of what can't be divided does not hang on the map
		caps, want := make([]int64, len(names)), make([]int64, len(names))
		for i := range has {
			for k, name := range names {
				l, _ := s.limits(name)
				caps[k] = has[i]
				if limit := l.thousandths()[i]; limit >= 0 {
					caps[k] = dealt(name, i, limit)
				}
				want[k] = ceil(wants[name].array()[i])
			}
			spread(has[i], caps, want)
			for k, name := range names {
				right := rights[name]
				right[i] = caps[k]
				rights[name] = right
			}
		}
		for _, name := range names {
			if !strings.Contains(name, ":") {
				down(name, rights[name])
			}
		}
	}
	down("", [shared]int64{-1, -1, -1, -1})
	all := make(map[string]Amounts, len(rights))
	for path, right := range rights {
		var a [shared]float64
		for i, x := range right {
			a[i] = float64(x)
		}
		all[path] = figuresOf(a)
	}
	return all
}

// spread fills the wants of siblings, none above its cap, from what there is: the least
// first, each with an equal part of what is left. What remains is added to each. Caps
// become rights. A negative figure is no bound.
func spread(has int64, caps, want []int64) {
	if has < 0 {
		return
	}
	order := make([]int, len(caps))
	for k := range caps {
		order[k] = k
		want[k] = min(want[k], caps[k])
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(want[a], want[b]) })
	left := has
	for done, k := range order {
		want[k] = min(want[k], left/int64(len(order)-done))
		left -= want[k]
	}
	for k := range caps {
		caps[k] = min(caps[k], want[k]+left)
	}
}
