package slo

import (
	"cmp"
	"slices"
)

// explore sends a small part of some contracts to regions that nobody has measured of late:
// as few of them as bring enough samples, those of the least priority first, and none whose
// budget is being spent or that explores already.
func (st *Controller) explore(wants []*want, places []place, slot int64) {
	part, seconds := int(st.cfg.ExploreFraction*mille), st.cfg.SampleInterval.Seconds()*float64(st.cfg.EvidenceIntervals)
	if st.DisabledGuards.ExploreLimit {
		part = mille / 5
	}
	order := slices.Clone(wants)
	slices.SortFunc(order, func(a, b *want) int {
		return cmp.Or(cmp.Compare(b.contract.Priority, a.contract.Priority), cmp.Compare(b.unit, a.unit),
			cmp.Compare(a.contract.Name, b.contract.Name))
	})
	for r := range places {
		for _, messages := range []bool{false, true} {
			samples := 0.0 // to be expected within the evidence's time
			for _, w := range wants {
				if w.contract.ForMessages == messages {
					samples += float64(w.next[r]) * w.unit * seconds
				}
			}
			for _, w := range order {
				if w.contract.ForMessages != messages || samples >= st.cfg.MinSamples && !st.DisabledGuards.ExploreLimit {
					continue
				}
				if places[r].usable && w.allowed[r] && st.unmeasured(w, places[r].name, slot) && st.mayExplore(w, places, slot, r, part) {
					from := 0
					for i := range places {
						if w.next[i] > w.next[from] {
							from = i
						}
					}
					w.next[from], w.next[r] = w.next[from]-part, w.next[r]+part
					w.explored = places[r].name
					w.moved += part
					places[from].take(w, -part)
					places[r].take(w, part)
					places[r].inflow -= float64(part) * w.unit
					samples += float64(part) * w.unit * seconds
				}
			}
		}
	}
}

func (st *Controller) unmeasured(w *want, region string, slot int64) bool {
	all, _, _ := st.pooled(region, w.contract, slot)
	return all < st.cfg.MinSamples
}

func (st *Controller) mayExplore(w *want, places []place, slot int64, r, part int) bool {
	if part == 0 || !w.free || !w.due || w.moved > 0 || w.next[r] > 0 || slices.Max(w.next) < part {
		return false
	}
	if st.DisabledGuards.ExploreLimit {
		return true
	}
	if !st.tracks[w.contract.Name].healthy() || w.why != "" || fit(min(places[r].fill, places[r].inflow), w.unit, part) < part {
		return false
	}
	for i := range places { // what it has in such regions is exploring already
		if w.next[i]+w.over[i] > 0 && st.unmeasured(w, places[i].name, slot) {
			return false
		}
	}
	return true
}
