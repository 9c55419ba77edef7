package zonestatus

import "math"

const (
	// shedDecrease and shedIncrease are the steps in which the shed fraction follows the load.
	shedDecrease, shedIncrease = 0.1, 0.05
	// The remaining zones have spare capacity below MaxUtilization - idleMargin. They are
	// overloaded above MaxUtilization + overloadMargin.
	idleMargin, overloadMargin = 0.1, 0.15
)

// computeShed raises the shed fraction by the part of the newly evacuated traffic that the
// remaining zones have no capacity for. Missing capacity does not prevent an evacuation, as the
// sessions of an unavailable zone fail in any case.
func (c *Controller) computeShed(view *fleetView, draft *changeDraft) {
	moved, total := 0.0, 0.0 // in units of one fully loaded endpoint
	for to, zone := range view.zones {
		used, _ := view.usedCapacity(to)
		for from, observer := range view.zones {
			before, after := draft.base.pair(observer, zone), draft.pair(observer, zone)
			if before.Status.isEvacuated() {
				continue // its traffic has already moved to the remaining zones
			}
			total += view.memberFractions[from] * used
			if after.Status.isEvacuated() {
				moved += view.memberFractions[from] * used * before.Share
			}
		}
	}
	if moved == 0 || c.DisabledGuards.PanicThreshold {
		return
	}
	excessFraction := (moved - view.spareCapacity(draft.resultingPairs(), noZone)) / total
	if excessFraction > 0 {
		shed := 1 - (1-draft.shed)*(1-excessFraction) // relative to the traffic not yet shed
		draft.shed = min(maxShed, math.Ceil(shed*shedSteps-roundingSlack)/shedSteps)
	}
}

// relaxShed lowers the shed fraction when the remaining zones have spare capacity, raises it when
// they are overloaded, and sets it to 0 when no zone is evacuated.
func (c *Controller) relaxShed(view *fleetView, draft *changeDraft) {
	if draft.base.Shed == 0 || draft.shed != draft.base.Shed || !draft.deferrableAllowed {
		return
	}
	meanLoad, serving, anyEvacuated := remainingLoad(view, draft)
	shed := draft.shed
	switch {
	case !anyEvacuated:
		shed = 0
	case serving == 0 || draft.now-c.shedChangedAt < c.cfg.MinChangeInterval:
	case meanLoad < c.cfg.MaxUtilization-idleMargin:
		shed = max(0, math.Round((draft.shed-shedDecrease)*shedSteps)/shedSteps)
	case meanLoad > c.cfg.MaxUtilization+overloadMargin:
		shed = min(maxShed, math.Round((draft.shed+shedIncrease)*shedSteps)/shedSteps)
	}
	if shed != draft.shed {
		draft.shed = shed
		draft.reasons = append(draft.reasons, "what is refused follows the room of those who stay")
	}
}

// remainingLoad returns the mean load of the zones that are not evacuated, how many of them have
// a known load, and whether any zone is evacuated.
func remainingLoad(view *fleetView, draft *changeDraft) (meanLoad float64, serving int, anyEvacuated bool) {
	load := 0.0
	for to, zone := range view.zones {
		evacuated := false
		for _, observer := range view.zones {
			evacuated = evacuated || draft.pair(observer, zone).Status.isEvacuated()
		}
		anyEvacuated = anyEvacuated || evacuated
		if !evacuated && view.stats[to].load >= 0 {
			load += view.stats[to].load
			serving++
		}
	}
	return load / float64(max(serving, 1)), serving, anyEvacuated
}
