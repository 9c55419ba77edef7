package account

import "fmt"

// subtreeTotals is what is below a node.
type subtreeTotals struct {
	sum          limitValues        // of its teams' and routes' limits, and the counts of its own routes and teams
	unbounded    [limitKinds]string // the first team without a bound
	subtreeCount limitValues        // routes and teams in the whole subtree
}

// addChild adds a direct child. kindCount is how many kinds of limits the child has, countKind the
// kind that counts children of its sort.
func (t *subtreeTotals) addChild(name string, limits Limits, kindCount, countKind int) {
	thousandths := limits.thousandths()
	for kind := range kindCount {
		t.sum[kind] += max(thousandths[kind], 0)
		isUnboundedTeam := thousandths[kind] < 0 && kindCount > amountKinds
		if isUnboundedTeam && (t.unbounded[kind] == "" || name < t.unbounded[kind]) {
			t.unbounded[kind] = name
		}
	}
	t.sum[countKind] += thousand
}

// totalsByPath are the totals of some nodes.
type totalsByPath map[string]*subtreeTotals

// add adds a team or route to the totals of its parent, and counts it on all levels above.
func (t totalsByPath) add(parentPath, name string, limits Limits, kindCount, countKind int) {
	if totals := t[parentPath]; totals != nil {
		totals.addChild(name, limits, kindCount, countKind)
	}
	for path := parentPath; path != ""; path = parent(path) {
		if totals := t[path]; totals != nil {
			totals.subtreeCount[countKind] += thousand
		}
	}
}

// subtreeTotals sums what is below each of some nodes, in one pass.
func (s State) subtreeTotals(nodes map[string]bool) totalsByPath {
	all := make(totalsByPath, len(nodes))
	for path := range nodes {
		all[path] = &subtreeTotals{}
	}
	for path, node := range s.Nodes {
		all.add(parent(path), path, node.Limits, limitKinds, teamsKind)
	}
	for path, route := range s.Routes {
		all.add(route.Owner, path, route.Limits, amountKinds, routesKind)
	}
	return all
}

// checkLimits checks that what is below each of some nodes is no more than the node may hold. A
// route without a bound has its owner's; a team must have one wherever its parent has.
func (s State) checkLimits(nodes map[string]bool) error {
	all := s.subtreeTotals(nodes)
	for _, path := range sortedKeys(nodes) {
		node := s.Nodes[path]
		if node == nil {
			continue
		}
		if err := node.checkTotals(path, all[path]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) checkTotals(path string, totals *subtreeTotals) error {
	limit, allowed := n.Limits.thousandths(), n.childAllowance()
	for kind, name := range limitNames {
		switch {
		case allowed[kind] < 0: // no bound
		case totals.unbounded[kind] != "":
			return fmt.Errorf("%q has no bound of %s, %q above it has", totals.unbounded[kind], name, path)
		case totals.sum[kind] > allowed[kind]:
			return fmt.Errorf("%q: its teams and routes would hold %s %v, at most %v are allowed (limit %v, overcommit %v)",
				path, name, float64(totals.sum[kind])/thousand, float64(allowed[kind])/thousand,
				float64(limit[kind])/thousand, max(n.Overcommit, 1))
		case totals.subtreeCount[kind] > limit[kind]:
			return fmt.Errorf("%q: %d %s in all, at most %d are allowed",
				path, totals.subtreeCount[kind]/thousand, name, limit[kind]/thousand)
		}
	}
	return nil
}
