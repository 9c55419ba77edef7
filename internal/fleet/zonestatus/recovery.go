package zonestatus

import "math"

// back begins a return: where a zone that was left seems to serve again, as seen for long
// enough from two zones that left it, or from as many as did.
func (c *Controller) startRecoveries(view *fleetView, draft *changeDraft) {
	for to, zone := range view.zones {
		evacuatedObservers, steadyObservers, steadyOthers := 0, 0, 0
		ready := make([]bool, len(view.zones))
		for started, observer := range view.zones {
			evidence, pair := view.pair(started, to), draft.base.pair(observer, zone)
			evacuated := pair.Status.isEvacuated()
			steadyFor := c.heldFor(draft.now, observer, zone, 'b', evidence.seemsRecovered())
			ready[started] = steadyFor >= c.cfg.StableInterval || c.DisabledGuards.RecoveryRamp && steadyFor >= 0
			switch {
			case evacuated && view.hasMembers[started]:
				if evacuatedObservers++; ready[started] {
					steadyObservers++
				}
			case ready[started] && evidence.known:
				steadyOthers++
			}
		}
		if steadyObservers == 0 || steadyObservers+steadyOthers < min(minReporters, evacuatedObservers) {
			continue
		}
		var started []string
		for i, observer := range view.zones {
			pair := draft.base.pair(observer, zone)
			mustWait := pair.Status != Evacuated && (pair.Status != HeldBack || draft.now.Milliseconds() < pair.HeldUntil)
			if mustWait || !ready[i] && view.pair(i, to).receivers > 0 {
				continue
			}
			if draft.set(c.recoveryStep(view, to, pair, 1)) {
				started = append(started, observer)
			}
		}
		draft.addReason(zone, "seems to serve again: tried", started)
	}
	c.equalizeRates(view, draft)
}

// step makes the row of a return's step.
func (c *Controller) recoveryStep(view *fleetView, to int, pair PairStatus, step int) PairStatus {
	return PairStatus{From: pair.From, To: pair.To, Status: Recovering, Step: step, Share: c.cfg.RampSteps[step-1],
		Rate: c.recoveryRate(view, to, step), Failures: pair.Failures}
}

