package zonestatus

import (
	"cmp"
	"slices"
	"strings"
)

// degradedFraction is the failing fraction at or above which a zone counts as degrading.
const degradedFraction = 0.5

// evacuate drafts the evacuations that are due, each zone from all its observing zones at once.
func (c *Controller) evacuate(view *fleetView, draft *changeDraft) {
	candidatesByObserver := make([][]int, len(view.zones)) // zones to evacuate, by observing zone
	for to := range view.zones {
		for _, from := range c.observersToEvacuate(view, draft, to) {
			candidatesByObserver[from] = append(candidatesByObserver[from], to)
		}
	}
	evacuated, kept := make([][]string, len(view.zones)), make([][]string, len(view.zones))
	for from, candidates := range candidatesByObserver {
		allowed := c.limitEvacuations(view, draft, from, candidates)
		for _, to := range candidates {
			pair := draft.pair(view.zones[from], view.zones[to])
			if !slices.Contains(allowed, to) {
				kept[to] = append(kept[to], pair.From)
				continue
			}
			failures := pair.Failures + 1
			if c.DisabledGuards.HoldDown {
				failures = 1
			}
			draft.set(PairStatus{From: pair.From, To: pair.To, Status: Evacuating, Failures: failures})
			evacuated[to] = append(evacuated[to], pair.From)
		}
	}
	for to, zone := range view.zones {
		draft.addReason(zone, "serves nobody: left", evacuated[to])
	}
	c.updateSuspects(view, draft, kept)
}

// observersToEvacuate returns the zones that evacuate zone to now. Once the first of them has
// observed the failure for the ConfirmInterval, all that observe it evacuate together. While
// other zones observe the zone as degrading, the evacuation waits for twice the ConfirmInterval.
// Zones without evidence evacuate it too if failsForMost is true.
func (c *Controller) observersToEvacuate(view *fleetView, draft *changeDraft, to int) (observers []int) {
	longest, othersDegrading := c.cfg.ConfirmInterval-1, false
	for from, observer := range view.zones {
		if !view.hasMembers[from] {
			continue
		}
		evidence := view.pair(from, to)
		unavailableFor := c.trackCondition(draft.now, observer, view.zones[to], zoneUnavailable, evidence.unavailable)
		switch pair := draft.base.pair(observer, view.zones[to]); {
		case pair.Status.isEvacuated():
		case evidence.unavailable:
			observers, longest = append(observers, from), max(longest, unavailableFor)
		case evidence.known && evidence.failing >= degradedFraction:
			othersDegrading = true
		}
	}
	if len(observers) == 0 || longest < c.cfg.ConfirmInterval || othersDegrading && longest < 2*c.cfg.ConfirmInterval {
		return nil
	}
	if !view.failsForMost(to) {
		return observers
	}
	for from, observer := range view.zones {
		evidence := view.pair(from, to)
		hasEvidence := evidence.known || evidence.unavailable
		if view.hasMembers[from] && !hasEvidence &&
			!draft.base.pair(observer, view.zones[to]).Status.isEvacuated() {
			observers = append(observers, from)
		}
	}
	return observers
}

// limitEvacuations enforces the panic threshold. It returns those of an observing zone's
// candidates that the zone may evacuate, the most certain failures first. At least one zone
// always remains.
func (c *Controller) limitEvacuations(view *fleetView, draft *changeDraft, from int, candidates []int) []int {
	if c.committed != nil {
		candidates = c.limitToOneUnit(view, draft, from, candidates)
	}
	if c.DisabledGuards.PanicThreshold {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(a, b int) int { return view.compareCertainty(from, a, b) })
	remaining := c.cfg.maxEvacuatedZones(len(view.zones)) - draft.base.evacuatedCount(view.zones[from])
	return slices.DeleteFunc(ranked, func(to int) bool {
		if draft.base.pair(view.zones[from], view.zones[to]).Status == Recovering {
			return false // evacuatedCount includes it already
		}
		remaining--
		return remaining < 0
	})
}

// compareCertainty orders the candidates for evacuation: first those that are unavailable from
// the most zones, then other zones before the observing zone itself, then those with the largest
// failing fraction.
func (v *fleetView) compareCertainty(from, a, b int) int {
	isOwnZone := func(zone int) int {
		if zone == from {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(v.unavailableCount(b), v.unavailableCount(a)),
		cmp.Compare(isOwnZone(a), isOwnZone(b)),
		cmp.Compare(v.pair(from, b).failing, v.pair(from, a).failing),
		strings.Compare(v.zones[a], v.zones[b]),
	)
}

// updateSuspects marks the pairs that the panic threshold keeps from evacuation as Suspect, and
// returns suspect pairs to Active once they have recovered. kept holds the observing zones by the
// observed zone.
func (c *Controller) updateSuspects(view *fleetView, draft *changeDraft, kept [][]string) {
	draft.deferrable = true
	draft.deferrableAllowed = draft.elapsedSince(draft.lastChangeAt) >= c.cfg.StableInterval
	defer func() { draft.deferrable = false }()
	for to, zone := range view.zones {
		var suspecting []string
		for _, from := range kept[to] {
			pair := draft.base.pair(from, zone)
			if pair.Status != Active {
				continue
			}
			pair.Status = Suspect
			if draft.set(pair) {
				suspecting = append(suspecting, from)
			}
		}
		draft.addReason(zone, "serves nobody, and is kept for want of others", suspecting)
	}
	for _, pair := range draft.base.Pairs {
		recovered := pair.Status == Suspect && !view.isUnavailable(pair.From, pair.To)
		if c.trackCondition(draft.now, pair.From, pair.To, suspectRecovered, recovered) < c.cfg.StableInterval {
			continue
		}
		pair.Status = Active
		if draft.set(pair) {
			draft.addReason(pair.To, "is suspect no more", []string{pair.From})
		}
	}
}

// finishEvacuations changes Evacuating to Evacuated, or to HeldBack after repeated failures, once
// the EvacuationTimeout is over. By then all nodes are expected to have received the evacuation.
func (c *Controller) finishEvacuations(draft *changeDraft) {
	var evacuated []string
	for _, pair := range draft.base.Pairs {
		if pair.Status != Evacuating || draft.elapsedSince(pair.ChangedAt) < c.cfg.EvacuationTimeout {
			continue
		}
		next := PairStatus{From: pair.From, To: pair.To, Status: Evacuated, Failures: pair.Failures}
		if hold := c.cfg.holdInterval(pair.Failures); hold > 0 {
			next.Status, next.HeldUntil = HeldBack, (draft.now + hold).Milliseconds()
		}
		if draft.set(next) {
			evacuated = append(evacuated, pair.From+" to "+pair.To)
		}
	}
	if len(evacuated) > 0 {
		draft.reasons = append(draft.reasons, "left by all: "+strings.Join(evacuated, ", "))
	}
}
