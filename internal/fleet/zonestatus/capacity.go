package zonestatus

import (
	"math"
	"slices"
)

// Shares and shed fractions are rounded to coarse steps, so that small changes in the
// observations do not change the replicated state.
const (
	shedSteps  = 20 // a twentieth each
	shareSteps = 4  // a quarter each

	// roundingSlack keeps floating point errors from rounding up to the next step.
	roundingSlack = 1e-9
)

// noZone is an index that refers to no zone.
const noZone = -1

// capacity returns the load that a zone's endpoints can carry, in units of one warm endpoint.
// Endpoints that are warming up count with ColdCapacityFraction, failing ones with 0.
func (v *fleetView) capacity(to int) float64 {
	stats := &v.stats[to]
	warm := stats.endpoints - stats.warmingUp + stats.warmingUp*v.cfg.ColdCapacityFraction
	return v.cfg.MaxUtilization * (1 - stats.failing) * warm
}

// usedCapacity returns the load that a zone's endpoints carry, in units of one fully loaded
// endpoint. A zone without a reported load (it serves no sessions) counts with the mean load of
// the other zones; ok is false if no zone has a reported load.
func (v *fleetView) usedCapacity(to int) (used float64, ok bool) {
	load, count := v.stats[to].load, 0
	if load < 0 {
		load = 0
		for i := range v.stats {
			if known := v.stats[i].load; known >= 0 {
				load += known
				count++
			}
		}
		if count == 0 {
			return 0, false
		}
		load /= float64(count)
	}
	return load * v.stats[to].endpoints, true
}

// spareCapacity returns the additional load that all zones but except can carry, in units of
// one fully loaded endpoint. Each zone's spare capacity is weighted by the fraction of the fleet
// that may still use the zone according to pairs.
func (v *fleetView) spareCapacity(pairs []PairStatus, except int) (spare float64) {
	for to, zone := range v.zones {
		used, ok := v.usedCapacity(to)
		if to == except || !ok {
			continue
		}
		servedFraction := 1.0
		for _, pair := range pairs {
			from, ok := slices.BinarySearch(v.zones, pair.From)
			if ok && pair.To == zone && (pair.Status.isEvacuated() || pair.Status == Recovering) {
				servedFraction -= v.memberFractions[from] * (1 - pair.Share)
			}
		}
		spare += max(0, servedFraction) * max(0, v.capacity(to)-used)
	}
	return spare
}

// limitPartialFailures lowers the share of a partially failing zone to about its healthy
// fraction, but not below the share that the other zones have no capacity for. It raises the
// share again as the zone recovers.
func (c *Controller) limitPartialFailures(view *fleetView, draft *changeDraft) {
	pairs := draft.resultingPairs()
	for to, zone := range view.zones {
		minShare := -1.0 // computed once per zone, on first use
		var reduced, raised []string
		for from, observer := range view.zones {
			evidence, pair := view.pair(from, to), draft.base.pair(observer, zone)
			if pair.Status != Active && pair.Status != Suspect || draft.pair(observer, zone) != pair {
				continue
			}
			share := quantizeShare(1 - evidence.failing)
			isPartial := evidence.known && !evidence.unavailable
			if isPartial && share < 1 && !c.DisabledGuards.PanicThreshold {
				if minShare < 0 {
					minShare = view.minShare(pairs, to)
				}
				share = max(share, minShare)
			}
			highFor := c.trackCondition(draft.now, observer, zone, shareTooHigh, isPartial && share < pair.Share)
			lowFor := c.trackCondition(draft.now, observer, zone, shareTooLow, isPartial && share > pair.Share)
			reduces, raises := highFor >= c.cfg.ConfirmInterval, lowFor >= c.cfg.StableInterval
			changedLately := pair.ChangedAt > 0 && draft.elapsedSince(pair.ChangedAt) < c.cfg.MinChangeInterval
			if !reduces && !raises || changedLately {
				continue
			}
			pair.Share = share
			switch {
			case !draft.set(pair):
			case reduces:
				reduced = append(reduced, observer)
			default:
				raised = append(raised, observer)
			}
		}
		draft.addReason(zone, "fails in part: less", reduced)
		draft.addReason(zone, "serves more again", raised)
	}
}

// minShare returns the share of a zone's traffic that the other zones have no capacity for.
func (v *fleetView) minShare(pairs []PairStatus, to int) float64 {
	used, ok := v.usedCapacity(to)
	if !ok || used == 0 {
		return 0
	}
	excessFraction := 1 - v.spareCapacity(pairs, to)/used
	return max(0, min(1, math.Ceil(excessFraction*shareSteps-roundingSlack)/shareSteps))
}

// quantizeShare rounds a healthy fraction to a multiple of 1/shareSteps, with a minimum of one
// step.
func quantizeShare(healthy float64) float64 {
	return max(1, math.Round(healthy*shareSteps)) / shareSteps
}
