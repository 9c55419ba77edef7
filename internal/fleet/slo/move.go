package slo

import (
	"cmp"
	"fmt"
	"slices"
)

// move takes a part of a contract out of regions that break its promise: no more than a
// step, and into each region no more than it takes in a period, up to where it is full.
func (c *Controller) moveFromBreaches(p *placement, regions []regionCapacity) {
	if c.DisabledGuards.GradualMoves {
		c.moveAllToBest(p, regions)
		return
	}
	if !p.maySteer || !p.isDue || !p.isBurning && !c.DisabledGuards.Hysteresis {
		return
	}
	var sources, destinations []int
	for _, index := range p.rankedRegions(regions) {
		view := p.regionViews[index]
		switch {
		case view.verdict == breaches:
			if view.breachConfirmed && p.next[index] > 0 {
				sources = append(sources, index)
			}
		case view.hasMargin || view.verdict == unknown:
			destinations = append(destinations, index)
		}
	}
	slices.SortStableFunc(sources, func(a, b int) int { return cmp.Compare(p.regionViews[a].score, p.regionViews[b].score) })
	if len(sources) == 0 {
		return
	}
	step := int(c.cfg.MaxMoveFraction * thousandths)
	left := step
	for _, source := range sources {
		for _, index := range destinations {
			share := min(left, p.next[source])
			if !c.DisabledGuards.CapacityLimits {
				share = fitting(min(regions[index].headroom, regions[index].inflowLeft), p.ratePerThousandth, share)
			}
			left -= share
			p.next[source], p.next[index] = p.next[source]-share, p.next[index]+share
			regions[source].reserve(p, -share)
			regions[index].reserve(p, share)
			regions[index].inflowLeft -= float64(share) * p.ratePerThousandth
			regions[index].displaced += float64(share) * p.ratePerThousandth
		}
	}
	p.moved += step - left
	switch {
	case left < step || p.unmetReason != "":
	case len(destinations) > 0:
		p.unmetReason = "limit: " + joinRegionNames(regions, destinations) + " may keep it and have no room"
	case p.meetsAnywhere(regions):
		p.unmetReason = "limit: its regions keep it by less than the margin"
	default:
		p.unmetReason = fmt.Sprintf("bound: none of %s keeps %v within %v", joinRegionNames(regions, p.rankedRegions(regions)), p.contract.Quantile, p.contract.Objective)
	}
}

// kept tells whether any region keeps the promise.
func (p *placement) meetsAnywhere(regions []regionCapacity) bool {
	return slices.ContainsFunc(p.rankedRegions(regions), func(r int) bool { return p.regionViews[r].verdict == meets })
}

// rush is what a greedy controller does: all there is goes to the best region.
func (c *Controller) moveAllToBest(p *placement, regions []regionCapacity) {
	ranked := p.rankedRegions(regions)
	if !p.maySteer || !p.isDue || len(ranked) == 0 {
		return
	}
	best := slices.MaxFunc(ranked, func(a, b int) int { return cmp.Compare(p.regionViews[a].score, p.regionViews[b].score) })
	for r := range regions {
		if r != best {
			share := p.next[r]
			p.next[r], p.next[best], p.moved = 0, p.next[best]+share, p.moved+share
			regions[r].reserve(p, -share)
			regions[best].reserve(p, share)
		}
	}
}
