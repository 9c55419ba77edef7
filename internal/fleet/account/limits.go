package account

import (
	"fmt"
	"math"
	"math/bits"
)

// Sums are reckoned in whole thousandths, so that every member, of whatever machine, comes
// to the same.
const thousand = 1000

var figureNames = [6]string{"open", "rate", "retries", "probes", "routes", "teams"}

const (
	shared   = 4 // figures that routes have too; the others are counts
	greatest = 1e9
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

func limitsOf(f [6]int64) Limits {
	var x [6]float64
	for i := range f {
		if x[i] = -1; f[i] >= 0 {
			x[i] = float64(f[i]) / thousand
		}
	}
	return Limits{Connections: x[0], SetupRate: x[1], RetryRate: x[2], ProbeRate: x[3], Routes: int(x[4]), Teams: int(x[5])}
}

func (l Limits) check() error {
	for i, x := range [6]float64{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)} {
		if !(x <= greatest && x >= -greatest) {
			return fmt.Errorf("%s %v: want at most %v, or a negative figure for no bound", figureNames[i], x, greatest)
		}
	}
	return nil
}

// allowed returns what the children of a node may hold together; negative where it has no
// bound.
func (n *Node) allowed() [6]int64 {
	f, over := n.Limits.thousandths(), int64(math.Round(max(n.Overcommit, 1)*thousand))
	for i := range f {
		if f[i] >= 0 {
			f[i] = times(f[i], over, thousand)
		}
	}
	return f
}

// times returns a * b / c, rounded down; the quotient must fit.
func times(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}

// held is what is below a node.
type held struct {
	sum       [6]int64  // of its teams' and routes' figures, and its own routes and teams
	unbounded [6]string // the first team without a bound
	inside    [6]int64  // routes and teams in the whole subtree
}

// below reckons what is below each of some nodes, in one pass.
func (s State) below(nodes map[string]bool) map[string]*held {
	all := make(map[string]*held, len(nodes))
	for path := range nodes {
		all[path] = &held{}
	}
	add := func(above, name string, l Limits, figures, count int) {
		if h := all[above]; h != nil {
			f := l.thousandths()
			for i := range figures {
				if h.sum[i] += max(f[i], 0); f[i] < 0 && figures > shared && (h.unbounded[i] == "" || name < h.unbounded[i]) {
					h.unbounded[i] = name
				}
			}
			h.sum[count] += thousand
		}
		for ; above != ""; above = parent(above) {
			if h := all[above]; h != nil {
				h.inside[count] += thousand
			}
		}
	}
	for path, n := range s.Nodes {
		add(parent(path), path, n.Limits, len(figureNames), 5)
	}
	for path, r := range s.Routes {
		add(r.Owner, path, r.Limits, shared, 4)
	}
	return all
}

// sums holds nodes to their limits: what is below each is no more than it may hold. A route
// without a bound has its owner's; a team has one wherever its parent has.
func (s State) sums(nodes map[string]bool) error {
	all := s.below(nodes)
	for _, path := range sorted(nodes) {
		n, h := s.Nodes[path], all[path]
		if n == nil {
			continue
		}
		limit, allowed := n.Limits.thousandths(), n.allowed()
		for i, name := range figureNames {
			switch {
			case allowed[i] < 0:
			case h.unbounded[i] != "":
				return fmt.Errorf("%q has no bound of %s, %q above it has", h.unbounded[i], name, path)
			case h.sum[i] > allowed[i]:
				return fmt.Errorf("%q: its teams and routes would hold %s %v, at most %v are allowed (limit %v, overcommit %v)", path, name,
					float64(h.sum[i])/thousand, float64(allowed[i])/thousand, float64(limit[i])/thousand, max(n.Overcommit, 1))
			case h.inside[i] > limit[i]:
				return fmt.Errorf("%q: %d %s in all, at most %d are allowed", path, h.inside[i]/thousand, name, limit[i]/thousand)
			}
		}
	}
	return nil
}

// holds looks at all that a change may have broken.
func (d *draft) holds() error {
	if !d.DisabledChecks.ParentLimit {
		if err := d.sums(d.touched); err != nil {
			return err
		}
	}
	for _, path := range sorted(d.put) {
		if err := d.ties(d.put[path]); err != nil {
			return err
		}
	}
	if len(d.scoped) == 0 {
		return nil
	}
	return d.scopes(func(path string) bool {
		for ; path != ""; path = parent(path) {
			if d.scoped[path] {
				return true
			}
		}
		return false
	})
}
