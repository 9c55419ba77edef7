package account

import "fmt"

// subtreeTotals contains the totals of the teams and routes below a node.
type subtreeTotals struct {
	sum          limitValues        // limits of the direct children, and the numbers of routes and teams
	unbounded    [limitKinds]string // of the unlimited direct teams, the path that sorts first
	subtreeCount limitValues        // number of routes and teams in the whole subtree
}

// addChild adds a direct child. kindCount is the number of kinds of limits that the child has, and
// countKind is the kind that limits the number of such children: routesKind or teamsKind.
func (t *subtreeTotals) addChild(name string, limits Limits, kindCount, countKind int) {
	thousandths := limits.thousandths()
	for kind := range kindCount {
		t.sum[kind] += max(thousandths[kind], 0)
		isUnboundedTeam := thousandths[kind] < 0 && kindCount > amountKinds
		if isUnboundedTeam && (t.unbounded[kind] == "" || name < t.unbounded[kind]) {
			t.unbounded[kind] = name
		}
	}
	t.sum[countKind] += fixedPointScale
}

// totalsByPath contains the totals of nodes by path.
type totalsByPath map[string]*subtreeTotals

// add adds a team or route to the totals of its parent, and to the subtree counts of all ancestors.
func (t totalsByPath) add(parentPath, name string, limits Limits, kindCount, countKind int) {
	if totals := t[parentPath]; totals != nil {
		totals.addChild(name, limits, kindCount, countKind)
	}
	for path := parentPath; path != ""; path = parent(path) {
		if totals := t[path]; totals != nil {
			totals.subtreeCount[countKind] += fixedPointScale
		}
	}
}

// subtreeTotals computes the totals of the given nodes in one pass over the tree.
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

// checkLimits checks that the totals of each of the given nodes do not exceed the limits of the node.
// An unlimited route is subject to its owner's limits. A team must be limited wherever its parent is.
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
		case allowed[kind] < 0: // unlimited
		case totals.unbounded[kind] != "":
			return fmt.Errorf("%q has no bound of %s, %q above it has", totals.unbounded[kind], name, path)
		case totals.sum[kind] > allowed[kind]:
			return fmt.Errorf(
				"%q: its teams and routes would hold %s %v, at most %v are allowed (limit %v, overcommit %v)",
				path, name, float64(totals.sum[kind])/fixedPointScale, float64(allowed[kind])/fixedPointScale,
				float64(limit[kind])/fixedPointScale, max(n.Overcommit, 1))
		case totals.subtreeCount[kind] > limit[kind]:
			return fmt.Errorf("%q: %d %s in all, at most %d are allowed",
				path, totals.subtreeCount[kind]/fixedPointScale, name, limit[kind]/fixedPointScale)
		}
	}
	return nil
}
