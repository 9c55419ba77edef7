package slo

import (
	"cmp"
	"slices"
	"time"
)

// placement is the state of a contract during an allocation. Slices are indexed by region, and
// shares are in thousandths of the contract's session set-ups.
type placement struct {
	contract          *Contract
	ratePerThousandth float64 // session set-ups per second
	allowed           []bool
	regionViews       []regionView
	current, next     []int
	overflow          []int // in addition to next; exceeds the regions' capacities
	unplaced          int
	moved             int
	maySteer          bool // State.Apply would accept a new allocation
	isDue             bool // its MoveInterval is over
	isBurning         bool
	unmetReason       string // why its objective can't be met; "" if it can
	lastUnmetReason   string // of the replicated allocation
	exploredRegion    string
}

// newPlacement returns a placement with the contract's current shares and an evaluation of the
// regions that it may use.
func (c *Controller) newPlacement(
	now time.Duration, interval int64, state State, contract *Contract,
	regions []regionCapacity, demand Demand,
) *placement {
	tracked := c.contracts[contract.Name]
	tracked.closeWindow(&c.cfg, max(interval-c.mergeLag(), 0))
	p := &placement{
		contract:          contract,
		ratePerThousandth: sanitizedRate(demand[contract.Name]) / thousandths,
		maySteer:          true,
		isDue:             true,
		isBurning:         tracked.isBurning(),
		current:           make([]int, len(regions)),
		regionViews:       make([]regionView, len(regions)),
		allowed:           make([]bool, len(regions)),
	}
	allocation, steered := state.Allocation(contract.Name)
	capacities := make([]float64, len(regions)) // of the allowed regions
	for r, region := range regions {
		p.allowed[r] = len(contract.Zones) == 0 || slices.Contains(contract.Zones, region.name)
		if p.allowed[r] {
			capacities[r] = region.capacity
			view := c.viewRegion(tracked, region.name, interval)
			view.breachConfirmed = c.isBreachConfirmed(now, tracked, region.name, view.verdict)
			p.regionViews[r] = view
		}
		p.current[r], _ = toThousandths(allocation.Shares[region.name])
	}
	if !steered {
		p.current = apportion(thousandths, c.initialWeights(tracked, interval, regions, capacities))
		return p
	}
	nowMs := now.Milliseconds()
	p.lastUnmetReason = allocation.UnmetReason
	p.maySteer = allocation.PreviouslySteeredAt == 0 || nowMs >= allocation.PreviouslySteeredAt+minSteerIntervalMs
	p.isDue = nowMs >= allocation.SteeredAt+c.cfg.MoveInterval.Milliseconds()
	return p
}

// initialWeights returns the regions' weights for a contract that was never steered. These are the
// measured response counts or, below MinSamples, the capacities, as nodes draw evenly among the
// endpoints that they may use.
func (c *Controller) initialWeights(
	tracked *contractState, interval int64, regions []regionCapacity, capacities []float64,
) []float64 {
	measured, sum := make([]float64, len(regions)), 0.0
	for r, region := range regions {
		if capacities[r] > 0 {
			measured[r] = tracked.regions[region.name].sum(c.firstEvidenceInterval(interval)).total
			sum += measured[r]
		}
	}
	if sum < c.cfg.MinSamples {
		return capacities
	}
	return measured
}

// isBreachConfirmed reports whether a region has breached the objective for the
// MinBreachInterval.
func (c *Controller) isBreachConfirmed(now time.Duration, tracked *contractState, region string, result verdict) bool {
	if result != breaches {
		delete(tracked.breachedSince, region)
		return false
	}
	if tracked.breachedSince == nil {
		tracked.breachedSince = map[string]time.Duration{}
	}
	since, ok := tracked.breachedSince[region]
	if !ok {
		since = now
		tracked.breachedSince[region] = now
	}
	return now-since >= c.cfg.MinBreachInterval || c.DisabledGuards.Hysteresis
}

// rankedRegions returns the usable regions that a contract may use, the best first.
func (p *placement) rankedRegions(regions []regionCapacity) []int {
	var ranked []int
	for r := range regions {
		if p.allowed[r] && regions[r].usable {
			ranked = append(ranked, r)
		}
	}
	rankByVerdict := [...]int{meets: 0, unknown: 1, breaches: 2}
	slices.SortStableFunc(ranked, func(a, b int) int {
		viewA, viewB := &p.regionViews[a], &p.regionViews[b]
		return cmp.Or(
			cmp.Compare(rankByVerdict[viewA.verdict], rankByVerdict[viewB.verdict]),
			cmp.Compare(viewB.score, viewA.score),
		)
	})
	return ranked
}

// meetsAnywhere reports whether any region meets the objective.
func (p *placement) meetsAnywhere(regions []regionCapacity) bool {
	return slices.ContainsFunc(p.rankedRegions(regions), func(r int) bool { return p.regionViews[r].verdict == meets })
}

// countAllowed returns the number of regions that the contract may use.
func (p *placement) countAllowed() (count int) {
	for _, allowed := range p.allowed {
		if allowed {
			count++
		}
	}
	return count
}
