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
func wilsonInterval(good, total, z float64) (lower, upper float64) {
	if total <= 0 {
		return 0, 1
	}
	share, correction := good/total, z*z/total
	center, half := share+correction/2, z*math.Sqrt(share*(1-share)/total+correction/(4*total))
	return (center - half) / (1 + correction), (center + half) / (1 + correction)
}

// judge tells what a sample says of the promise that quantile of all is within the bound.
func evaluateObjective(cfg *Config, disabled Guards, total, missed, quantile float64, members int) verdict {
	zScore := cfg.ZScore
	if disabled.Confidence {
		zScore, members = 0, minMembers
	}
	lower, upper := wilsonInterval(total-missed, total, zScore)
	switch {
	case members < minMembers || total <= 0:
		return unknown
	case lower >= quantile:
		return meets
	case upper < quantile:
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
func (c *Controller) viewRegion(tracked *contractState, region string, interval int64) regionView {
	cfg, contract := &c.cfg, &tracked.contract
	targetWithMargin := 1 - (1-contract.Quantile)*(1-cfg.BudgetMargin)
	if c.DisabledGuards.Hysteresis {
		targetWithMargin = contract.Quantile
	}
	total, missed, members := tracked.regions[region].sum(c.firstEvidenceInterval(interval))
	pooledTotal, pooledMissed, pooledMembers := c.pooledCount(region, contract, interval)
	if evaluateObjective(cfg, c.DisabledGuards, total, missed, contract.Quantile, members) == unknown && !(c.DisabledGuards.Confidence && total > 0) {
		total, missed, members = pooledTotal, pooledMissed, pooledMembers
	}
	view := regionView{verdict: evaluateObjective(cfg, c.DisabledGuards, total, missed, contract.Quantile, members)}
	if total > 0 {
		view.score = 1 - missed/total
	}
	view.hasMargin = view.verdict == meets && evaluateObjective(cfg, c.DisabledGuards, total, missed, targetWithMargin, members) == meets
	return view
}
