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
	st := &v.stats[to]
	return v.cfg.MaxUtilization * (1 - st.failing) * (st.endpoints - st.warmingUp + st.warmingUp*v.cfg.ColdCapacityFraction)
}

// work is what a zone's servers do, in full servers. Nobody may know the load of one that
// answers nobody: it had the mean of the others. ok is false if no load is known at all.
func (v *fleetView) usedCapacity(to int) (work float64, ok bool) {
	load, n := v.stats[to].load, 0
	if load < 0 {
		load = 0
		for i := range v.stats {
			if l := v.stats[i].load; l >= 0 {
				load += l
				n++
			}
		}
		if n == 0 {
			return 0, false
		}
		load /= float64(n)
	}
	return load * v.stats[to].endpoints, true
}

// weigh reckons each zone's part of all set-ups: that of its members.
func (v *fleetView) computeMemberFractions() {
	all := 0
	for _, n := range v.aliveMembers {
		all += n
	}
	v.memberFractions = make([]float64, len(v.aliveMembers))
	for i, n := range v.aliveMembers {
		v.memberFractions[i] = float64(n) / float64(max(all, 1))
	}
}

// room is what the zones that stay can take on more, but for one; rows say who stays for
// whom.
func (v *fleetView) spareCapacity(rows []PairStatus, but int) (room float64) {
	for to, z := range v.zones {
		work, ok := v.usedCapacity(to)
		if to == but || !ok {
			continue
		}
		stays := 1.0
		for _, r := range rows {
			if from, ok := slices.BinarySearch(v.zones, r.From); ok && r.To == z && (r.Status.isEvacuated() || r.Status == Recovering) {
				stays -= v.memberFractions[from] * (1 - r.Share)
			}
		}
		room += max(0, stays) * max(0, v.capacity(to)-work)
	}
	return room
}

// carry reckons, for what is left now, what those who stay can't take on: it is refused at
// once. A zone that serves nobody is left all the same, as nothing is lost by that.
func (w *Controller) computeShed(v *fleetView, d *changeDraft) {
	moved, total := 0.0, 0.0
	for to := range v.zones {
		work, _ := v.usedCapacity(to)
		for from := range v.zones {
			was, is := d.base.pair(v.zones[from], v.zones[to]), d.pair(v.zones[from], v.zones[to])
			if was.Status.isEvacuated() {
				continue // those who stay do its work already
			}
			total += v.memberFractions[from] * work
			if is.Status.isEvacuated() {
				moved += v.memberFractions[from] * work * was.Share
			}
		}
	}
	if moved == 0 || w.DisabledGuards.PanicThreshold {
		return
	}
	if over := (moved - v.spareCapacity(d.resultingPairs(), -1)) / total; over > 0 {
		over = 1 - (1-d.shed)*(1-over) // of what is not refused already
		d.shed = min(maxShed, math.Ceil(over*shedSteps-1e-9)/shedSteps)
	}
}

// ease takes back what is refused as those who stay have room again, a tenth at a time,
// and adds to it while they are over full.
func (w *Controller) relaxShed(v *fleetView, d *changeDraft) {
	if d.base.Shed == 0 || d.shed != d.base.Shed || !d.deferrableAllowed {
		return
	}
	stay, n, left := 0.0, 0, false
	for to, z := range v.zones {
		gone := false
		for from := range v.zones {
			gone = gone || d.pair(v.zones[from], z).Status.isEvacuated()
		}
		if left = left || gone; !gone && v.stats[to].load >= 0 {
			stay += v.stats[to].load
			n++
		}
	}
	next := d.shed
	switch {
	case !left:
		next = 0
	case n == 0 || d.now-w.shedChangedAt < w.cfg.MinChangeInterval:
	case stay/float64(n) < w.cfg.MaxUtilization-0.1:
		next = max(0, math.Round((d.shed-0.1)*shedSteps)/shedSteps)
	case stay/float64(n) > w.cfg.MaxUtilization+0.15:
		next = min(maxShed, math.Round((d.shed+0.05)*shedSteps)/shedSteps)
	}
	if next != d.shed {
		d.shed = next
		d.reasons = append(d.reasons, "what is refused follows the room of those who stay")
	}
}

// part bounds the share of a zone of which a part fails to about its sound part, in
// quarters, but never so far that the others could not carry the rest.
func (w *Controller) limitPartialFailures(v *fleetView, d *changeDraft) {
	rows := d.resultingPairs()
	for to, z := range v.zones {
		least, reckoned := 0.0, false
		var less, more []string
		for from, a := range v.zones {
			p, row := v.pair(from, to), d.base.pair(a, z)
			if row.Status != Active && row.Status != Suspect || d.pair(a, z) != row {
				continue
			}
			want := quantizeShare(1 - p.failing)
			if p.known && !p.unavailable && want < 1 && !w.DisabledGuards.PanicThreshold {
				if !reckoned {
					least, reckoned = w.minShare(v, rows, to), true
				}
				want = max(want, least)
			}
			told := p.known && !p.unavailable
			shrink := w.heldFor(d.now, a, z, '-', told && want < row.Share) >= w.cfg.ConfirmInterval
			grow := w.heldFor(d.now, a, z, '+', told && want > row.Share) >= w.cfg.StableInterval
			if !(shrink || grow) || row.ChangedAt > 0 && d.elapsedSince(row.ChangedAt) < w.cfg.MinChangeInterval {
				continue
			}
			row.Share = want
			if !d.set(row) {
				continue
			}
			if shrink {
				less = append(less, a)
			} else {
				more = append(more, a)
			}
		}
		d.addReason(z, "fails in part: less", less)
		d.addReason(z, "serves more again", more)
	}
}

// least is the share of a zone's work that the others can't carry.
func (w *Controller) minShare(v *fleetView, rows []PairStatus, to int) float64 {
	work, ok := v.usedCapacity(to)
	if !ok || work == 0 {
		return 0
	}
	return min(1, math.Ceil((1-v.spareCapacity(rows, to)/work)*shareSteps-1e-9)/shareSteps)
}

// coarse rounds to quarters: what is sound at all keeps one.
func quantizeShare(sound float64) float64 {
	return max(1, math.Round(sound*shareSteps)) / shareSteps
}
