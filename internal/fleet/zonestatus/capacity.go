package zonestatus

import (
	"math"
	"slices"
)

// twentieth and quarter are how coarse shares are told: small changes of what is seen
// change nothing that is said.
const shedSteps, shareSteps = 20, 4

// bears is what a zone's servers can do, in servers of full warmth: the cold ones for
// what they can do as they start, the failed ones for nothing.
func (v *fleetView) capacity(to int) float64 {
	stats := &v.stats[to]
	return v.cfg.MaxUtilization * (1 - stats.failing) * (stats.endpoints - stats.warmingUp + stats.warmingUp*v.cfg.ColdCapacityFraction)
}

// work is what a zone's servers do, in full servers. Nobody may know the load of one that
// answers nobody: it had the mean of the others. ok is false if no load is known at all.
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

// weigh reckons each zone's part of all set-ups: that of its members.
func (v *fleetView) computeMemberFractions() {
	total := 0
	for _, members := range v.aliveMembers {
		total += members
	}
	v.memberFractions = make([]float64, len(v.aliveMembers))
	for i, members := range v.aliveMembers {
		v.memberFractions[i] = float64(members) / float64(max(total, 1))
	}
}

// room is what the zones that stay can take on more, but for one; rows say who stays for
// whom.
func (v *fleetView) spareCapacity(pairs []PairStatus, except int) (spare float64) {
	for to, zone := range v.zones {
		used, ok := v.usedCapacity(to)
		if to == except || !ok {
			continue
		}
		servedFraction := 1.0
		for _, pair := range pairs {
			if from, ok := slices.BinarySearch(v.zones, pair.From); ok && pair.To == zone && (pair.Status.isEvacuated() || pair.Status == Recovering) {
				servedFraction -= v.memberFractions[from] * (1 - pair.Share)
			}
		}
		spare += max(0, servedFraction) * max(0, v.capacity(to)-used)
	}
	return spare
}

// carry reckons, for what is left now, what those who stay can't take on: it is refused at
// once. A zone that serves nobody is left all the same, as nothing is lost by that.
func (c *Controller) computeShed(view *fleetView, draft *changeDraft) {
	moved, total := 0.0, 0.0
	for to := range view.zones {
		used, _ := view.usedCapacity(to)
		for from := range view.zones {
			before, after := draft.base.pair(view.zones[from], view.zones[to]), draft.pair(view.zones[from], view.zones[to])
			if before.Status.isEvacuated() {
				continue // those who stay do its work already
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
	if shed := (moved - view.spareCapacity(draft.resultingPairs(), -1)) / total; shed > 0 {
		shed = 1 - (1-draft.shed)*(1-shed) // of what is not refused already
		draft.shed = min(maxShed, math.Ceil(shed*shedSteps-1e-9)/shedSteps)
	}
}

// ease takes back what is refused as those who stay have room again, a tenth at a time,
// and adds to it while they are over full.
func (c *Controller) relaxShed(view *fleetView, draft *changeDraft) {
	if draft.base.Shed == 0 || draft.shed != draft.base.Shed || !draft.deferrableAllowed {
		return
	}
	load, serving, anyEvacuated := 0.0, 0, false
	for to, zone := range view.zones {
		evacuated := false
		for from := range view.zones {
			evacuated = evacuated || draft.pair(view.zones[from], zone).Status.isEvacuated()
		}
		if anyEvacuated = anyEvacuated || evacuated; !evacuated && view.stats[to].load >= 0 {
			load += view.stats[to].load
			serving++
		}
	}
	shed := draft.shed
	switch {
	case !anyEvacuated:
		shed = 0
	case serving == 0 || draft.now-c.shedChangedAt < c.cfg.MinChangeInterval:
	case load/float64(serving) < c.cfg.MaxUtilization-0.1:
		shed = max(0, math.Round((draft.shed-0.1)*shedSteps)/shedSteps)
	case load/float64(serving) > c.cfg.MaxUtilization+0.15:
		shed = min(maxShed, math.Round((draft.shed+0.05)*shedSteps)/shedSteps)
	}
	if shed != draft.shed {
		draft.shed = shed
		draft.reasons = append(draft.reasons, "what is refused follows the room of those who stay")
	}
}

// part bounds the share of a zone of which a part fails to about its sound part, in
// quarters, but never so far that the others could not carry the rest.
func (c *Controller) limitPartialFailures(view *fleetView, draft *changeDraft) {
	pairs := draft.resultingPairs()
	for to, zone := range view.zones {
		floor, floorKnown := 0.0, false
		var reduced, raised []string
		for from, observer := range view.zones {
			evidence, pair := view.pair(from, to), draft.base.pair(observer, zone)
			if pair.Status != Active && pair.Status != Suspect || draft.pair(observer, zone) != pair {
				continue
			}
			share := quantizeShare(1 - evidence.failing)
			if evidence.known && !evidence.unavailable && share < 1 && !c.DisabledGuards.PanicThreshold {
				if !floorKnown {
					floor, floorKnown = c.minShare(view, pairs, to), true
				}
				share = max(share, floor)
			}
			known := evidence.known && !evidence.unavailable
			shrink := c.heldFor(draft.now, observer, zone, '-', known && share < pair.Share) >= c.cfg.ConfirmInterval
			grow := c.heldFor(draft.now, observer, zone, '+', known && share > pair.Share) >= c.cfg.StableInterval
			if !(shrink || grow) || pair.ChangedAt > 0 && draft.elapsedSince(pair.ChangedAt) < c.cfg.MinChangeInterval {
				continue
			}
			pair.Share = share
			if !draft.set(pair) {
				continue
			}
			if shrink {
				reduced = append(reduced, observer)
			} else {
				raised = append(raised, observer)
			}
		}
		draft.addReason(zone, "fails in part: less", reduced)
		draft.addReason(zone, "serves more again", raised)
	}
}

// least is the share of a zone's work that the others can't carry.
func (c *Controller) minShare(view *fleetView, pairs []PairStatus, to int) float64 {
	used, ok := view.usedCapacity(to)
	if !ok || used == 0 {
		return 0
	}
	return min(1, math.Ceil((1-view.spareCapacity(pairs, to)/used)*shareSteps-1e-9)/shareSteps)
}

// coarse rounds to quarters: what is sound at all keeps one.
func quantizeShare(sound float64) float64 {
	return max(1, math.Round(sound*shareSteps)) / shareSteps
}
