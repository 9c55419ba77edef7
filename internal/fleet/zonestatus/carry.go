package zonestatus

import (
	"math"
	"slices"
)

// twentieth and quarter are how coarse shares are told: small changes of what is seen
// change nothing that is said.
const twentieth, quarter = 20, 4

// bears is what a zone's servers can do, in servers of full warmth: the cold ones for
// what they can do as they start, the failed ones for nothing.
func (v *view) bears(to int) float64 {
	st := &v.stocks[to]
	return v.cfg.MaxUtilization * (1 - st.bad) * (st.servers - st.cold + st.cold*v.cfg.ColdCapacityFraction)
}

// work is what a zone's servers do, in full servers. Nobody may know the load of one that
// answers nobody: it had the mean of the others. ok is false if no load is known at all.
func (v *view) work(to int) (work float64, ok bool) {
	load, n := v.stocks[to].load, 0
	if load < 0 {
		load = 0
		for i := range v.stocks {
			if l := v.stocks[i].load; l >= 0 {
				load += l
				n++
			}
		}
		if n == 0 {
			return 0, false
		}
		load /= float64(n)
	}
	return load * v.stocks[to].servers, true
}

// weigh reckons each zone's part of all set-ups: that of its members.
func (v *view) weigh() {
	all := 0
	for _, n := range v.alive {
		all += n
	}
	v.part = make([]float64, len(v.alive))
	for i, n := range v.alive {
		v.part[i] = float64(n) / float64(max(all, 1))
	}
}

// room is what the zones that stay can take on more, but for one; rows say who stays for
// whom.
func (v *view) room(rows []PairStatus, but int) (room float64) {
	for to, z := range v.zones {
		work, ok := v.work(to)
		if to == but || !ok {
			continue
		}
		stays := 1.0
		for _, r := range rows {
			if from, ok := slices.BinarySearch(v.zones, r.From); ok && r.To == z && (r.Status.gone() || r.Status == Recovering) {
				stays -= v.part[from] * (1 - r.Share)
			}
		}
		room += max(0, stays) * max(0, v.bears(to)-work)
	}
	return room
}

// carry reckons, for what is left now, what those who stay can't take on: it is refused at
// once. A zone that serves nobody is left all the same, as nothing is lost by that.
func (w *Controller) carry(v *view, d *draft) {
	moved, total := 0.0, 0.0
	for to := range v.zones {
		work, _ := v.work(to)
		for from := range v.zones {
			was, is := d.base.seen(v.zones[from], v.zones[to]), d.seen(v.zones[from], v.zones[to])
			if was.Status.gone() {
				continue // those who stay do its work already
			}
			total += v.part[from] * work
			if is.Status.gone() {
				moved += v.part[from] * work * was.Share
			}
		}
	}
	if moved == 0 || w.DisabledGuards.PanicThreshold {
		return
	}
	if over := (moved - v.room(d.after(), -1)) / total; over > 0 {
		over = 1 - (1-d.over)*(1-over) // of what is not refused already
		d.over = min(mostOver, math.Ceil(over*twentieth-1e-9)/twentieth)
	}
}

// ease takes back what is refused as those who stay have room again, a tenth at a time,
// and adds to it while they are over full.
func (w *Controller) ease(v *view, d *draft) {
	if d.base.Shed == 0 || d.over != d.base.Shed || !d.may {
		return
	}
	stay, n, left := 0.0, 0, false
	for to, z := range v.zones {
		gone := false
		for from := range v.zones {
			gone = gone || d.seen(v.zones[from], z).Status.gone()
		}
		if left = left || gone; !gone && v.stocks[to].load >= 0 {
			stay += v.stocks[to].load
			n++
		}
	}
	next := d.over
	switch {
	case !left:
		next = 0
	case n == 0 || d.now-w.overAt < w.cfg.MinChangeInterval:
	case stay/float64(n) < w.cfg.MaxUtilization-0.1:
		next = max(0, math.Round((d.over-0.1)*twentieth)/twentieth)
	case stay/float64(n) > w.cfg.MaxUtilization+0.15:
		next = min(mostOver, math.Round((d.over+0.05)*twentieth)/twentieth)
	}
	if next != d.over {
		d.over = next
		d.why = append(d.why, "what is refused follows the room of those who stay")
	}
}

// part bounds the share of a zone of which a part fails to about its sound part, in
// quarters, but never so far that the others could not carry the rest.
func (w *Controller) part(v *view, d *draft) {
	rows := d.after()
	for to, z := range v.zones {
		least, reckoned := 0.0, false
		var less, more []string
		for from, a := range v.zones {
			p, row := v.pair(from, to), d.base.seen(a, z)
			if row.Status != Active && row.Status != Suspect || d.seen(a, z) != row {
				continue
			}
			want := coarse(1 - p.bad)
			if p.known && !p.lost && want < 1 && !w.DisabledGuards.PanicThreshold {
				if !reckoned {
					least, reckoned = w.least(v, rows, to), true
				}
				want = max(want, least)
			}
			told := p.known && !p.lost
			shrink := w.held(d.now, a, z, '-', told && want < row.Share) >= w.cfg.ConfirmInterval
			grow := w.held(d.now, a, z, '+', told && want > row.Share) >= w.cfg.StableInterval
			if !(shrink || grow) || row.ChangedAt > 0 && d.age(row.ChangedAt) < w.cfg.MinChangeInterval {
				continue
			}
			row.Share = want
			if !d.put(row) {
				continue
			}
			if shrink {
				less = append(less, a)
			} else {
				more = append(more, a)
			}
		}
		d.say(z, "fails in part: less", less)
		d.say(z, "serves more again", more)
	}
}

// least is the share of a zone's work that the others can't carry.
func (w *Controller) least(v *view, rows []PairStatus, to int) float64 {
	work, ok := v.work(to)
	if !ok || work == 0 {
		return 0
	}
	return min(1, math.Ceil((1-v.room(rows, to)/work)*quarter-1e-9)/quarter)
}

// coarse rounds to quarters: what is sound at all keeps one.
func coarse(sound float64) float64 {
	return max(1, math.Round(sound*quarter)) / quarter
}
