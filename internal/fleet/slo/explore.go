package slo

import (
	"cmp"
	"slices"
)

// explore sends a small part of some contracts to regions that nobody has measured of late:
// as few of them as bring enough samples, those of the least priority first, and none whose
// budget is being spent or that explores already.
func (st *Controller) explore(wants []*placement, places []regionCapacity, slot int64) {
	part, seconds := int(st.cfg.ExploreFraction*thousandths), st.cfg.SampleInterval.Seconds()*float64(st.cfg.EvidenceIntervals)
	if st.DisabledGuards.ExploreLimit {
		part = thousandths / 5
	}
	order := slices.Clone(wants)
	slices.SortFunc(order, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(b.contract.Priority, a.contract.Priority), cmp.Compare(b.ratePerThousandth, a.ratePerThousandth),
			cmp.Compare(a.contract.Name, b.contract.Name))
	})
	for r := range places {
		for _, messages := range []bool{false, true} {
			samples := 0.0 // to be expected within the evidence's time
			for _, w := range wants {
				if w.contract.ForMessages == messages {
					samples += float64(w.next[r]) * w.ratePerThousandth * seconds
				}
			}
			for _, w := range order {
				if w.contract.ForMessages != messages || samples >= st.cfg.MinSamples && !st.DisabledGuards.ExploreLimit {
					continue
				}
				if places[r].usable && w.allowed[r] && st.isUnmeasured(w, places[r].name, slot) && st.mayExplore(w, places, slot, r, part) {
					from := 0
					for i := range places {
						if w.next[i] > w.next[from] {
							from = i
						}
					}
					w.next[from], w.next[r] = w.next[from]-part, w.next[r]+part
					w.exploredRegion = places[r].name
					w.moved += part
					places[from].reserve(w, -part)
					places[r].reserve(w, part)
					places[r].inflowLeft -= float64(part) * w.ratePerThousandth
					samples += float64(part) * w.ratePerThousandth * seconds
				}
			}
		}
	}
}

func (st *Controller) isUnmeasured(w *placement, region string, slot int64) bool {
	all, _, _ := st.pooledCount(region, w.contract, slot)
	return all < st.cfg.MinSamples
}

func (st *Controller) mayExplore(w *placement, places []regionCapacity, slot int64, r, part int) bool {
	if part == 0 || !w.maySteer || !w.isDue || w.moved > 0 || w.next[r] > 0 || slices.Max(w.next) < part {
		return false
	}
	if st.DisabledGuards.ExploreLimit {
		return true
	}
	if !st.contracts[w.contract.Name].hasHalfBudget() || w.unmetReason != "" || fitting(min(places[r].headroom, places[r].inflowLeft), w.ratePerThousandth, part) < part {
		return false
	}
	for i := range places { // what it has in such regions is exploring already
		if w.next[i]+w.overflow[i] > 0 && st.isUnmeasured(w, places[i].name, slot) {
			return false
		}
	}
	return true
}
