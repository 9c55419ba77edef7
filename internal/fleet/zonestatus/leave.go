package zonestatus

import (
	"cmp"
	"slices"
	"strings"
)

// leave drafts what is left now: each zone from all that have lost it at once.
func (w *Controller) evacuate(v *fleetView, d *changeDraft) {
	all := make([][]int, len(v.zones)) // what each zone would leave
	for to := range v.zones {
		for _, from := range w.observersToEvacuate(v, d, to) {
			all[from] = append(all[from], to)
		}
	}
	went, kept := make([][]string, len(v.zones)), make([][]string, len(v.zones))
	for from, accused := range all {
		leaves := w.limitEvacuations(v, d, from, accused)
		for _, to := range accused {
			row := d.pair(v.zones[from], v.zones[to])
			if !slices.Contains(leaves, to) {
				kept[to] = append(kept[to], row.From)
				continue
			}
			fails := row.Failures + 1
			if w.DisabledGuards.HoldDown {
				fails = 1
			}
			d.set(PairStatus{From: row.From, To: row.To, Status: Evacuating, Failures: fails})
			went[to] = append(went[to], row.From)
		}
	}
	for to, z := range v.zones {
		d.addReason(z, "serves nobody: left", went[to])
	}
	w.updateSuspects(v, d, kept)
}

// accusers are the zones that leave one now. The first to have seen it for long enough
// takes along those that see it, those that are about to are waited for a little, and
// those that can't tell follow where it fails for everybody.
func (w *Controller) observersToEvacuate(v *fleetView, d *changeDraft, to int) (from []int) {
	oldest, turning := w.cfg.ConfirmInterval-1, false
	for a := range v.zones {
		if !v.hasMembers[a] {
			continue
		}
		p := v.pair(a, to)
		t := w.heldFor(d.now, v.zones[a], v.zones[to], 'l', p.unavailable)
		switch row := d.base.pair(v.zones[a], v.zones[to]); {
		case row.Status.isEvacuated():
		case p.unavailable:
			from, oldest = append(from, a), max(oldest, t)
		case p.known && p.failing >= 0.5:
			turning = true
		}
	}
	if len(from) == 0 || oldest < w.cfg.ConfirmInterval || turning && oldest < 2*w.cfg.ConfirmInterval {
		return nil
	}
	if v.failsForMost(to) {
		for a := range v.zones {
			p := v.pair(a, to)
			if v.hasMembers[a] && !p.known && !p.unavailable && !d.base.pair(v.zones[a], v.zones[to]).Status.isEvacuated() {
				from = append(from, a)
			}
		}
	}
	return from
}

// carried is the panic rule: of the zones that one would leave, those that it may, the
// surest first, and never the last one.
func (w *Controller) limitEvacuations(v *fleetView, d *changeDraft, from int, accused []int) []int {
	if w.committed != nil {
		accused = w.limitToOneUnit(v, d, from, accused)
	}
	if w.DisabledGuards.PanicThreshold {
		return accused
	}
	surest := slices.Clone(accused)
	slices.SortFunc(surest, func(a, b int) int {
		own := func(z int) int {
			if z == from {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(v.unavailableCount(b), v.unavailableCount(a)), cmp.Compare(own(a), own(b)),
			cmp.Compare(v.pair(from, b).failing, v.pair(from, a).failing), strings.Compare(v.zones[a], v.zones[b]))
	})
	room := w.cfg.maxEvacuatedZones(len(v.zones)) - d.base.evacuatedCount(v.zones[from])
	return slices.DeleteFunc(surest, func(to int) bool {
		if d.base.pair(v.zones[from], v.zones[to]).Status == Recovering {
			return false // counted as left already
		}
		room--
		return room < 0
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
func (w *Controller) updateSuspects(v *fleetView, d *changeDraft, kept [][]string) {
	d.deferrable, d.deferrableAllowed = true, d.elapsedSince(d.lastChangeAt) >= w.cfg.StableInterval
	defer func() { d.deferrable = false }()
	for to, z := range v.zones {
		var named []string
		for _, from := range kept[to] {
			if row := d.base.pair(from, z); row.Status == Active {
				row.Status = Suspect
				if d.set(row) {
					named = append(named, from)
				}
			}
		}
		d.addReason(z, "serves nobody, and is kept for want of others", named)
	}
	for _, r := range d.base.Pairs {
		is := r.Status == Suspect && !v.isUnavailable(r.From, r.To)
		if w.heldFor(d.now, r.From, r.To, 's', is) >= w.cfg.StableInterval {
			r.Status = Active
			if d.set(r) {
				d.addReason(r.To, "is suspect no more", []string{r.From})
			}
		}
	}
}

// lost tells whether a zone has lost another, by names.
func (v *fleetView) isUnavailable(from, to string) bool {
	a, okA := slices.BinarySearch(v.zones, from)
	b, okB := slices.BinarySearch(v.zones, to)
	return okA && okB && v.pair(a, b).unavailable
}
