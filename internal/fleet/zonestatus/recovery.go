package zonestatus

import "math"

// stepOutcome is the outcome of one step of a recovery ramp, as judged from the evidence.
type stepOutcome int

const (
	stepUndecided stepOutcome = iota
	stepSucceeds
	stepFails
	stepEndsPartially // no further step, as the rest of the zone still fails
)

const (
	// inconclusiveIntervals is the number of StableIntervals after which a step no longer waits
	// for MinAttempts: with so little traffic, a wrong decision affects few sessions.
	inconclusiveIntervals = 5
	// mostlyHealthyFailing is the largest failing fraction at which the last step may succeed.
	mostlyHealthyFailing = 0.25
	// stepTolerance is how far the healthy fraction may lie below a step's share.
	stepTolerance = 0.1
)

// startRecoveries starts the recovery ramps of zones that seem to have recovered.
func (c *Controller) startRecoveries(view *fleetView, draft *changeDraft) {
	for to, zone := range view.zones {
		ready := make([]bool, len(view.zones)) // by observing zone
		if !c.hasRecovered(view, draft, to, ready) {
			continue
		}
		var started []string
		for from, observer := range view.zones {
			pair := draft.base.pair(observer, zone)
			holdExpired := pair.Status == HeldBack && draft.now.Milliseconds() >= pair.HeldUntil
			mayStart := pair.Status == Evacuated || holdExpired
			if !mayStart || !ready[from] && view.pair(from, to).receivers > 0 {
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

// hasRecovered sets ready for the zones from which zone to has seemed recovered for the
// StableInterval. It reports whether these suffice to start a recovery: at least one of them has evacuated
// the zone, and their number is at least minReporters or, if lower, the number that have evacuated it.
func (c *Controller) hasRecovered(view *fleetView, draft *changeDraft, to int, ready []bool) bool {
	evacuatedObservers, readyObservers, readyOthers := 0, 0, 0
	for from, observer := range view.zones {
		evidence := view.pair(from, to)
		evacuated := draft.base.pair(observer, view.zones[to]).Status.isEvacuated()
		recoveredFor := c.trackCondition(draft.now, observer, view.zones[to], zoneRecovered, evidence.seemsRecovered())
		ready[from] = recoveredFor >= c.cfg.StableInterval || c.DisabledGuards.RecoveryRamp && recoveredFor >= 0
		switch {
		case evacuated && view.hasMembers[from]:
			evacuatedObservers++
			if ready[from] {
				readyObservers++
			}
		case ready[from] && evidence.known:
			readyOthers++
		}
	}
	return readyObservers > 0 && readyObservers+readyOthers >= min(minReporters, evacuatedObservers)
}

// recoveryStep returns the pair at the given step of its recovery ramp.
func (c *Controller) recoveryStep(view *fleetView, to int, pair PairStatus, step int) PairStatus {
	return PairStatus{
		From:     pair.From,
		To:       pair.To,
		Status:   Recovering,
		Step:     step,
		Share:    c.cfg.RampSteps[step-1],
		Rate:     c.recoveryRate(view, to, step),
		Failures: pair.Failures,
	}
}

// recoveredPair returns the pair after its recovery ramp, with the healthy fraction as its share.
func recoveredPair(pair PairStatus, evidence *pairEvidence) PairStatus {
	share := quantizeShare(1 - evidence.failingUnconfirmed)
	return PairStatus{From: pair.From, To: pair.To, Share: share, Failures: pair.Failures}
}

// recoveryRate returns the number of session set-ups per second that the whole fleet may send to
// a zone at a step. All endpoints of the zone may start cold at the same time: each one that is
// warming up gets half of the rate that would overload it at that stage of its slow start. The
// rate is at most half of StoreSetupRate, as the other half is left to the other zones.
func (c *Controller) recoveryRate(view *fleetView, to, step int) float64 {
	if c.DisabledGuards.RecoveryRamp {
		return maxRecoveryRate
	}
	stats, capacityFraction := &view.stats[to], 1.0
	elapsed, slowStart := float64(step-1)*c.cfg.StableInterval.Seconds(), c.cfg.SlowStartInterval.Seconds()
	if elapsed < slowStart {
		capacityFraction = c.cfg.ColdCapacityFraction + (1-c.cfg.ColdCapacityFraction)*elapsed/slowStart
	}
	warmEndpoints := stats.endpoints - stats.warmingUp +
		stats.warmingUp*min(1, c.cfg.ColdOverloadFactor*capacityFraction/2)
	rate := c.cfg.EndpointSetupRate * (1 - stats.failing) * warmEndpoints
	if c.cfg.StoreSetupRate > 0 {
		rate = min(rate, c.cfg.StoreSetupRate/2)
	}
	return min(maxRecoveryRate, max(1, math.Round(rate)))
}

// advanceRecoveries moves recovery ramps to the next step, or back after a failed step.
func (c *Controller) advanceRecoveries(view *fleetView, draft *changeDraft) {
	for to := range view.zones {
		c.advanceRecovery(view, draft, to)
	}
	c.equalizeRates(view, draft)
}

// advanceRecovery moves the recovering pairs of one observed zone. Observing zones without
// evidence follow those that have some.
func (c *Controller) advanceRecovery(view *fleetView, draft *changeDraft, to int) {
	outcomes, lastSucceeded := c.evaluateSteps(view, draft, to)
	if outcomes == nil {
		return
	}
	zone := view.zones[to]
	var advanced, reverted []string
	for from, observer := range view.zones {
		pair := draft.base.pair(observer, zone)
		if pair.Status != Recovering || draft.pair(observer, zone) != pair {
			continue
		}
		evidence, outcome := view.pair(from, to), outcomes[from]
		if outcome == stepUndecided && pair.Step <= lastSucceeded && evidence.receivers == 0 {
			outcome = stepSucceeds
		}
		waited := draft.elapsedSince(pair.ChangedAt) >= c.cfg.StableInterval
		switch {
		case c.DisabledGuards.RecoveryRamp || outcome == stepSucceeds && waited:
			next := recoveredPair(pair, evidence)
			if pair.Step < len(c.cfg.RampSteps) {
				next = c.recoveryStep(view, to, pair, pair.Step+1)
			}
			if draft.set(next) {
				advanced = append(advanced, observer)
			}
		case outcome == stepEndsPartially:
			if draft.set(recoveredPair(pair, evidence)) {
				advanced = append(advanced, observer)
			}
		case outcome == stepFails && pair.Step > 1:
			if draft.set(c.recoveryStep(view, to, pair, pair.Step-1)) {
				reverted = append(reverted, observer)
			}
		}
	}
	draft.addReason(zone, "holds its step: the next", advanced)
	draft.addReason(zone, "does not hold its step: taken back", reverted)
}

// evaluateSteps returns the step outcome by observing zone, or nil if no pair of the zone is
// recovering, and the highest step that has succeeded.
func (c *Controller) evaluateSteps(
	view *fleetView, draft *changeDraft, to int,
) (outcomes []stepOutcome, lastSucceeded int) {
	zone := view.zones[to]
	attempts, recovering := 0.0, false
	for from, observer := range view.zones {
		if draft.base.pair(observer, zone).Status == Recovering {
			attempts += view.pair(from, to).attempts
			recovering = true
		}
	}
	if !recovering {
		return nil, 0
	}
	outcomes = make([]stepOutcome, len(view.zones))
	for from, observer := range view.zones {
		pair := draft.base.pair(observer, zone)
		if pair.Status != Recovering {
			continue
		}
		outcomes[from] = c.evaluateStep(view.pair(from, to), draft, pair, attempts)
		if outcomes[from] == stepSucceeds && draft.elapsedSince(pair.ChangedAt) >= c.cfg.StableInterval {
			lastSucceeded = max(lastSucceeded, pair.Step)
		}
	}
	return outcomes, lastSucceeded
}

// evaluateStep judges one pair's step by the evidence. attempts is the number of attempts of all
// recovering pairs of the zone.
func (c *Controller) evaluateStep(
	evidence *pairEvidence, draft *changeDraft, pair PairStatus, attempts float64,
) stepOutcome {
	nextShare, healthy := 1.0, 1-evidence.failingUnconfirmed+stepTolerance
	if pair.Step < len(c.cfg.RampSteps) {
		nextShare = c.cfg.RampSteps[pair.Step]
	}
	fullyServes := nextShare <= healthy || nextShare == 1 && evidence.failingUnconfirmed <= mostlyHealthyFailing
	partlyServes := evidence.failingUnconfirmed <= maxFailingForRecovery &&
		quantizeShare(1-evidence.failingUnconfirmed) <= nextShare
	waitedLong := draft.elapsedSince(pair.ChangedAt) >= inconclusiveIntervals*c.cfg.StableInterval
	isConclusive := attempts >= c.cfg.MinAttempts || waitedLong
	serves := evidence.receivers > 0 && !evidence.unavailable
	failsShare := evidence.receivers > 0 && healthy+stepTolerance < pair.Share

	succeedsFor := c.trackCondition(draft.now, pair.From, pair.To, rampStepSucceeds, serves && fullyServes && isConclusive)
	servesPart := serves && !fullyServes && partlyServes
	partialFor := c.trackCondition(draft.now, pair.From, pair.To, rampStepEndsPartially, servesPart)
	failsFor := c.trackCondition(draft.now, pair.From, pair.To, rampStepFails, failsShare)
	silentFor := c.trackCondition(draft.now, pair.From, pair.To, rampStepSilent, evidence.receivers == 0)
	switch {
	case failsFor >= c.cfg.ConfirmInterval || silentFor >= 2*c.cfg.StableInterval:
		return stepFails
	case succeedsFor >= c.cfg.StableInterval:
		return stepSucceeds
	case partialFor >= c.cfg.StableInterval:
		return stepEndsPartially
	}
	return stepUndecided
}

// equalizeRates gives all recovering pairs of a zone the rate of their lowest step, as the rate
// applies to the whole fleet.
func (c *Controller) equalizeRates(view *fleetView, draft *changeDraft) {
	if !draft.deferrableAllowed {
		return
	}
	for to, zone := range view.zones {
		lowestStep, changed := maxRampSteps+1, false
		for _, observer := range view.zones {
			if pair := draft.pair(observer, zone); pair.Status == Recovering {
				lowestStep = min(lowestStep, pair.Step)
				changed = changed || pair != draft.base.pair(observer, zone)
			}
		}
		if !changed {
			continue
		}
		for _, observer := range view.zones {
			if pair := draft.pair(observer, zone); pair.Status == Recovering {
				pair.Rate = c.recoveryRate(view, to, lowestStep)
				draft.changed[zonePair{observer, zone}] = pair
			}
		}
	}
}
