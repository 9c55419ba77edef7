package account

import (
	"fmt"
	"math"
	"math/bits"
)

// The kinds of limits. The first amountKinds are amounts that are used at run time, which
// routes are limited in too; the others are counts of children.
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

// limitNames are what errors call the kinds, as the JSON keys of Limits do.
var limitNames = [limitKinds]string{"open", "rate", "retries", "probes", "routes", "teams"}

// Sums are computed in whole thousandths, so that every member, on whatever machine, comes to the
// same result.
const thousand = 1000

// maxLimit is the greatest limit of any kind, and the greatest amount that a member can report.
const maxLimit = 1e9

// limitValues are limits of all kinds in thousandths; negative for no bound.
type limitValues [limitKinds]int64

func (l Limits) values() [limitKinds]float64 {
	return [limitKinds]float64{l.Connections, l.SetupRate, l.RetryRate, l.ProbeRate, float64(l.Routes), float64(l.Teams)}
}

func (l Limits) thousandths() (thousandths limitValues) {
	for kind, value := range l.values() {
		thousandths[kind] = -1
		if value >= 0 {
			thousandths[kind] = int64(math.Round(value * thousand))
		}
	}
	return thousandths
}

func limitsFromThousandths(thousandths limitValues) Limits {
	var values [limitKinds]float64
	for kind := range thousandths {
		values[kind] = -1
		if thousandths[kind] >= 0 {
			values[kind] = float64(thousandths[kind]) / thousand
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
		if !(value <= maxLimit && value >= -maxLimit) { // not a number either
			return fmt.Errorf("%s %v: want at most %v, or a negative figure for no bound", limitNames[kind], value, maxLimit)
		}
	}
	return nil
}

// childAllowance returns what the children of a node may hold together: its limits times its
// overcommit.
func (n *Node) childAllowance() limitValues {
	allowance := n.Limits.thousandths()
	overcommit := int64(math.Round(max(n.Overcommit, 1) * thousand))
	for kind := range allowance {
		if allowance[kind] >= 0 {
			allowance[kind] = mulDiv(allowance[kind], overcommit, thousand)
		}
	}
	return allowance
}

// mulDiv returns a * b / c, rounded down; the quotient must fit.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	quotient, _ := bits.Div64(hi, lo, uint64(c))
	return int64(quotient)
}
