package slo

import "math"

// verdict is the result of checking a region against an objective. It is unknown if there are too
// few samples.
type verdict int

const (
	unknown verdict = iota
	meets
	breaches
)

// minMembers is the number of members whose measurements a verdict needs, so that a single member
// can't cause one with correct or false measurements.
const minMembers = 2

// wilsonInterval returns the Wilson score interval (Wilson, 1927) of z standard deviations for the
// true fraction, given that good of total samples are good. Unlike the normal approximation, it is
// valid for fractions near 1, as quantiles are, and for few samples.
func wilsonInterval(good, total, z float64) (lower, upper float64) {
	if total <= 0 {
		return 0, 1
	}
	share, correction := good/total, z*z/total
	center, half := share+correction/2, z*math.Sqrt(share*(1-share)/total+correction/(4*total))
	return (center - half) / (1 + correction), (center + half) / (1 + correction)
}

// evaluateObjective checks the response times of a sample against the objective, which the given
// quantile of all response times must not exceed.
func evaluateObjective(cfg *Config, disabled Guards, sample responseCount, quantile float64) verdict {
	zScore, members := cfg.ZScore, sample.members
	if disabled.Confidence {
		zScore, members = 0, minMembers
	}
	lower, upper := wilsonInterval(sample.total-sample.missed, sample.total, zScore)
	switch {
	case members < minMembers || sample.total <= 0:
		return unknown
	case lower >= quantile:
		return meets
	case upper < quantile:
		return breaches
	}
	return unknown
}

// regionView is the evaluation of a region for one contract.
type regionView struct {
	verdict         verdict
	score           float64 // fraction of the response times within the objective
	hasMargin       bool    // meets the objective with the BudgetMargin; sessions may be moved in
	breachConfirmed bool    // has breached it for the MinBreachInterval; sessions may be moved out
}

// viewRegion evaluates a region for a contract by the contract's own samples. If these yield no
// verdict, it uses the samples of all contracts in the region, as the same endpoints serve them.
func (c *Controller) viewRegion(tracked *contractState, region string, interval int64) regionView {
	contract := &tracked.contract
	evaluate := func(sample responseCount, quantile float64) verdict {
		return evaluateObjective(&c.cfg, c.DisabledGuards, sample, quantile)
	}
	sample := tracked.regions[region].sum(c.firstEvidenceInterval(interval))
	pooled := c.pooledCount(region, contract, interval)
	ownSamplesSuffice := c.DisabledGuards.Confidence && sample.total > 0
	if evaluate(sample, contract.Quantile) == unknown && !ownSamplesSuffice {
		sample = pooled
	}
	view := regionView{verdict: evaluate(sample, contract.Quantile)}
	if sample.total > 0 {
		view.score = 1 - sample.missed/sample.total
	}
	quantileWithMargin := 1 - (1-contract.Quantile)*(1-c.cfg.BudgetMargin)
	if c.DisabledGuards.Hysteresis {
		quantileWithMargin = contract.Quantile
	}
	view.hasMargin = view.verdict == meets && evaluate(sample, quantileWithMargin) == meets
	return view
}
