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

// An allotFunc returns a member's part of one limit, given in thousandths, of a path.
type allotFunc func(path string, kind int, limit int64) int64

// amountValues are amounts of all kinds in whole tokens; negative for no bound.
type amountValues [amountKinds]int64

// distribution takes a member's parts of the limits down the tree.
type distribution struct {
	state     State
	allot     allotFunc
	demand    map[string]Amounts
	children  map[string][]string // paths by their parent's
	allocated map[string]amountValues
}

// distribute returns what a member may use of each path. A child is allocated what max-min
// fairness among its siblings gives it of its parent's allocation, for what this member demands,
// and all that none of them demands, which is open to each: the parent's count bounds it.
func (s State) distribute(ownUsage Usage, allot allotFunc) map[string]Amounts {
	d := &distribution{
		state:     s,
		allot:     allot,
		demand:    ownUsage.Demand,
		children:  s.childPaths(),
		allocated: make(map[string]amountValues, len(s.Nodes)+len(s.Routes)),
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

// childPaths returns the paths of teams and routes by their parent's, accounts' by the empty path.
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

// descend allocates to the children of a path, and to theirs.
func (d *distribution) descend(parentPath string, available amountValues) {
	paths := d.children[parentPath]
	slices.Sort(paths) // the order decides who has less of what can't be divided
	for kind := range available {
		d.fillKind(paths, kind, available[kind])
	}
	for _, path := range paths {
		if isNode := !strings.Contains(path, ":"); isNode {
			d.descend(path, d.allocated[path])
		}
	}
}

// fillKind allocates one kind of their parent's allocation among siblings.
func (d *distribution) fillKind(paths []string, kind int, available int64) {
	caps, demands := make([]int64, len(paths)), make([]int64, len(paths))
	for i, path := range paths {
		limits, _ := d.state.limitsAt(path)
		caps[i] = available
		if limit := limits.thousandths()[kind]; limit >= 0 {
			caps[i] = d.allot(path, kind, limit)
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

// fillMaxMin serves the demands of siblings, none above its cap, from what is available: the least
// first, each with an equal part of what remains (progressive filling). What remains in the end is
// added to each. It leaves the allocations in caps. A negative amount is no bound.
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
