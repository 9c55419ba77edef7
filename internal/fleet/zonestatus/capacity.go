package zonestatus

import (
	"math"
	"slices"
)

// Shares and shed fractions are rounded to coarse steps, so that small changes of what is
// observed change nothing in the replicated state.
const (
	shedSteps  = 20 // a twentieth each
	shareSteps = 4  // a quarter each

	// roundingSlack keeps floating point errors from rounding up to the next step.
	roundingSlack = 1e-9
)

// noZone is no index of a zone.
const noZone = -1

// capacity is what a zone's endpoints can carry, in fully warm endpoints: those that are
// warming up count for their cold capacity, failing ones for nothing.
func (v *fleetView) capacity(to int) float64 {
	stats := &v.stats[to]
	warm := stats.endpoints - stats.warmingUp + stats.warmingUp*v.cfg.ColdCapacityFraction
	return v.cfg.MaxUtilization * (1 - stats.failing) * warm
}

// usedCapacity is what a zone's endpoints carry, in full endpoints. A zone whose load nobody
// knows, as it serves nobody, counts with the mean load of the others; ok is false if no load
// is known at all.
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

// spareCapacity is what the zones that are not evacuated can take on in addition, in full
// endpoints, without the zone except. pairs say which observing zones still use them.
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

// limitPartialFailures lowers the share of a zone of which a part fails to about its healthy
// part, but not below what the others can't carry, and raises it again.
func (c *Controller) limitPartialFailures(view *fleetView, draft *changeDraft) {
	pairs := draft.resultingPairs()
	for to, zone := range view.zones {
		minShare := -1.0 // computed once for the zone, if at all
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

// minShare is the share of a zone's traffic that the others can't carry.
func (v *fleetView) minShare(pairs []PairStatus, to int) float64 {
	used, ok := v.usedCapacity(to)
	if !ok || used == 0 {
		return 0
	}
	uncarried := 1 - v.spareCapacity(pairs, to)/used
	return max(0, min(1, math.Ceil(uncarried*shareSteps-roundingSlack)/shareSteps))
}

// quantizeShare rounds a healthy fraction to a step; a zone that serves at all keeps one step.
func quantizeShare(healthy float64) float64 {
	return max(1, math.Round(healthy*shareSteps)) / shareSteps
}
