package zonestatus

import (
	"cmp"
	"slices"
	"strings"
)

// leave drafts what is left now: each zone from all that have lost it at once.
func (w *Controller) leave(v *view, d *draft) {
	all := make([][]int, len(v.zones)) // what each zone would leave
	for to := range v.zones {
		for _, from := range w.accusers(v, d, to) {
			all[from] = append(all[from], to)
		}
	}
	went, kept := make([][]string, len(v.zones)), make([][]string, len(v.zones))
	for from, accused := range all {
		leaves := w.carried(v, d, from, accused)
		for _, to := range accused {
			row := d.seen(v.zones[from], v.zones[to])
			if !slices.Contains(leaves, to) {
				kept[to] = append(kept[to], row.From)
				continue
			}
			fails := row.Failures + 1
			if w.DisabledGuards.HoldDown {
				fails = 1
			}
			d.put(PairStatus{From: row.From, To: row.To, Status: Evacuating, Failures: fails})
			went[to] = append(went[to], row.From)
		}
	}
	for to, z := range v.zones {
		d.say(z, "serves nobody: left", went[to])
	}
	w.suspect(v, d, kept)
}

// accusers are the zones that leave one now. The first to have seen it for long enough
// takes along those that see it, those that are about to are waited for a little, and
// those that can't tell follow where it fails for everybody.
func (w *Controller) accusers(v *view, d *draft, to int) (from []int) {
	oldest, turning := w.cfg.ConfirmInterval-1, false
	for a := range v.zones {
		if !v.looks[a] {
			continue
		}
		p := v.pair(a, to)
		t := w.held(d.now, v.zones[a], v.zones[to], 'l', p.lost)
		switch row := d.base.seen(v.zones[a], v.zones[to]); {
		case row.Status.gone():
		case p.lost:
			from, oldest = append(from, a), max(oldest, t)
		case p.known && p.bad >= 0.5:
			turning = true
		}
	}
	if len(from) == 0 || oldest < w.cfg.ConfirmInterval || turning && oldest < 2*w.cfg.ConfirmInterval {
		return nil
	}
	if v.followed(to) {
		for a := range v.zones {
			p := v.pair(a, to)
			if v.looks[a] && !p.known && !p.lost && !d.base.seen(v.zones[a], v.zones[to]).Status.gone() {
				from = append(from, a)
			}
		}
	}
	return from
}

// carried is the panic rule: of the zones that one would leave, those that it may, the
// surest first, and never the last one.
func (w *Controller) carried(v *view, d *draft, from int, accused []int) []int {
	if w.alone != nil {
		accused = w.oneUnit(v, d, from, accused)
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
		return cmp.Or(cmp.Compare(v.losers(b), v.losers(a)), cmp.Compare(own(a), own(b)),
			cmp.Compare(v.pair(from, b).bad, v.pair(from, a).bad), strings.Compare(v.zones[a], v.zones[b]))
	})
	room := w.cfg.most(len(v.zones)) - d.base.left(v.zones[from])
	return slices.DeleteFunc(surest, func(to int) bool {
		if d.base.seen(v.zones[from], v.zones[to]).Status == Recovering {
			return false // counted as left already
		}
		room--
		return room < 0
	})
}

// losers is how many zones have lost one.
func (v *view) losers(to int) (n int) {
	for from := range v.zones {
		if v.pair(from, to).lost {
			n++
		}
	}
	return n
}

// suspect names what the panic rule keeps, and takes the name back.
func (w *Controller) suspect(v *view, d *draft, kept [][]string) {
	d.slow, d.may = true, d.age(d.latest) >= w.cfg.StableInterval
	defer func() { d.slow = false }()
	for to, z := range v.zones {
		var named []string
		for _, from := range kept[to] {
			if row := d.base.seen(from, z); row.Status == Active {
				row.Status = Suspect
				if d.put(row) {
					named = append(named, from)
				}
			}
		}
		d.say(z, "serves nobody, and is kept for want of others", named)
	}
	for _, r := range d.base.Pairs {
		is := r.Status == Suspect && !v.lost(r.From, r.To)
		if w.held(d.now, r.From, r.To, 's', is) >= w.cfg.StableInterval {
			r.Status = Active
			if d.put(r) {
				d.say(r.To, "is suspect no more", []string{r.From})
			}
		}
	}
}

// lost tells whether a zone has lost another, by names.
func (v *view) lost(from, to string) bool {
	a, okA := slices.BinarySearch(v.zones, from)
	b, okB := slices.BinarySearch(v.zones, to)
	return okA && okB && v.pair(a, b).lost
}
