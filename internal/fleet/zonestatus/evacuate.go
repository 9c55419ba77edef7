package zonestatus

import (
	"cmp"
	"slices"
	"strings"
)

// leave drafts what is left now: each zone from all that have lost it at once.
func (c *Controller) evacuate(view *fleetView, draft *changeDraft) {
	candidatesByObserver := make([][]int, len(view.zones)) // what each zone would leave
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

// accusers are the zones that leave one now. The first to have seen it for long enough
// takes along those that see it, those that are about to are waited for a little, and
// those that can't tell follow where it fails for everybody.
func (c *Controller) observersToEvacuate(view *fleetView, draft *changeDraft, to int) (observers []int) {
	longest, othersDegrading := c.cfg.ConfirmInterval-1, false
	for observer := range view.zones {
		if !view.hasMembers[observer] {
			continue
		}
		evidence := view.pair(observer, to)
		unavailableFor := c.heldFor(draft.now, view.zones[observer], view.zones[to], 'l', evidence.unavailable)
		switch pair := draft.base.pair(view.zones[observer], view.zones[to]); {
		case pair.Status.isEvacuated():
		case evidence.unavailable:
			observers, longest = append(observers, observer), max(longest, unavailableFor)
		case evidence.known && evidence.failing >= 0.5:
			othersDegrading = true
		}
	}
	if len(observers) == 0 || longest < c.cfg.ConfirmInterval || othersDegrading && longest < 2*c.cfg.ConfirmInterval {
		return nil
	}
	if view.failsForMost(to) {
		for observer := range view.zones {
			evidence := view.pair(observer, to)
			if view.hasMembers[observer] && !evidence.known && !evidence.unavailable && !draft.base.pair(view.zones[observer], view.zones[to]).Status.isEvacuated() {
				observers = append(observers, observer)
			}
		}
	}
	return observers
}

// carried is the panic rule: of the zones that one would leave, those that it may, the
// surest first, and never the last one.
func (c *Controller) limitEvacuations(view *fleetView, draft *changeDraft, from int, candidates []int) []int {
	if c.committed != nil {
		candidates = c.limitToOneUnit(view, draft, from, candidates)
	}
	if c.DisabledGuards.PanicThreshold {
		return candidates
	}
	surest := slices.Clone(candidates)
	slices.SortFunc(surest, func(a, b int) int {
		isOwnZone := func(zone int) int {
			if zone == from {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(view.unavailableCount(b), view.unavailableCount(a)), cmp.Compare(isOwnZone(a), isOwnZone(b)),
			cmp.Compare(view.pair(from, b).failing, view.pair(from, a).failing), strings.Compare(view.zones[a], view.zones[b]))
	})
	remaining := c.cfg.maxEvacuatedZones(len(view.zones)) - draft.base.evacuatedCount(view.zones[from])
	return slices.DeleteFunc(surest, func(to int) bool {
		if draft.base.pair(view.zones[from], view.zones[to]).Status == Recovering {
			return false // counted as left already
		}
		remaining--
		return remaining < 0
	})
}

// losers is how many zones have lost one.
func (v *fleetView) unavailableCount(to int) (n int) {
	for from := range v.zones {
		if v.pair(from, to).unavailable {
			n++
		}
	}
	return n
}

// suspect names what the panic rule keeps, and takes the name back.
func (c *Controller) updateSuspects(view *fleetView, draft *changeDraft, kept [][]string) {
	draft.deferrable, draft.deferrableAllowed = true, draft.elapsedSince(draft.lastChangeAt) >= c.cfg.StableInterval
	defer func() { draft.deferrable = false }()
	for to, zone := range view.zones {
		var suspecting []string
		for _, from := range kept[to] {
			if pair := draft.base.pair(from, zone); pair.Status == Active {
				pair.Status = Suspect
				if draft.set(pair) {
					suspecting = append(suspecting, from)
				}
			}
		}
		draft.addReason(zone, "serves nobody, and is kept for want of others", suspecting)
	}
	for _, pair := range draft.base.Pairs {
		recovered := pair.Status == Suspect && !view.isUnavailable(pair.From, pair.To)
		if c.heldFor(draft.now, pair.From, pair.To, 's', recovered) >= c.cfg.StableInterval {
			pair.Status = Active
			if draft.set(pair) {
				draft.addReason(pair.To, "is suspect no more", []string{pair.From})
			}
		}
	}
}

// lost tells whether a zone has lost another, by names.
func (v *fleetView) isUnavailable(from, to string) bool {
	fromIndex, fromKnown := slices.BinarySearch(v.zones, from)
	toIndex, toKnown := slices.BinarySearch(v.zones, to)
	return fromKnown && toKnown && v.pair(fromIndex, toIndex).unavailable
}
