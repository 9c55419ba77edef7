package account

import (
	"cmp"
	"slices"
	"strings"
)

// limits returns those of a node or route.
func (s State) limitsAt(path string) (Limits, bool) {
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
func (s State) distribute(ownUsage Usage, allot func(path string, kind int, limit int64) int64) map[string]Amounts {
	childrenOf := map[string][]string{}
	for path := range s.Nodes {
		childrenOf[parent(path)] = append(childrenOf[parent(path)], path)
	}
	for path, route := range s.Routes {
		childrenOf[route.Owner] = append(childrenOf[route.Owner], path)
	}
	demand := ownUsage.Demand
	if s.DisabledChecks.LendingRecall {
		demand = ownUsage.Used
	}
	allocated := make(map[string][amountKinds]int64, len(s.Nodes)+len(s.Routes))
	var descend func(parentPath string, available [amountKinds]int64)
	descend = func(parentPath string, available [amountKinds]int64) {
		names := childrenOf[parentPath]
		slices.Sort(names) // who has less of what can't be divided does not hang on the map
		caps, demands := make([]int64, len(names)), make([]int64, len(names))
		for kind := range available {
			for i, name := range names {
				limits, _ := s.limitsAt(name)
				caps[i] = available[kind]
				if limit := limits.thousandths()[kind]; limit >= 0 {
					caps[i] = allot(name, kind, limit)
				}
				demands[i] = ceilToken(demand[name].values()[kind])
			}
			fillMaxMin(available[kind], caps, demands)
			for i, name := range names {
				amounts := allocated[name]
				amounts[kind] = caps[i]
				allocated[name] = amounts
			}
		}
		for _, name := range names {
			if !strings.Contains(name, ":") {
				descend(name, allocated[name])
			}
		}
	}
	descend("", [amountKinds]int64{-1, -1, -1, -1})
	result := make(map[string]Amounts, len(allocated))
	for path, amounts := range allocated {
		var values [amountKinds]float64
		for kind, amount := range amounts {
			values[kind] = float64(amount)
		}
		result[path] = amountsOf(values)
	}
	return result
}

// spread fills the wants of siblings, none above its cap, from what there is: the least
// first, each with an equal part of what is left. What remains is added to each. Caps
// become rights. A negative figure is no bound.
func fillMaxMin(available int64, caps, demands []int64) {
	if available < 0 {
		return
	}
	order := make([]int, len(caps))
	for i := range caps {
		order[i] = i
		demands[i] = min(demands[i], caps[i])
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(demands[a], demands[b]) })
	remaining := available
	for served, i := range order {
		demands[i] = min(demands[i], remaining/int64(len(order)-served))
		remaining -= demands[i]
	}
	for i := range caps {
		caps[i] = min(caps[i], demands[i]+remaining)
	}
}
