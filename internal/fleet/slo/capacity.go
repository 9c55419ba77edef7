package slo

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// roundingSlack keeps floating point errors from costing a thousandth.
const roundingSlack = 1e-9

// maxRate is the greatest rate that is believed, in session set-ups a second.
const maxRate = 1e12

// regionCapacity is a region as it fills up, in session set-ups a second.
type regionCapacity struct {
	name       string
	usable     bool
	capacity   float64
	spare      float64 // left of capacity
	headroom   float64 // left of the part up to which contracts are moved in
	inflowLeft float64 // left of what may be moved in now
	displaced  float64 // moved in, and not yet made way for by contracts of lower priority
}

// sanitizedRate is a rate from outside, 0 if it can't be true.
func sanitizedRate(rate float64) float64 {
	if rate > 0 && rate <= maxRate {
		return rate
	}
	return 0
}

// regionCapacities returns the regions by name, without the traffic under contract.
func (c *Controller) regionCapacities(regions []Region) []regionCapacity {
	byName := map[string]regionCapacity{}
	for _, region := range regions {
		if len(byName) >= maxZones || !isValidName(region.Name, maxNameBytes) {
			continue
		}
		usableFraction := min(sanitizedRate(region.UsableFraction), 1)
		capacity, otherTraffic := sanitizedRate(region.Capacity)*usableFraction, sanitizedRate(region.OtherTraffic)
		r := regionCapacity{
			name:       region.Name,
			usable:     usableFraction > 0,
			capacity:   capacity,
			spare:      capacity - otherTraffic,
			headroom:   capacity*c.cfg.MaxUtilization - otherTraffic,
			inflowLeft: capacity * c.cfg.MaxInflowFraction,
		}
		if region.Load > 1 { // the capacity is overestimated, or other traffic fills it
			r.headroom, r.inflowLeft = 0, 0
		}
		byName[region.Name] = r
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b regionCapacity) int { return cmp.Compare(a.name, b.name) })
}

// fitting is how many thousandths, up to limit, a spare rate takes.
func fitting(spare, ratePerThousandth float64, limit int) int {
	if ratePerThousandth <= 0 {
		return limit
	}
	return int(min(max(math.Floor(spare/ratePerThousandth+roundingSlack), 0), float64(limit)))
}

// reserve takes a share of a contract into the region, or out of it if share is negative.
func (r *regionCapacity) reserve(p *placement, share int) {
	rate := float64(share) * p.ratePerThousandth
	r.spare -= rate
	r.headroom -= rate
}

// fits is how much of a contract's share still fits. A contract whose objective can't be met
// gets only what lies below MaxUtilization, so that it makes no region slow for the others.
func (r *regionCapacity) fits(p *placement, share int) int {
	if p.lastUnmetReason != "" {
		return r.fitsBelowLimit(p, share)
	}
	return fitting(r.spare, p.ratePerThousandth, share)
}

// fitsBelowLimit is how much of a contract's share fits below MaxUtilization.
func (r *regionCapacity) fitsBelowLimit(p *placement, share int) int {
	return fitting(min(r.spare, r.headroom), p.ratePerThousandth, share)
}

// fitsInflow is how much of a contract's share may be moved into the region now.
func (r *regionCapacity) fitsInflow(p *placement, share int) int {
	return fitting(min(r.headroom, r.inflowLeft), p.ratePerThousandth, share)
}

// retained is how much of its share a contract keeps in the region. It may stay above
// MaxUtilization, but makes way for contracts of higher priority that were moved in.
func (r *regionCapacity) retained(p *placement, share int) int {
	share = r.fits(p, share)
	rate := float64(share) * p.ratePerThousandth
	if displacedRate := min(rate-max(r.headroom, 0), r.displaced); displacedRate > 0 {
		r.displaced -= displacedRate
		share -= min(share, int(math.Ceil(displacedRate/p.ratePerThousandth-roundingSlack)))
	}
	return share
}
