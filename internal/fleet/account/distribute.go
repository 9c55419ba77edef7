package account

import (
	"cmp"
	"slices"
	"strings"
)

// limitsAt returns the limits of a node or route.
func (s State) limitsAt(path string) (Limits, bool) {
	if node := s.Nodes[path]; node != nil {
		return node.Limits, true
	}
	if route := s.Routes[path]; route != nil {
		return route.Limits, true
	}
	return Limits{}, false
}

// A shareFunc returns a member's share of one limit of a path. The limit is given in thousandths.
type shareFunc func(path string, kind int, limit int64) int64

// amountValues holds the amounts of all kinds in whole tokens; a negative value is unlimited.
type amountValues [amountKinds]int64

// distribution distributes a member's shares of the limits from each node to its children.
type distribution struct {
	state       State
	memberShare shareFunc
	demand      map[string]Amounts
	children    map[string][]string // paths of the children by path of the parent
	allocated   map[string]amountValues
}

// distribute returns the amounts that a member may use on each path. A child is allocated its max-min
// fair share of the parent's allocation for this member's demand, plus the whole remainder that no
// sibling demands. Every sibling is allocated the same remainder; the usage counted on the parent
// limits their sum.
func (s State) distribute(ownUsage Usage, memberShare shareFunc) map[string]Amounts {
	d := &distribution{
		state:       s,
		memberShare: memberShare,
		demand:      ownUsage.Demand,
		children:    s.childPaths(),
		allocated:   make(map[string]amountValues, len(s.Nodes)+len(s.Routes)),
	}
	if s.DisabledChecks.LendingRecall {
		d.demand = ownUsage.Used
	}
	d.descend("", amountValues{-1, -1, -1, -1})
	result := make(map[string]Amounts, len(d.allocated))
	for path, allocated := range d.allocated {
		var values [amountKinds]float64
		for kind, amount := range allocated {
			values[kind] = float64(amount)
		}
		result[path] = amountsOf(values)
	}
	return result
}

// childPaths returns the paths of teams and routes by the path of their parent, and those of accounts
// by the empty path.
func (s State) childPaths() map[string][]string {
	children := map[string][]string{}
	for path := range s.Nodes {
		children[parent(path)] = append(children[parent(path)], path)
	}
	for path, route := range s.Routes {
		children[route.Owner] = append(children[route.Owner], path)
	}
	return children
}

// descend allocates the available amounts to the children of a path, and recursively to theirs.
func (d *distribution) descend(parentPath string, available amountValues) {
	paths := d.children[parentPath]
	slices.Sort(paths) // the order decides which child has less if an amount is not divisible
	for kind := range available {
		d.allocateKind(paths, kind, available[kind])
	}
	for _, path := range paths {
		if isNode := !strings.Contains(path, ":"); isNode {
			d.descend(path, d.allocated[path])
		}
	}
}

// allocateKind allocates the parent's amount of one kind among siblings.
func (d *distribution) allocateKind(paths []string, kind int, available int64) {
	caps, demands := make([]int64, len(paths)), make([]int64, len(paths))
	for i, path := range paths {
		limits, _ := d.state.limitsAt(path)
		caps[i] = available
		if limit := limits.thousandths()[kind]; limit >= 0 {
			caps[i] = d.memberShare(path, kind, limit)
		}
		demands[i] = ceilTokens(d.demand[path].values()[kind])
	}
	fillMaxMin(available, caps, demands)
	for i, path := range paths {
		amounts := d.allocated[path]
		amounts[kind] = caps[i]
		d.allocated[path] = amounts
	}
}

// fillMaxMin allocates the available amount to siblings by progressive filling: in ascending order of
// demand, each receives its demand, up to its cap and to an equal part of the remaining amount. The
// final remainder is then added to every sibling, up to its cap. The allocations are stored in caps.
// If the available amount is negative, it is unlimited and the caps are unchanged.
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