// rate is how many set-ups a second the whole fleet may send a zone at one step. All its
// servers come back cold at once: each bears half of what would make it fall, as it warms
// up over the steps, and the session store keeps half for the other zones.
func (c *Controller) recoveryRate(view *fleetView, to, step int) float64 {
	if c.DisabledGuards.RecoveryRamp {
		return maxRecoveryRate
	}
	stats, warmth := &view.stats[to], 1.0
	if elapsed := float64(step-1) * c.cfg.StableInterval.Seconds(); elapsed < c.cfg.SlowStartInterval.Seconds() {
		warmth = c.cfg.ColdCapacityFraction + (1-c.cfg.ColdCapacityFraction)*elapsed/c.cfg.SlowStartInterval.Seconds()
	}
	rate := c.cfg.EndpointSetupRate * (1 - stats.failing) * (stats.endpoints - stats.warmingUp + stats.warmingUp*min(1, c.cfg.ColdOverloadFactor*warmth/2))
	if c.cfg.StoreSetupRate > 0 {
		rate = min(rate, c.cfg.StoreSetupRate/2)
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
func (c *Controller) advanceRecoveries(view *fleetView, draft *changeDraft) {
	for to, zone := range view.zones {
		attempts, recovering := 0.0, 0
		for from, observer := range view.zones {
			if draft.base.pair(observer, zone).Status == Recovering {
				attempts += view.pair(from, to).attempts
				recovering++
			}
		}
		if recovering == 0 {
			continue
		}
		outcomes, lastSucceeded := make([]int, len(view.zones)), 0 // of which step all the sure ones go on
		for from, observer := range view.zones {
			if pair := draft.base.pair(observer, zone); pair.Status == Recovering {
				if outcomes[from] = c.evaluateStep(view.pair(from, to), draft, pair, attempts); outcomes[from] == stepSucceeds && draft.elapsedSince(pair.ChangedAt) >= c.cfg.StableInterval {
					lastSucceeded = max(lastSucceeded, pair.Step)
				}
			}
		}
		var advanced, reverted []string
		for from, observer := range view.zones {
			pair := draft.base.pair(observer, zone)
			if pair.Status != Recovering || draft.pair(observer, zone) != pair {
				continue
			}
			follows := outcomes[from] == stepSucceeds || outcomes[from] == stepHolds && pair.Step <= lastSucceeded && view.pair(from, to).receivers == 0
			switch {
			case c.DisabledGuards.RecoveryRamp || follows && draft.elapsedSince(pair.ChangedAt) >= c.cfg.StableInterval:
				next := PairStatus{From: observer, To: zone, Share: quantizeShare(1 - view.pair(from, to).failingUnconfirmed), Failures: pair.Failures}
				if pair.Step < len(c.cfg.RampSteps) {
					next = c.recoveryStep(view, to, pair, pair.Step+1)
				}
				if draft.set(next) {
					advanced = append(advanced, observer)
				}
			case outcomes[from] == stepEndsPartially:
				if draft.set(PairStatus{From: observer, To: zone, Share: quantizeShare(1 - view.pair(from, to).failingUnconfirmed), Failures: pair.Failures}) {
					advanced = append(advanced, observer)
				}
			case outcomes[from] == stepFails && pair.Step > 1:
				if draft.set(c.recoveryStep(view, to, pair, pair.Step-1)) {
					reverted = append(reverted, observer)
				}
			}
		}
		draft.addReason(zone, "holds its step: the next", advanced)
		draft.addReason(zone, "does not hold its step: taken back", reverted)
	}
	c.equalizeRates(view, draft)
}

// sign reads the evidence for one step of a return.
func (c *Controller) evaluateStep(evidence *pairEvidence, draft *changeDraft, pair PairStatus, attempts float64) int {
	nextShare, sound := 1.0, 1-evidence.failingUnconfirmed+0.1
	if pair.Step < len(c.cfg.RampSteps) {
		nextShare = c.cfg.RampSteps[pair.Step]
	}
	fullyServes := nextShare <= sound || nextShare == 1 && evidence.failingUnconfirmed <= 0.25
	hasEvidence := attempts >= c.cfg.MinAttempts || draft.elapsedSince(pair.ChangedAt) >= inconclusiveIntervals*c.cfg.StableInterval
	serves := evidence.receivers > 0 && !evidence.unavailable
	succeedsFor := c.heldFor(draft.now, pair.From, pair.To, 'g', serves && fullyServes && hasEvidence)
	partialFor := c.heldFor(draft.now, pair.From, pair.To, 'p', serves && !fullyServes && evidence.failingUnconfirmed <= maxFailingForRecovery && quantizeShare(1-evidence.failingUnconfirmed) <= nextShare)
	failsFor := c.heldFor(draft.now, pair.From, pair.To, 'f', evidence.receivers > 0 && sound+0.1 < pair.Share)
	silentFor := c.heldFor(draft.now, pair.From, pair.To, 'q', evidence.receivers == 0)
	switch {
	case failsFor >= c.cfg.ConfirmInterval || silentFor >= 2*c.cfg.StableInterval:
		return stepFails
	case succeedsFor >= c.cfg.StableInterval:
		return stepSucceeds
	case partialFor >= c.cfg.StableInterval:
		return stepEndsPartially
	}
	return stepHolds
}

// level gives all rows of one zone's return the same rate: it is the whole fleet's.
func (c *Controller) equalizeRates(view *fleetView, draft *changeDraft) {
	if !draft.deferrableAllowed {
		return
	}
	for to, zone := range view.zones {
		step, changed := maxRampSteps+1, false
		for _, observer := range view.zones {
			if pair := draft.pair(observer, zone); pair.Status == Recovering {
				step = min(step, pair.Step)
				changed = changed || pair != draft.base.pair(observer, zone)
			}
		}
		if !changed {
			continue
		}
		for _, observer := range view.zones {
			if pair := draft.pair(observer, zone); pair.Status == Recovering {
				pair.Rate = c.recoveryRate(view, to, step)
				draft.changed[[2]string{observer, zone}] = pair
			}
		}
	}
}
