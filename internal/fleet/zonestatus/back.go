package zonestatus

import "math"

// back begins a return: where a zone that was left seems to serve again, as seen for long
// enough from two zones that left it, or from as many as did.
func (w *Controller) startRecoveries(v *fleetView, d *changeDraft) {
	for to, z := range v.zones {
		left, steady, outside := 0, 0, 0
		ready := make([]bool, len(v.zones))
		for from, a := range v.zones {
			p, row := v.pair(from, to), d.base.pair(a, z)
			gone := row.Status.isEvacuated()
			t := w.heldFor(d.now, a, z, 'b', p.seemsRecovered())
			ready[from] = t >= w.cfg.StableInterval || w.DisabledGuards.RecoveryRamp && t >= 0
			switch {
			case gone && v.hasMembers[from]:
				if left++; ready[from] {
					steady++
				}
			case ready[from] && p.known:
				outside++
			}
		}
		if steady == 0 || steady+outside < min(minReporters, left) {
			continue
		}
		var from []string
		for i, a := range v.zones {
			row := d.base.pair(a, z)
			waits := row.Status != Evacuated && (row.Status != HeldBack || d.now.Milliseconds() < row.HeldUntil)
			if waits || !ready[i] && v.pair(i, to).receivers > 0 {
				continue
			}
			if d.set(w.recoveryStep(v, to, row, 1)) {
				from = append(from, a)
			}
		}
		d.addReason(z, "seems to serve again: tried", from)
	}
	w.equalizeRates(v, d)
}

// step makes the row of a return's step.
func (w *Controller) recoveryStep(v *fleetView, to int, row PairStatus, step int) PairStatus {
	return PairStatus{From: row.From, To: row.To, Status: Recovering, Step: step, Share: w.cfg.RampSteps[step-1],
		Rate: w.recoveryRate(v, to, step), Failures: row.Failures}
}

// rate is how many set-ups a second the whole fleet may send a zone at one step. All its
// servers come back cold at once: each bears half of what would make it fall, as it warms
// up over the steps, and the session store keeps half for the other zones.
func (w *Controller) recoveryRate(v *fleetView, to, step int) float64 {
	if w.DisabledGuards.RecoveryRamp {
		return maxRecoveryRate
	}
	st, warmth := &v.stats[to], 1.0
	if past := float64(step-1) * w.cfg.StableInterval.Seconds(); past < w.cfg.SlowStartInterval.Seconds() {
		warmth = w.cfg.ColdCapacityFraction + (1-w.cfg.ColdCapacityFraction)*past/w.cfg.SlowStartInterval.Seconds()
	}
	rate := w.cfg.EndpointSetupRate * (1 - st.failing) * (st.endpoints - st.warmingUp + st.warmingUp*min(1, w.cfg.ColdOverloadFactor*warmth/2))
	if w.cfg.StoreSetupRate > 0 {
		rate = min(rate, w.cfg.StoreSetupRate/2)
	}
	return min(maxRecoveryRate, max(1, math.Round(rate)))
}

// Signs of a step.
const (
	stepHolds = iota
	stepSucceeds
	stepFails
	stepEndsPartially // no further step: the rest of the zone fails
)

// patience is how many times Steady a step waits for traffic that would tell: where
// nobody asks, little is at stake.
const inconclusiveIntervals = 5

