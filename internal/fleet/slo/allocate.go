package slo

import (
	"cmp"
	"math"
	"slices"
)

// allocate places all contracts, first those whose objective can be met and then the others, both
// by priority. Within a priority, all contracts first retain their current regions, so that few
// sessions are moved. A later contract never takes capacity from an earlier one.
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

// effectivePriority returns the contract's priority. A contract whose objective can't be met comes
// after all those whose objective can be met.
func (p *placement) effectivePriority() int {
	if p.lastUnmetReason != "" {
		return math.MaxInt32 + p.contract.Priority
	}
	return p.contract.Priority
}

// retain keeps a contract's current shares where the regions have capacity for them. The rest is
// unplaced.
func (c *Controller) retain(p *placement, regions []regionCapacity) {
	p.next, p.overflow = make([]int, len(regions)), make([]int, len(regions))
	p.unplaced = thousandths
	for r := range regions {
		share := 0
		switch {
		case !p.maySteer:
			share = p.current[r] // the current allocation can't be changed yet
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
	if !p.maySteer && p.unplaced > 0 { // its allocation includes regions that no longer exist
		p.unplaced = 0
	}
}

// placeRemainder places the unplaced part of a contract. It is not limited by MaxMoveFraction,
// because the part has to move: its region is evacuated or full. The part that no region has
// capacity for becomes overflow.
func (c *Controller) placeRemainder(p *placement, regions []regionCapacity) {
	ranked := p.rankedRegions(regions)
	for _, aboveLimit := range []bool{false, true} { // fill all regions up to MaxUtilization first
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

// overflowInto distributes the part that no region has capacity for: to its current regions first,
// and the rest in proportion to the regions' capacities. Nodes that shed load shed the overflow
// first.
func (p *placement) overflowInto(regions []regionCapacity, ranked []int) {
	for _, r := range ranked {
		share := min(max(p.current[r]-p.next[r], 0), p.unplaced)
		p.overflow[r] = share
		p.unplaced -= share
	}
	const minWeight = 1e-6 // regions without capacity also receive a part
	weights := make([]float64, len(regions))
	for _, r := range ranked {
		weights[r] = regions[r].capacity + minWeight
	}
	for r, share := range apportion(p.unplaced, weights) {
		p.overflow[r] += share
	}
	p.unplaced = 0
}

// apportion divides a total in proportion to the weights. The units left over by rounding down go
// to the largest remainders.
func apportion(total int, weights []float64) []int {
	parts, sum := make([]int, len(weights)), 0.0
	for _, weight := range weights {
		sum += weight
	}
	if sum <= 0 {
		return parts
	}
	remaining, order, remainders := total, make([]int, len(weights)), make([]float64, len(weights))
	for i, weight := range weights {
		exact := float64(total) * weight / sum
		parts[i], order[i] = int(exact), i
		remainders[i] = exact - float64(parts[i])
		remaining -= parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; remaining > 0; i++ {
		parts[order[i%len(order)]]++
		remaining--
	}
	return parts
}

// joinRegionNames joins the names of the regions, up to maxNames of them, for use in a reason.
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
