package slo

import (
	"cmp"
	"fmt"
	"slices"
)

// move takes a part of a contract out of regions that break its promise: no more than a
// step, and into each region no more than it takes in a period, up to where it is full.
func (st *Controller) moveFromBreaches(w *placement, places []regionCapacity) {
	if st.DisabledGuards.GradualMoves {
		st.moveAllToBest(w, places)
		return
	}
	if !w.maySteer || !w.isDue || !w.isBurning && !st.DisabledGuards.Hysteresis {
		return
	}
	var from, to []int
	for _, r := range w.rankedRegions(places) {
		v := w.regionViews[r]
		switch {
		case v.verdict == breaches:
			if v.breachConfirmed && w.next[r] > 0 {
				from = append(from, r)
			}
		case v.hasMargin || v.verdict == unknown:
			to = append(to, r)
		}
	}
	slices.SortStableFunc(from, func(a, b int) int { return cmp.Compare(w.regionViews[a].score, w.regionViews[b].score) })
	if len(from) == 0 {
		return
	}
	step := int(st.cfg.MaxMoveFraction * thousandths)
	left := step
	for _, f := range from {
		for _, r := range to {
			k := min(left, w.next[f])
			if !st.DisabledGuards.CapacityLimits {
				k = fitting(min(places[r].headroom, places[r].inflowLeft), w.ratePerThousandth, k)
			}
			left -= k
			w.next[f], w.next[r] = w.next[f]-k, w.next[r]+k
			places[f].reserve(w, -k)
			places[r].reserve(w, k)
			places[r].inflowLeft -= float64(k) * w.ratePerThousandth
			places[r].displaced += float64(k) * w.ratePerThousandth
		}
	}
	w.moved += step - left
	switch {
	case left < step || w.unmetReason != "":
	case len(to) > 0:
		w.unmetReason = "limit: " + joinRegionNames(places, to) + " may keep it and have no room"
	case w.meetsAnywhere(places):
		w.unmetReason = "limit: its regions keep it by less than the margin"
	default:
		w.unmetReason = fmt.Sprintf("bound: none of %s keeps %v within %v", joinRegionNames(places, w.rankedRegions(places)), w.contract.Quantile, w.contract.Objective)
	}
}

// kept tells whether any region keeps the promise.
func (w *placement) meetsAnywhere(places []regionCapacity) bool {
	return slices.ContainsFunc(w.rankedRegions(places), func(r int) bool { return w.regionViews[r].verdict == meets })
}

// rush is what a greedy controller does: all there is goes to the best region.
func (st *Controller) moveAllToBest(w *placement, places []regionCapacity) {
	list := w.rankedRegions(places)
	if !w.maySteer || !w.isDue || len(list) == 0 {
		return
	}
	best := slices.MaxFunc(list, func(a, b int) int { return cmp.Compare(w.regionViews[a].score, w.regionViews[b].score) })
	for r := range places {
		if r != best {
			k := w.next[r]
			w.next[r], w.next[best], w.moved = 0, w.next[best]+k, w.moved+k
			places[r].reserve(w, -k)
			places[best].reserve(w, k)
		}
	}
}
