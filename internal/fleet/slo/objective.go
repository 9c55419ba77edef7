package slo

import "math"

// verdict is whether a region meets an objective. Few samples give none.
type verdict int

const (
	unknown verdict = iota
	meets
	breaches
)

// minMembers is how many members' measurements a verdict needs: those of one, true or not,
// are never enough.
const minMembers = 2

// wilsonInterval bounds the true share of which good of total is a sample, z standard
// deviations to both sides (Wilson, 1927). Unlike the plain normal interval it holds for shares
// near 1, where quantiles lie, and for few samples.
func wilsonInterval(good, total, z float64) (lower, upper float64) {
	if total <= 0 {
		return 0, 1
	}
	share, correction := good/total, z*z/total
	center, half := share+correction/2, z*math.Sqrt(share*(1-share)/total+correction/(4*total))
	return (center - half) / (1 + correction), (center + half) / (1 + correction)
}

// evaluateObjective says what a sample shows of the objective that a quantile of all response
// times does not miss.
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

// regionView is how a contract sees a region.
type regionView struct {
	verdict         verdict
	score           float64 // share of response times within the objective
	hasMargin       bool    // meets the objective with the margin: sessions may be moved in
	breachConfirmed bool    // has breached it for the MinBreachInterval: sessions may be moved out
}

// viewRegion evaluates a region for a contract on the contract's own samples or, where these
// give no verdict, on those of all contracts there: the same endpoints serve them.
func (c *Controller) viewRegion(tracked *contractState, region string, interval int64) regionView {
	contract := &tracked.contract
	evaluate := func(sample responseCount, quantile float64) verdict {
		return evaluateObjective(&c.cfg, c.DisabledGuards, sample, quantile)
	}
	sample := tracked.regions[region].sum(c.firstEvidenceInterval(interval))
	pooled := c.pooledCount(region, contract, interval)
	ownIsEnough := c.DisabledGuards.Confidence && sample.total > 0
	if evaluate(sample, contract.Quantile) == unknown && !ownIsEnough {
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
