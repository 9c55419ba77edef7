package slo

import (
	"cmp"
	"math"
	"slices"
)

// allocate places all contracts: by priority those whose objective can be met, then the
// others. Within a priority all keep their regions first, so that little is moved; what comes
// later never takes from what came before.
func (c *Controller) allocate(placements []*placement, regions []regionCapacity) {
	queue := slices.Clone(placements)
	slices.SortFunc(queue, func(a, b *placement) int {
		return cmp.Or(
			cmp.Compare(a.effectivePriority(), b.effectivePriority()),
			cmp.Compare(a.countAllowed(), b.countAllowed()),
			cmp.Compare(a.contract.Name, b.contract.Name),
		)
	})
	for len(queue) > 0 {
		size := 1
		for size < len(queue) && queue[size].effectivePriority() == queue[0].effectivePriority() {
			size++
		}
		samePriority := queue[:size]
		for _, p := range samePriority {
			c.retain(p, regions)
		}
		for _, p := range samePriority {
			c.placeRemainder(p, regions)
		}
		for _, p := range samePriority {
			c.moveFromBreaches(p, regions)
		}
		queue = queue[size:]
	}
}

// effectivePriority is the contract's priority, after all others if its objective can't be met.
func (p *placement) effectivePriority() int {
	if p.lastUnmetReason != "" {
		return math.MaxInt32 + p.contract.Priority
	}
	return p.contract.Priority
}

// retain keeps what a contract has where the region has capacity for it; the rest is unplaced.
func (c *Controller) retain(p *placement, regions []regionCapacity) {
	p.next, p.overflow = make([]int, len(regions)), make([]int, len(regions))
	p.unplaced = thousandths
	for r := range regions {
		share := 0
		switch {
		case !p.maySteer:
			share = p.current[r] // it goes there whatever is decided here
		case !p.allowed[r] || !regions[r].usable:
		case c.DisabledGuards.CapacityLimits:
			share = p.current[r]
		default:
			share = regions[r].retained(p, p.current[r])
		}
		p.next[r] = share
		p.unplaced -= share
		regions[r].reserve(p, share)
	}
	if !p.maySteer && p.unplaced > 0 { // its allocation names regions that are gone
		p.unplaced = 0
	}
}

// placeRemainder finds capacity for what is unplaced. It has to move anyway, as its region is
// evacuated or full, so no step bounds it. What fits nowhere becomes overflow.
func (c *Controller) placeRemainder(p *placement, regions []regionCapacity) {
	ranked := p.rankedRegions(regions)
	for _, aboveLimit := range []bool{false, true} { // to MaxUtilization everywhere before above it anywhere
		for _, r := range ranked {
			share := regions[r].fits(p, p.unplaced)
			if !aboveLimit {
				share = regions[r].fitsBelowLimit(p, share)
			}
			if c.DisabledGuards.CapacityLimits {
				share = p.unplaced
			}
			p.next[r] += share
			p.unplaced -= share
			p.moved += share
			regions[r].reserve(p, share)
		}
	}
	switch {
	case p.unplaced == 0:
	case len(ranked) == 0:
		p.unmetReason, p.overflow, p.unplaced = "zones: none that it may use is usable", slices.Clone(p.current), 0
	default:
		p.unmetReason = "limit: " + joinRegionNames(regions, ranked) + " have no room for all of it"
		p.overflowInto(regions, ranked)
	}
}

// overflowInto puts what fits nowhere where it was, or else by the regions' capacities. Nodes
// that shed load shed these sessions first.
func (p *placement) overflowInto(regions []regionCapacity, ranked []int) {
	for _, r := range ranked {
		share := min(max(p.current[r]-p.next[r], 0), p.unplaced)
		p.overflow[r] = share
		p.unplaced -= share
	}
	const leastWeight = 1e-6 // a region without capacity takes its part too
	weights := make([]float64, len(regions))
	for _, r := range ranked {
		weights[r] = regions[r].capacity + leastWeight
	}
	for r, share := range apportion(p.unplaced, weights) {
		p.overflow[r] += share
	}
	p.unplaced = 0
}

// apportion cuts a total into parts by weights; the rest goes to the greatest remainders.
func apportion(total int, weights []float64) []int {
	parts, sum := make([]int, len(weights)), 0.0
	for _, weight := range weights {
		sum += weight
	}
	if sum <= 0 {
		return parts
	}
	left, order, remainders := total, make([]int, len(weights)), make([]float64, len(weights))
	for i, weight := range weights {
		exact := float64(total) * weight / sum
		parts[i], order[i] = int(exact), i
		remainders[i] = exact - float64(parts[i])
		left -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; left > 0; i++ {
		parts[order[i%len(order)]]++
		left--
	}
	return parts
}

// joinRegionNames lists the regions' names for a reason, a few of them at most.
func joinRegionNames(regions []regionCapacity, indexes []int) (joined string) {
	const maxNames = 4
	for i, r := range slices.Sorted(slices.Values(indexes)) {
		if i == maxNames {
			return joined + " and others"
		}
		if i > 0 {
			joined += ", "
		}
		joined += regions[r].name
	}
	return joined
}
