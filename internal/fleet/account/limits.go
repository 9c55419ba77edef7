package account

import (
	"fmt"
	"math"
	"math/bits"
)

// The kinds of limits. The first amountKinds kinds limit amounts that are used at run time, and apply
// to routes too. The other kinds limit the number of routes and teams below a node.
const (
	connectionsKind = iota
	setupsKind
	retriesKind
	probesKind
	routesKind
	teamsKind
	limitKinds

	amountKinds = routesKind
)

// limitNames are the names of the kinds in errors. They equal the JSON keys of Limits.
var limitNames = [limitKinds]string{"open", "rate", "retries", "probes", "routes", "teams"}

// fixedPointScale is the number of thousandths in one unit. Sums are computed in whole thousandths so
// that all members compute the same result on any machine.
const fixedPointScale = 1000

// maxLimit is the maximum limit of any kind, and the maximum amount in a member's report.
const maxLimit = 1e9

// limitValues holds the limits of all kinds in thousandths; a negative value is unlimited.
type limitValues [limitKinds]int64

func (l Limits) values() [limitKinds]float64 {
	return [limitKinds]float64{
		l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)}
}

func (l Limits) thousandths() (thousandths limitValues) {
	for kind, value := range l.values() {
		thousandths[kind] = -1
		if value >= 0 {
			thousandths[kind] = int64(math.Round(value * fixedPointScale))
		}
	}
	return thousandths
}

func limitsFromThousandths(thousandths limitValues) Limits {
	var values [limitKinds]float64
	for kind := range thousandths {
		values[kind] = -1
		if thousandths[kind] >= 0 {
			values[kind] = float64(thousandths[kind]) / fixedPointScale
		}
	}
	return Limits{
		Connections: values[connectionsKind],
		SetupRate:   values[setupsKind],
		RetryRate:   values[retriesKind],
		ProbeRate:   values[probesKind],
		Routes:      int(values[routesKind]),
		Teams:       int(values[teamsKind]),
	}
}

func (l Limits) validate() error {
	for kind, value := range l.values() {
		if !(value <= maxLimit && value >= -maxLimit) { // also true for NaN
			return fmt.Errorf("%s %v: want at most %v, or a negative figure for no bound",
				limitNames[kind], value, maxLimit)
		}
	}
	return nil
}

// childAllowance returns the maximum sum of the limits of a node's children: the limits of the node
// times its overcommit.
func (n *Node) childAllowance() limitValues {
	allowance := n.Limits.thousandths()
	overcommit := int64(math.Round(max(n.Overcommit, 1) * fixedPointScale))
	for kind := range allowance {
		if allowance[kind] >= 0 {
			allowance[kind] = mulDiv(allowance[kind], overcommit, fixedPointScale)
		}
	}
	return allowance
}

// mulDiv returns a * b / c for non-negative values, rounded down. The quotient must fit into an int64.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	quotient, _ := bits.Div64(hi, lo, uint64(c))
	return int64(quotient)
}
