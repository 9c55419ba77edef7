package slo

import (
	"cmp"
	"fmt"
	"slices"
)

// moveFromBreaches moves a part of a contract out of regions that breach its objective. It moves at
// most MaxMoveFraction, and into each region at most its remaining inflow and headroom.
func (c *Controller) moveFromBreaches(p *placement, regions []regionCapacity) {
	if c.DisabledGuards.GradualMoves {
		c.moveAllToBest(p, regions)
		return
	}
	if !p.maySteer || !p.isDue || !p.isBurning && !c.DisabledGuards.Hysteresis {
		return
	}
	sources, destinations := p.movableRegions(regions)
	if len(sources) == 0 {
		return
	}
	step := int(c.cfg.MaxMoveFraction * thousandths)
	remaining := step
	for _, source := range sources {
		for _, destination := range destinations {
			share := min(remaining, p.next[source])
			if !c.DisabledGuards.CapacityLimits {
				share = regions[destination].fitsInflow(p, share)
			}
			remaining -= share
			p.shift(regions, source, destination, share)
			regions[destination].inflowLeft -= float64(share) * p.ratePerThousandth
			regions[destination].displaced += float64(share) * p.ratePerThousandth
		}
	}
	p.moved += step - remaining
	if remaining == step && p.unmetReason == "" {
		p.unmetReason = p.reasonNotMoved(regions, destinations)
	}
}

// movableRegions returns the regions to move sessions out of, the worst first, and the regions to
// move them into, the best first.
func (p *placement) movableRegions(regions []regionCapacity) (sources, destinations []int) {
	for _, r := range p.rankedRegions(regions) {
		view := &p.regionViews[r]
		switch {
		case view.verdict == breaches:
			if view.breachConfirmed && p.next[r] > 0 {
				sources = append(sources, r)
			}
		case view.hasMargin || view.verdict == unknown:
			destinations = append(destinations, r)
		}
	}
	slices.SortStableFunc(sources, func(a, b int) int {
		return cmp.Compare(p.regionViews[a].score, p.regionViews[b].score)
	})
	return sources, destinations
}

// shift moves a share from the source region to the destination region.
func (p *placement) shift(regions []regionCapacity, source, destination, share int) {
	p.next[source] -= share
	p.next[destination] += share
	regions[source].reserve(p, -share)
	regions[destination].reserve(p, share)
}

// reasonNotMoved returns the reason why nothing was moved out of a region that breaches the
// objective.
func (p *placement) reasonNotMoved(regions []regionCapacity, destinations []int) string {
	switch {
	case len(destinations) > 0:
		return "limit: " + joinRegionNames(regions, destinations) + " may keep it and have no room"
	case p.meetsAnywhere(regions):
		return "limit: its regions keep it by less than the margin"
	}
	allowed := joinRegionNames(regions, p.rankedRegions(regions))
	return fmt.Sprintf("bound: none of %s keeps %v within %v", allowed, p.contract.Quantile, p.contract.Objective)
}

// moveAllToBest moves the whole contract to the best region, as a greedy controller does.
func (c *Controller) moveAllToBest(p *placement, regions []regionCapacity) {
	ranked := p.rankedRegions(regions)
	if !p.maySteer || !p.isDue || len(ranked) == 0 {
		return
	}
	best := slices.MaxFunc(ranked, func(a, b int) int {
		return cmp.Compare(p.regionViews[a].score, p.regionViews[b].score)
	})
	for r := range regions {
		if r != best {
			share := p.next[r]
			p.moved += share
			p.shift(regions, r, best, share)
		}
	}
}
