package slo

import (
	"cmp"
	"math"
	"slices"
)

// place is a region as it fills up, in set-ups a second.
type regionCapacity struct {
	name                        string
	usable                      bool
	capacity                    float64 // that it bears
	spare, headroom, inflowLeft float64 // left of it, of the part up to which it may be moved to, of this period's moves
	displaced                   float64 // was moved in, and those of less priority have not made way for it
}

// want is a contract as it is placed, in thousandths of its set-ups, by region.
type placement struct {
	contract          *Contract
	ratePerThousandth float64 // set-ups a second in a thousandth
	allowed           []bool
	regionViews       []regionView
	current, next     []int
	overflow          []int // of next, what the region has no room for
	unplaced          int
	moved             int
	maySteer, isDue   bool // the record takes a step of it; its period is over
	isBurning         bool
	unmetReason       string // it can't be kept, if it can't
	exploredRegion    string
	lastUnmetReason   string
}

// fit is how many of most thousandths there is room for.
func fitting(spare, ratePerThousandth float64, limit int) int {
	if ratePerThousandth <= 0 {
		return limit
	}
	return int(min(max(math.Floor(spare/ratePerThousandth+1e-9), 0), float64(limit)))
}

func (r *regionCapacity) reserve(p *placement, share int) {
	r.spare, r.headroom = r.spare-float64(share)*p.ratePerThousandth, r.headroom-float64(share)*p.ratePerThousandth
}

// allocate places all contracts: those that can be kept by priority, then those that
// can't. Within a priority all who are somewhere stay first, so that few are moved; what
// comes later never takes from what came before.
func (c *Controller) allocate(placements []*placement, regions []regionCapacity) {
	queue := slices.Clone(placements)
	effectivePriority := func(p *placement) int {
		if p.lastUnmetReason != "" {
			return math.MaxInt32 + p.contract.Priority
		}
		return p.contract.Priority
	}
	countAllowed := func(p *placement) (size int) {
		for _, ok := range p.allowed {
			if ok {
				size++
			}
		}
		return size
	}
	slices.SortFunc(queue, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(effectivePriority(a), effectivePriority(b)), cmp.Compare(countAllowed(a), countAllowed(b)),
			cmp.Compare(a.contract.Name, b.contract.Name))
	})
	for len(queue) > 0 {
		size := 1
		for size < len(queue) && effectivePriority(queue[size]) == effectivePriority(queue[0]) {
			size++
		}
		for _, p := range queue[:size] {
			c.retain(p, regions)
		}
		for _, p := range queue[:size] {
			c.placeRemainder(p, regions)
		}
		for _, p := range queue[:size] {
			c.moveFromBreaches(p, regions)
		}
		queue = queue[size:]
	}
}

// bears is how many thousandths of a contract still fit. One that can't be kept gets what
// lies below the full mark only, so that it makes no region slow for the others.
func (r *regionCapacity) fits(p *placement, share int) int {
	if p.lastUnmetReason != "" {
		return fitting(min(r.spare, r.headroom), p.ratePerThousandth, share)
	}
	return fitting(r.spare, p.ratePerThousandth, share)
}

// stays is how many of k thousandths a contract keeps in a region. Who is there may stay
// above the full mark, but makes way for those of more priority who are moved in.
func (r *regionCapacity) retained(p *placement, share int) int {
	share = r.fits(p, share)
	if displacedRate := min(float64(share)*p.ratePerThousandth-max(r.headroom, 0), r.displaced); displacedRate > 0 {
		r.displaced -= displacedRate
		share -= min(share, int(math.Ceil(displacedRate/p.ratePerThousandth-1e-9)))
	}
	return share
}

// stay keeps what a contract has where the region bears it; the rest is homeless.
func (c *Controller) retain(p *placement, regions []regionCapacity) {
	p.next, p.overflow = make([]int, len(regions)), make([]int, len(regions))
	p.unplaced = thousandths
	for r := range regions {
		share := 0
		if !p.maySteer {
			share = p.current[r] // it goes there whatever is said here
		} else if p.allowed[r] && regions[r].usable {
			share = p.current[r]
			if !c.DisabledGuards.CapacityLimits {
				share = regions[r].retained(p, share)
			}
		}
		p.next[r] = share
		p.unplaced -= share
		regions[r].reserve(p, share)
	}
	if !p.maySteer && p.unplaced > 0 { // its allocation names regions that are no more
		p.unplaced = 0
	}
}

// by lists the regions that a contract may use, the best first.
func (p *placement) rankedRegions(regions []regionCapacity) []int {
	var ranked []int
	for r := range regions {
		if p.allowed[r] && regions[r].usable {
			ranked = append(ranked, r)
		}
	}
	rankByVerdict := [...]int{unknown: 1, meets: 0, breaches: 2}
	slices.SortStableFunc(ranked, func(a, b int) int {
		return cmp.Or(cmp.Compare(rankByVerdict[p.regionViews[a].verdict], rankByVerdict[p.regionViews[b].verdict]), cmp.Compare(p.regionViews[b].score, p.regionViews[a].score))
	})
	return ranked
}

// house finds room for what is homeless. It is on its way already, as its region is left
// or full, so no step bounds it. What fits nowhere goes where it was, or else by what the
// regions bear, and is told as over: whoever refuses, refuses these first.
func (c *Controller) placeRemainder(p *placement, regions []regionCapacity) {
	ranked := p.rankedRegions(regions)
	for _, aboveLimit := range []bool{false, true} { // to the full mark everywhere before above it anywhere
		for _, r := range ranked {
			share := regions[r].fits(p, p.unplaced)
			if !aboveLimit {
				share = fitting(min(regions[r].spare, regions[r].headroom), p.ratePerThousandth, share)
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
	if p.unplaced == 0 {
		return
	}
	if len(ranked) == 0 {
		p.unmetReason, p.overflow, p.unplaced = "zones: none that it may use is usable", slices.Clone(p.current), 0
		return
	}
	p.unmetReason = "limit: " + joinRegionNames(regions, ranked) + " have no room for all of it"
	for _, r := range ranked {
		share := min(max(p.current[r]-p.next[r], 0), p.unplaced)
		p.overflow[r], p.unplaced = share, p.unplaced-share
	}
	weights := make([]float64, len(regions))
	for _, r := range ranked {
		weights[r] = regions[r].capacity + 1e-6 // one that bears nothing is a place too
	}
	for r, share := range apportion(p.unplaced, weights) {
		p.overflow[r] += share
	}
	p.unplaced = 0
}

// spread cuts a whole into parts by weights; the rest goes to the greatest remainders.
func apportion(whole int, weights []float64) []int {
	parts, sum, left := make([]int, len(weights)), 0.0, whole
	for _, weight := range weights {
		sum += weight
	}
	if sum <= 0 {
		return parts
	}
	order, remainders := make([]int, len(weights)), make([]float64, len(weights))
	for i, weight := range weights {
		quota := float64(whole) * weight / sum
		parts[i], order[i] = int(quota), i
		remainders[i], left = quota-float64(parts[i]), left-parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainders[b], remainders[a]) })
	for i := 0; left > 0; i, left = i+1, left-1 {
		parts[order[i%len(order)]]++
	}
	return parts
}

func joinRegionNames(regions []regionCapacity, indexes []int) (joined string) {
	for i, r := range slices.Sorted(slices.Values(indexes)) {
		if i == 4 {
			return joined + " and others"
		}
		if i > 0 {
			joined += ", "
		}
		joined += regions[r].name
	}
	return joined
}
