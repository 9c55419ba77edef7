package slo

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// roundingSlack keeps floating point errors from rounding down a share by one thousandth.
const roundingSlack = 1e-9

// maxRate is the largest rate accepted as input, in session set-ups per second.
const maxRate = 1e12

// regionCapacity is the remaining capacity of a region during an allocation, in session set-ups
// per second.
type regionCapacity struct {
	name       string
	usable     bool
	capacity   float64
	spare      float64 // remaining capacity
	headroom   float64 // remaining capacity up to MaxUtilization
	inflowLeft float64 // remaining rate that may be moved in now
	displaced  float64 // rate moved in that contracts of lower priority must still give up
}

// sanitizedRate returns an untrusted rate, or 0 if it is not between 0 and maxRate.
func sanitizedRate(rate float64) float64 {
	if rate > 0 && rate <= maxRate {
		return rate
	}
	return 0
}

// regionCapacities returns the capacities of the regions, sorted by name, before any contract is
// placed.
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
		if region.Load > 1 { // the capacity is overestimated or used by other traffic
			r.headroom, r.inflowLeft = 0, 0
		}
		byName[region.Name] = r
	}
	return slices.SortedFunc(maps.Values(byName), func(a, b regionCapacity) int { return cmp.Compare(a.name, b.name) })
}

// fittingShare returns how many thousandths of a contract, up to limit, fit into a spare rate.
func fittingShare(spare, ratePerThousandth float64, limit int) int {
	if ratePerThousandth <= 0 {
		return limit
	}
	return int(min(max(math.Floor(spare/ratePerThousandth+roundingSlack), 0), float64(limit)))
}

// reserve subtracts a contract's share from the remaining capacity. A negative share releases
// capacity.
func (r *regionCapacity) reserve(p *placement, share int) {
	rate := float64(share) * p.ratePerThousandth
	r.spare -= rate
	r.headroom -= rate
}

// fits returns how much of a contract's share fits into the region. A contract whose objective
// can't be met may fill the region only up to MaxUtilization, so that it does not slow down the
// other contracts.
func (r *regionCapacity) fits(p *placement, share int) int {
	if p.lastUnmetReason != "" {
		return r.fitsBelowLimit(p, share)
	}
	return fittingShare(r.spare, p.ratePerThousandth, share)
}

// fitsBelowLimit returns how much of a contract's share fits below MaxUtilization.
func (r *regionCapacity) fitsBelowLimit(p *placement, share int) int {
	return fittingShare(min(r.spare, r.headroom), p.ratePerThousandth, share)
}

// fitsInflow returns how much of a contract's share may be moved into the region now.
func (r *regionCapacity) fitsInflow(p *placement, share int) int {
	return fittingShare(min(r.headroom, r.inflowLeft), p.ratePerThousandth, share)
}

// retained returns how much of its share a contract keeps in the region. The contract may keep
// capacity above MaxUtilization, but gives up the capacity that contracts of higher priority were
// moved into.
func (r *regionCapacity) retained(p *placement, share int) int {
	share = r.fits(p, share)
	rate := float64(share) * p.ratePerThousandth
	if displacedRate := min(rate-max(r.headroom, 0), r.displaced); displacedRate > 0 {
		r.displaced -= displacedRate
		share -= min(share, int(math.Ceil(displacedRate/p.ratePerThousandth-roundingSlack)))
	}
	return share
}