// climb takes the steps of returns, and takes them back. Zones that can't tell go with
// those that can.
func (w *Controller) advanceRecoveries(v *fleetView, d *changeDraft) {
	for to, z := range v.zones {
		asked, looking := 0.0, 0
		for from, a := range v.zones {
			if d.base.pair(a, z).Status == Recovering {
				asked += v.pair(from, to).attempts
				looking++
			}
		}
		if looking == 0 {
			continue
		}
		signs, on := make([]int, len(v.zones)), 0 // of which step all the sure ones go on
		for from, a := range v.zones {
			if row := d.base.pair(a, z); row.Status == Recovering {
				if signs[from] = w.evaluateStep(v.pair(from, to), d, row, asked); signs[from] == stepSucceeds && d.elapsedSince(row.ChangedAt) >= w.cfg.StableInterval {
					on = max(on, row.Step)
				}
			}
		}
		var up, down []string
		for from, a := range v.zones {
			row := d.base.pair(a, z)
			if row.Status != Recovering || d.pair(a, z) != row {
				continue
			}
			follows := signs[from] == stepSucceeds || signs[from] == stepHolds && row.Step <= on && v.pair(from, to).receivers == 0
			switch {
			case w.DisabledGuards.RecoveryRamp || follows && d.elapsedSince(row.ChangedAt) >= w.cfg.StableInterval:
				next := PairStatus{From: a, To: z, Share: quantizeShare(1 - v.pair(from, to).failingUnconfirmed), Failures: row.Failures}
				if row.Step < len(w.cfg.RampSteps) {
					next = w.recoveryStep(v, to, row, row.Step+1)
				}
				if d.set(next) {
					up = append(up, a)
				}
			case signs[from] == stepEndsPartially:
				if d.set(PairStatus{From: a, To: z, Share: quantizeShare(1 - v.pair(from, to).failingUnconfirmed), Failures: row.Failures}) {
					up = append(up, a)
				}
			case signs[from] == stepFails && row.Step > 1:
				if d.set(w.recoveryStep(v, to, row, row.Step-1)) {
					down = append(down, a)
				}
			}
		}
		d.addReason(z, "holds its step: the next", up)
		d.addReason(z, "does not hold its step: taken back", down)
	}
	w.equalizeRates(v, d)
}

// sign reads the evidence for one step of a return.
func (w *Controller) evaluateStep(p *pairEvidence, d *changeDraft, row PairStatus, asked float64) int {
	next, sound := 1.0, 1-p.failingUnconfirmed+0.1
	if row.Step < len(w.cfg.RampSteps) {
		next = w.cfg.RampSteps[row.Step]
	}
	whole := next <= sound || next == 1 && p.failingUnconfirmed <= 0.25
	enough := asked >= w.cfg.MinAttempts || d.elapsedSince(row.ChangedAt) >= inconclusiveIntervals*w.cfg.StableInterval
	serves := p.receivers > 0 && !p.unavailable
	goes := w.heldFor(d.now, row.From, row.To, 'g', serves && whole && enough)
	ends := w.heldFor(d.now, row.From, row.To, 'p', serves && !whole && p.failingUnconfirmed <= maxFailingForRecovery && quantizeShare(1-p.failingUnconfirmed) <= next)
	falls := w.heldFor(d.now, row.From, row.To, 'f', p.receivers > 0 && sound+0.1 < row.Share)
	quiet := w.heldFor(d.now, row.From, row.To, 'q', p.receivers == 0)
	switch {
	case falls >= w.cfg.ConfirmInterval || quiet >= 2*w.cfg.StableInterval:
		return stepFails
	case goes >= w.cfg.StableInterval:
		return stepSucceeds
	case ends >= w.cfg.StableInterval:
		return stepEndsPartially
	}
	return stepHolds
}

// level gives all rows of one zone's return the same rate: it is the whole fleet's.
func (w *Controller) equalizeRates(v *fleetView, d *changeDraft) {
	if !d.deferrableAllowed {
		return
	}
	for to, z := range v.zones {
		step, changed := maxRampSteps+1, false
		for _, a := range v.zones {
			if r := d.pair(a, z); r.Status == Recovering {
				step = min(step, r.Step)
				changed = changed || r != d.base.pair(a, z)
			}
		}
		if !changed {
			continue
		}
		for _, a := range v.zones {
			if r := d.pair(a, z); r.Status == Recovering {
				r.Rate = w.recoveryRate(v, to, step)
				d.changed[[2]string{a, z}] = r
			}
		}
	}
}
