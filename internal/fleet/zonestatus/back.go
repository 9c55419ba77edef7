package zonestatus

import "math"

// back begins a return: where a zone that was left seems to serve again, as seen for long
// enough from two zones that left it, or from as many as did.
func (w *Controller) back(v *view, d *draft) {
	for to, z := range v.zones {
		left, steady, outside := 0, 0, 0
		ready := make([]bool, len(v.zones))
		for from, a := range v.zones {
			p, row := v.pair(from, to), d.base.seen(a, z)
			gone := row.Status.gone()
			t := w.held(d.now, a, z, 'b', p.answers())
			ready[from] = t >= w.cfg.StableInterval || w.DisabledGuards.RecoveryRamp && t >= 0
			switch {
			case gone && v.looks[from]:
				if left++; ready[from] {
					steady++
				}
			case ready[from] && p.known:
				outside++
			}
		}
		if steady == 0 || steady+outside < min(accusers, left) {
			continue
		}
		var from []string
		for i, a := range v.zones {
			row := d.base.seen(a, z)
			waits := row.Status != Evacuated && (row.Status != HeldBack || d.now.Milliseconds() < row.HeldUntil)
			if waits || !ready[i] && v.pair(i, to).heard > 0 {
				continue
			}
			if d.put(w.step(v, to, row, 1)) {
				from = append(from, a)
			}
		}
		d.say(z, "seems to serve again: tried", from)
	}
	w.level(v, d)
}

// step makes the row of a return's step.
func (w *Controller) step(v *view, to int, row PairStatus, step int) PairStatus {
	return PairStatus{From: row.From, To: row.To, Status: Recovering, Step: step, Share: w.cfg.RampSteps[step-1],
		Rate: w.rate(v, to, step), Failures: row.Failures}
}

// rate is how many set-ups a second the whole fleet may send a zone at one step. All its
// servers come back cold at once: each bears half of what would make it fall, as it warms
// up over the steps, and the session store keeps half for the other zones.
func (w *Controller) rate(v *view, to, step int) float64 {
	if w.DisabledGuards.RecoveryRamp {
		return mostRate
	}
	st, warmth := &v.stocks[to], 1.0
	if past := float64(step-1) * w.cfg.StableInterval.Seconds(); past < w.cfg.SlowStartInterval.Seconds() {
		warmth = w.cfg.ColdCapacityFraction + (1-w.cfg.ColdCapacityFraction)*past/w.cfg.SlowStartInterval.Seconds()
	}
	rate := w.cfg.EndpointSetupRate * (1 - st.bad) * (st.servers - st.cold + st.cold*min(1, w.cfg.ColdOverloadFactor*warmth/2))
	if w.cfg.StoreSetupRate > 0 {
		rate = min(rate, w.cfg.StoreSetupRate/2)
	}
	return min(mostRate, max(1, math.Round(rate)))
}

// Signs of a step.
const (
	stays = iota
	good
	bad
	part // no further step: the rest of the zone fails
)

// patience is how many times Steady a step waits for traffic that would tell: where
// nobody asks, little is at stake.
const patience = 5

// climb takes the steps of returns, and takes them back. Zones that can't tell go with
// those that can.
func (w *Controller) climb(v *view, d *draft) {
	for to, z := range v.zones {
		asked, looking := 0.0, 0
		for from, a := range v.zones {
			if d.base.seen(a, z).Status == Recovering {
				asked += v.pair(from, to).asked
				looking++
			}
		}
		if looking == 0 {
			continue
		}
		signs, on := make([]int, len(v.zones)), 0 // of which step all the sure ones go on
		for from, a := range v.zones {
			if row := d.base.seen(a, z); row.Status == Recovering {
				if signs[from] = w.sign(v.pair(from, to), d, row, asked); signs[from] == good && d.age(row.ChangedAt) >= w.cfg.StableInterval {
					on = max(on, row.Step)
				}
			}
		}
		var up, down []string
		for from, a := range v.zones {
			row := d.base.seen(a, z)
			if row.Status != Recovering || d.seen(a, z) != row {
				continue
			}
			follows := signs[from] == good || signs[from] == stays && row.Step <= on && v.pair(from, to).heard == 0
			switch {
			case w.DisabledGuards.RecoveryRamp || follows && d.age(row.ChangedAt) >= w.cfg.StableInterval:
				next := PairStatus{From: a, To: z, Share: coarse(1 - v.pair(from, to).faint), Failures: row.Failures}
				if row.Step < len(w.cfg.RampSteps) {
					next = w.step(v, to, row, row.Step+1)
				}
				if d.put(next) {
					up = append(up, a)
				}
			case signs[from] == part:
				if d.put(PairStatus{From: a, To: z, Share: coarse(1 - v.pair(from, to).faint), Failures: row.Failures}) {
					up = append(up, a)
				}
			case signs[from] == bad && row.Step > 1:
				if d.put(w.step(v, to, row, row.Step-1)) {
					down = append(down, a)
				}
			}
		}
		d.say(z, "holds its step: the next", up)
		d.say(z, "does not hold its step: taken back", down)
	}
	w.level(v, d)
}

// sign reads the evidence for one step of a return.
func (w *Controller) sign(p *pair, d *draft, row PairStatus, asked float64) int {
	next, sound := 1.0, 1-p.faint+0.1
	if row.Step < len(w.cfg.RampSteps) {
		next = w.cfg.RampSteps[row.Step]
	}
	whole := next <= sound || next == 1 && p.faint <= 0.25
	enough := asked >= w.cfg.MinAttempts || d.age(row.ChangedAt) >= patience*w.cfg.StableInterval
	serves := p.heard > 0 && !p.lost
	goes := w.held(d.now, row.From, row.To, 'g', serves && whole && enough)
	ends := w.held(d.now, row.From, row.To, 'p', serves && !whole && p.faint <= back && coarse(1-p.faint) <= next)
	falls := w.held(d.now, row.From, row.To, 'f', p.heard > 0 && sound+0.1 < row.Share)
	quiet := w.held(d.now, row.From, row.To, 'q', p.heard == 0)
	switch {
	case falls >= w.cfg.ConfirmInterval || quiet >= 2*w.cfg.StableInterval:
		return bad
	case goes >= w.cfg.StableInterval:
		return good
	case ends >= w.cfg.StableInterval:
		return part
	}
	return stays
}

// level gives all rows of one zone's return the same rate: it is the whole fleet's.
func (w *Controller) level(v *view, d *draft) {
	if !d.may {
		return
	}
	for to, z := range v.zones {
		step, changed := mostSteps+1, false
		for _, a := range v.zones {
			if r := d.seen(a, z); r.Status == Recovering {
				step = min(step, r.Step)
				changed = changed || r != d.base.seen(a, z)
			}
		}
		if !changed {
			continue
		}
		for _, a := range v.zones {
			if r := d.seen(a, z); r.Status == Recovering {
				r.Rate = w.rate(v, to, step)
				d.set[[2]string{a, z}] = r
			}
		}
	}
}
