package slo

import (
	"cmp"
	"slices"
)

// explore sends a small share of some contracts to regions without recent evidence. It selects as
// few contracts as yield enough samples, those of the lowest priority first. Contracts that are
// spending their error budget or are already exploring are left out.
func (c *Controller) explore(placements []*placement, regions []regionCapacity, interval int64) {
	candidates := slices.Clone(placements)
	slices.SortFunc(candidates, func(a, b *placement) int {
		return cmp.Or(
			cmp.Compare(b.contract.Priority, a.contract.Priority),
			cmp.Compare(b.ratePerThousandth, a.ratePerThousandth),
			cmp.Compare(a.contract.Name, b.contract.Name),
		)
	})
	for r := range regions {
		for _, messages := range []bool{false, true} {
			c.exploreRegion(placements, candidates, regions, r, messages, interval)
		}
	}
}

// exploreRegion selects contracts to explore one region, for session set-ups or messages, until
// MinSamples response times are expected.
func (c *Controller) exploreRegion(
	placements, candidates []*placement, regions []regionCapacity, r int, messages bool, interval int64,
) {
	evidenceSeconds := c.cfg.SampleInterval.Seconds() * float64(c.cfg.EvidenceIntervals)
	expectedSamples := 0.0
	for _, p := range placements {
		if p.contract.ForMessages == messages {
			expectedSamples += float64(p.next[r]) * p.ratePerThousandth * evidenceSeconds
		}
	}
	share := c.exploreShare()
	for _, p := range candidates {
		isEnough := expectedSamples >= c.cfg.MinSamples && !c.DisabledGuards.ExploreLimit
		if p.contract.ForMessages != messages || isEnough || !c.mayExplore(p, regions, interval, r) {
			continue
		}
		p.shift(regions, p.largestRegion(), r, share)
		p.exploredRegion = regions[r].name
		p.moved += share
		regions[r].inflowLeft -= float64(share) * p.ratePerThousandth
		expectedSamples += float64(share) * p.ratePerThousandth * evidenceSeconds
	}
}

// exploreShare returns the share of a contract that is sent to explore a region, in thousandths.
func (c *Controller) exploreShare() int {
	if c.DisabledGuards.ExploreLimit {
		return thousandths / 5
	}
	return int(c.cfg.ExploreFraction * thousandths)
}

// largestRegion returns the region with the contract's largest share, the first one if several have
// it.
func (p *placement) largestRegion() int {
	largest := 0
	for r, share := range p.next {
		if share > p.next[largest] {
			largest = r
		}
	}
	return largest
}

// isUnmeasured reports whether a region has fewer than MinSamples recent samples for a contract.
func (c *Controller) isUnmeasured(p *placement, region string, interval int64) bool {
	return c.pooledCount(region, p.contract, interval).total < c.cfg.MinSamples
}

// mayExplore reports whether a contract may explore a region.
func (c *Controller) mayExplore(p *placement, regions []regionCapacity, interval int64, r int) bool {
	share := c.exploreShare()
	if !regions[r].usable || !p.allowed[r] || !c.isUnmeasured(p, regions[r].name, interval) {
		return false
	}
	if share == 0 || !p.maySteer || !p.isDue || p.moved > 0 || p.next[r] > 0 || slices.Max(p.next) < share {
		return false
	}
	if c.DisabledGuards.ExploreLimit {
		return true
	}
	if !c.contracts[p.contract.Name].hasHalfBudget() || p.unmetReason != "" {
		return false
	}
	if regions[r].fitsInflow(p, share) < share {
		return false
	}
	for i := range regions { // a share in another unmeasured region already explores
		if p.next[i]+p.overflow[i] > 0 && c.isUnmeasured(p, regions[i].name, interval) {
			return false
		}
	}
	return true
}
