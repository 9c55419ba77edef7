package slo

import (
	"cmp"
	"fmt"
	"slices"
)

// move takes a part of a contract out of regions that break its promise: no more than a
// step, and into each region no more than it takes in a period, up to where it is full.
func (st *Controller) move(w *want, places []place) {
	if st.DisabledGuards.GradualMoves {
		st.rush(w, places)
		return
	}
	if !w.free || !w.due || !w.burning && !st.DisabledGuards.Hysteresis {
		return
	}
	var from, to []int
	for _, r := range w.by(places) {
		v := w.views[r]
		switch {
		case v.verdict == breaks:
			if v.ripe && w.next[r] > 0 {
				from = append(from, r)
			}
		case v.roomy || v.verdict == unknown:
			to = append(to, r)
		}
	}
	slices.SortStableFunc(from, func(a, b int) int { return cmp.Compare(w.views[a].score, w.views[b].score) })
	if len(from) == 0 {
		return
	}
	step := int(st.cfg.MaxMoveFraction * mille)
	left := step
	for _, f := range from {
		for _, r := range to {
			k := min(left, w.next[f])
			if !st.DisabledGuards.CapacityLimits {
				k = fit(min(places[r].fill, places[r].inflow), w.unit, k)
			}
			left -= k
			w.next[f], w.next[r] = w.next[f]-k, w.next[r]+k
			places[f].take(w, -k)
			places[r].take(w, k)
			places[r].inflow -= float64(k) * w.unit
			places[r].pressed += float64(k) * w.unit
		}
	}
	w.moved += step - left
	switch {
	case left < step || w.why != "":
	case len(to) > 0:
		w.why = "limit: " + names(places, to) + " may keep it and have no room"
	case w.kept(places):
		w.why = "limit: its regions keep it by less than the margin"
	default:
		w.why = fmt.Sprintf("bound: none of %s keeps %v within %v", names(places, w.by(places)), w.contract.Quantile, w.contract.Objective)
	}
}

// kept tells whether any region keeps the promise.
func (w *want) kept(places []place) bool {
	return slices.ContainsFunc(w.by(places), func(r int) bool { return w.views[r].verdict == keeps })
}

// rush is what a greedy controller does: all there is goes to the best region.
func (st *Controller) rush(w *want, places []place) {
	list := w.by(places)
	if !w.free || !w.due || len(list) == 0 {
		return
	}
	best := slices.MaxFunc(list, func(a, b int) int { return cmp.Compare(w.views[a].score, w.views[b].score) })
	for r := range places {
		if r != best {
			k := w.next[r]
			w.next[r], w.next[best], w.moved = 0, w.next[best]+k, w.moved+k
			places[r].take(w, -k)
			places[best].take(w, k)
		}
	}
}
