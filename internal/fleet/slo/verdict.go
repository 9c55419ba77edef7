package slo

import "math"

// verdict is whether a region keeps a promise. Few samples are none.
type verdict int

const (
	unknown verdict = iota
	meets
	breaches
)

// leastMembers is whose measurements a verdict needs: one member's word, true or not, is
// none.
const minMembers = 2

// wilson bounds the true share of which good of all is a sample, z standard deviations to
// both sides (Wilson, 1927). Unlike the plain normal bound it holds for shares near 1, where
// quantiles lie, and for few samples.
func wilsonInterval(good, all, z float64) (least, most float64) {
	if all <= 0 {
		return 0, 1
	}
	p, w := good/all, z*z/all
	center, half := p+w/2, z*math.Sqrt(p*(1-p)/all+w/(4*all))
	return (center - half) / (1 + w), (center + half) / (1 + w)
}

// judge tells what a sample says of the promise that quantile of all is within the bound.
func evaluateObjective(c *Config, g Guards, all, over, quantile float64, members int) verdict {
	z := c.ZScore
	if g.Confidence {
		z, members = 0, minMembers
	}
	least, most := wilsonInterval(all-over, all, z)
	switch {
	case members < minMembers || all <= 0:
		return unknown
	case least >= quantile:
		return meets
	case most < quantile:
		return breaches
	}
	return unknown
}

// view is how a contract sees a region.
type regionView struct {
	verdict         verdict
	score           float64 // share within the bound
	hasMargin       bool    // keeps the promise by the margin: it may be moved to
	breachConfirmed bool    // breaks it for longer than the patience: it may be left
}

// look judges a region for a contract by the contract's own samples or, where these are no
// verdict, by those of all contracts there: the same feed servers serve them.
func (st *Controller) viewRegion(t *contractState, region string, slot int64) regionView {
	c, k := &st.cfg, &t.contract
	tight := 1 - (1-k.Quantile)*(1-c.BudgetMargin)
	if st.DisabledGuards.Hysteresis {
		tight = k.Quantile
	}
	all, over, members := t.regions[region].sum(st.firstEvidenceInterval(slot))
	pooled, missed, others := st.pooledCount(region, k, slot)
	if evaluateObjective(c, st.DisabledGuards, all, over, k.Quantile, members) == unknown && !(st.DisabledGuards.Confidence && all > 0) {
		all, over, members = pooled, missed, others
	}
	v := regionView{verdict: evaluateObjective(c, st.DisabledGuards, all, over, k.Quantile, members)}
	if all > 0 {
		v.score = 1 - over/all
	}
	v.hasMargin = v.verdict == meets && evaluateObjective(c, st.DisabledGuards, all, over, tight, members) == meets
	return v
}
