package account

import (
	"fmt"
	"math"
	"math/bits"
)

// Sums are reckoned in whole thousandths, so that every member, of whatever machine, comes
// to the same.
const thousand = 1000

var limitNames = [6]string{"open", "rate", "retries", "probes", "routes", "teams"}

const (
	amountKinds = 4 // figures that routes have too; the others are counts
	maxLimit    = 1e9
)

// thousandths returns the figures; one without a bound is negative.
func (l Limits) thousandths() (f [6]int64) {
	for i, x := range [6]float64{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)} {
		f[i] = -1
		if x >= 0 {
			f[i] = int64(math.Round(x * thousand))
		}
	}
	return f
}

func limitsFromThousandths(thousandths [6]int64) Limits {
	var values [6]float64
	for i := range thousandths {
		if values[i] = -1; thousandths[i] >= 0 {
			values[i] = float64(thousandths[i]) / thousand
		}
	}
	return Limits{Connections: values[0], SetupRate: values[1], RetryRate: values[2], ProbeRate: values[3], Routes: int(values[4]), Teams: int(values[5])}
}

func (l Limits) validate() error {
	for i, x := range [6]float64{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)} {
		if !(x <= maxLimit && x >= -maxLimit) {
			return fmt.Errorf("%s %v: want at most %v, or a negative figure for no bound", limitNames[i], x, maxLimit)
		}
	}
	return nil
}

// allowed returns what the children of a node may hold together; negative where it has no
// bound.
func (n *Node) childAllowance() [6]int64 {
	f, over := n.Limits.thousandths(), int64(math.Round(max(n.Overcommit, 1)*thousand))
	for i := range f {
		if f[i] >= 0 {
			f[i] = mulDiv(f[i], over, thousand)
		}
	}
	return f
}

// times returns a * b / c, rounded down; the quotient must fit.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}

// held is what is below a node.
type subtreeTotals struct {
	sum          [6]int64  // of its teams' and routes' figures, and its own routes and teams
	unbounded    [6]string // the first team without a bound
	subtreeCount [6]int64  // routes and teams in the whole subtree
}

// below reckons what is below each of some nodes, in one pass.
func (s State) subtreeTotals(nodes map[string]bool) map[string]*subtreeTotals {
	all := make(map[string]*subtreeTotals, len(nodes))
	for path := range nodes {
		all[path] = &subtreeTotals{}
	}
	add := func(parentPath, name string, limits Limits, kinds, countKind int) {
		if totals := all[parentPath]; totals != nil {
			thousandths := limits.thousandths()
			for i := range kinds {
				if totals.sum[i] += max(thousandths[i], 0); thousandths[i] < 0 && kinds > amountKinds && (totals.unbounded[i] == "" || name < totals.unbounded[i]) {
					totals.unbounded[i] = name
				}
			}
			totals.sum[countKind] += thousand
		}
		for ; parentPath != ""; parentPath = parent(parentPath) {
			if totals := all[parentPath]; totals != nil {
				totals.subtreeCount[countKind] += thousand
			}
		}
	}
	for path, n := range s.Nodes {
		add(parent(path), path, n.Limits, len(limitNames), 5)
	}
	for path, r := range s.Routes {
		add(r.Owner, path, r.Limits, amountKinds, 4)
	}
	return all
}

// sums holds nodes to their limits: what is below each is no more than it may hold. A route
// without a bound has its owner's; a team has one wherever its parent has.
func (s State) checkLimits(nodes map[string]bool) error {
	all := s.subtreeTotals(nodes)
	for _, path := range sortedKeys(nodes) {
		node, totals := s.Nodes[path], all[path]
		if node == nil {
			continue
		}
		limit, allowed := node.Limits.thousandths(), node.childAllowance()
		for i, name := range limitNames {
			switch {
			case allowed[i] < 0:
			case totals.unbounded[i] != "":
				return fmt.Errorf("%q has no bound of %s, %q above it has", totals.unbounded[i], name, path)
			case totals.sum[i] > allowed[i]:
				return fmt.Errorf("%q: its teams and routes would hold %s %v, at most %v are allowed (limit %v, overcommit %v)", path, name,
					float64(totals.sum[i])/thousand, float64(allowed[i])/thousand, float64(limit[i])/thousand, max(node.Overcommit, 1))
			case totals.subtreeCount[i] > limit[i]:
				return fmt.Errorf("%q: %d %s in all, at most %d are allowed", path, totals.subtreeCount[i]/thousand, name, limit[i]/thousand)
			}
		}
	}
	return nil
}

// holds looks at all that a change may have broken.
func (d *draft) validateChanged() error {
	if !d.DisabledChecks.ParentLimit {
		if err := d.checkLimits(d.changedTotals); err != nil {
			return err
		}
	}
	for _, path := range sortedKeys(d.changedRoutes) {
		if err := d.checkOverlap(d.changedRoutes[path]); err != nil {
			return err
		}
	}
	if len(d.changedScopes) == 0 {
		return nil
	}
	return d.checkScopes(func(path string) bool {
		for ; path != ""; path = parent(path) {
			if d.changedScopes[path] {
				return true
			}
		}
		return false
	})
}
