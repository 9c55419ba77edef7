package slo

import (
	"cmp"
	"slices"
)

// explore sends a small part of some contracts to regions that nobody has measured of late:
// as few of them as bring enough samples, those of the least priority first, and none whose
// budget is being spent or that explores already.
func (c *Controller) explore(placements []*placement, regions []regionCapacity, interval int64) {
	share, evidenceSeconds := int(c.cfg.ExploreFraction*thousandths), c.cfg.SampleInterval.Seconds()*float64(c.cfg.EvidenceIntervals)
	if c.DisabledGuards.ExploreLimit {
		share = thousandths / 5
	}
	candidates := slices.Clone(placements)
	slices.SortFunc(candidates, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(b.contract.Priority, a.contract.Priority), cmp.Compare(b.ratePerThousandth, a.ratePerThousandth),
			cmp.Compare(a.contract.Name, b.contract.Name))
	})
	for r := range regions {
		for _, messages := range []bool{false, true} {
			expectedSamples := 0.0 // to be expected within the evidence's time
			for _, p := range placements {
				if p.contract.ForMessages == messages {
					expectedSamples += float64(p.next[r]) * p.ratePerThousandth * evidenceSeconds
				}
			}
			for _, p := range candidates {
				if p.contract.ForMessages != messages || expectedSamples >= c.cfg.MinSamples && !c.DisabledGuards.ExploreLimit {
					continue
				}
				if regions[r].usable && p.allowed[r] && c.isUnmeasured(p, regions[r].name, interval) && c.mayExplore(p, regions, interval, r, share) {
					donor := 0
					for i := range regions {
						if p.next[i] > p.next[donor] {
							donor = i
						}
					}
					p.next[donor], p.next[r] = p.next[donor]-share, p.next[r]+share
					p.exploredRegion = regions[r].name
					p.moved += share
					regions[donor].reserve(p, -share)
					regions[r].reserve(p, share)
					regions[r].inflowLeft -= float64(share) * p.ratePerThousandth
					expectedSamples += float64(share) * p.ratePerThousandth * evidenceSeconds
				}
			}
		}
	}
}

func (c *Controller) isUnmeasured(p *placement, region string, interval int64) bool {
	total, _, _ := c.pooledCount(region, p.contract, interval)
	return total < c.cfg.MinSamples
}

func (c *Controller) mayExplore(p *placement, regions []regionCapacity, interval int64, r, share int) bool {
	if share == 0 || !p.maySteer || !p.isDue || p.moved > 0 || p.next[r] > 0 || slices.Max(p.next) < share {
		return false
	}
	if c.DisabledGuards.ExploreLimit {
		return true
	}
	if !c.contracts[p.contract.Name].hasHalfBudget() || p.unmetReason != "" || fitting(min(regions[r].headroom, regions[r].inflowLeft), p.ratePerThousandth, share) < share {
		return false
	}
	for i := range regions { // what it has in such regions is exploring already
		if p.next[i]+p.overflow[i] > 0 && c.isUnmeasured(p, regions[i].name, interval) {
			return false
		}
	}
	return true
}
