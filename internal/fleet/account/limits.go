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
func (l Limits) thousandths() (thousandths [6]int64) {
	for kind, value := range [6]float64{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)} {
		thousandths[kind] = -1
		if value >= 0 {
			thousandths[kind] = int64(math.Round(value * thousand))
		}
	}
	return thousandths
}

func limitsFromThousandths(thousandths [6]int64) Limits {
	var values [6]float64
	for kind := range thousandths {
		if values[kind] = -1; thousandths[kind] >= 0 {
			values[kind] = float64(thousandths[kind]) / thousand
		}
	}
	return Limits{Connections: values[0], SetupRate: values[1], RetryRate: values[2], ProbeRate: values[3], Routes: int(values[4]), Teams: int(values[5])}
}

func (l Limits) validate() error {
	for kind, value := range [6]float64{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)} {
		if !(value <= maxLimit && value >= -maxLimit) {
			return fmt.Errorf("%s %v: want at most %v, or a negative figure for no bound", limitNames[kind], value, maxLimit)
		}
	}
	return nil
}

// allowed returns what the children of a node may hold together; negative where it has no
// bound.
func (n *Node) childAllowance() [6]int64 {
	allowance, overcommit := n.Limits.thousandths(), int64(math.Round(max(n.Overcommit, 1)*thousand))
	for kind := range allowance {
		if allowance[kind] >= 0 {
			allowance[kind] = mulDiv(allowance[kind], overcommit, thousand)
		}
	}
	return allowance
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
	add := func(parentPath, name string, limits Limits, kindCount, countKind int) {
		if totals := all[parentPath]; totals != nil {
			thousandths := limits.thousandths()
			for kind := range kindCount {
				if totals.sum[kind] += max(thousandths[kind], 0); thousandths[kind] < 0 && kindCount > amountKinds && (totals.unbounded[kind] == "" || name < totals.unbounded[kind]) {
					totals.unbounded[kind] = name
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
		for kind, name := range limitNames {
			switch {
			case allowed[kind] < 0:
			case totals.unbounded[kind] != "":
				return fmt.Errorf("%q has no bound of %s, %q above it has", totals.unbounded[kind], name, path)
			case totals.sum[kind] > allowed[kind]:
				return fmt.Errorf("%q: its teams and routes would hold %s %v, at most %v are allowed (limit %v, overcommit %v)", path, name,
					float64(totals.sum[kind])/thousand, float64(allowed[kind])/thousand, float64(limit[kind])/thousand, max(node.Overcommit, 1))
			case totals.subtreeCount[kind] > limit[kind]:
				return fmt.Errorf("%q: %d %s in all, at most %d are allowed", path, totals.subtreeCount[kind]/thousand, name, limit[kind]/thousand)
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
