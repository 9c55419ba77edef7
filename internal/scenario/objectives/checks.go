package objectives

import (
	"fmt"
	"time"
)

// The bounds that the fleet is held to.
const (
	// maxStep is fleet.promises.step: what part of a contract moves at once.
	maxStep = 0.2
	// maxZoneLoad is of what a zone can do, in any two seconds, with an allowance for chance.
	maxZoneLoad = 1.08
	// maxAllocatedLoad is of what a zone can do, by allocations: all of it, and an allowance, as
	// demand is measured.
	maxAllocatedLoad = 1.15
	// minKeptShare is of the first priority's windows, once steering has settled.
	minKeptShare = 0.75
	// maxExploredShare is of a tenant's first lines in settledPeriod: 0.02, and an allowance for
	// chance.
	maxExploredShare = 0.06
	// minReturnedShare is of the first lines of those who had left a zone that is well again.
	minReturnedShare = 0.15
	// settledPeriod is the time at a phase's end for which steering has settled.
	settledPeriod = 6 * time.Second
	// staleEvidence is how long what was measured in the phase before still counts.
	staleEvidence = 2 * time.Second
)

// reportViolation notes a broken rule, if this is the run that is checked.
func (r *run) reportViolation(rule, format string, args ...any) {
	if r.variant.name == "" {
		r.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}

// checkKept checks that a tenant's objective is met once steering has settled.
func (r *run) checkKept(phase string, t tenant) {
	share, windows := r.keptShare(t, time.Now().Add(-settledPeriod), time.Now().Add(-t.boundAtClient()))
	r.SetMetric(r.metricName(phase+"_"+t.Name+"_kept_settled"), share)
	if share < minKeptShare || windows == 0 {
		r.reportViolation("kept", "%s: %.2f of the last %d windows of %s were kept", phase, share, windows, t.Name)
	}
}

// checkSteering checks what holds in every phase: a bounded step a period, what zones can do, and
// that nobody leaves the zone that is well.
func (r *run) checkSteering(phase string, from time.Time, wellZone string) {
	r.checkLoads(phase, from)
	for _, change := range r.changesBetween(from, time.Now()) {
		left := change.leftByZone[wellZone]
		if left > maxExploredShare && change.at.Sub(from) > settledPeriod+staleEvidence {
			r.reportViolation("well", "%s: %s took %.3f of itself out of region %s, which is well",
				phase, change.Contract, left, wellZone)
		}
		// The first priority makes way for nobody, so it goes by steps alone. Its first
		// allocation is held against an even spread, which it may have left by what fails.
		if limit := 2 * maxStep; change.Contract == gold && change.movedShare > limit {
			r.reportViolation("step", "%s: %s moved %.3f of itself at once, at most %.3f are allowed",
				phase, change.Contract, change.movedShare, limit)
		}
	}
}

// checkLoads checks that no zone got more than it can do since a time, by what its servers saw
// and by allocations.
func (r *run) checkLoads(phase string, from time.Time) {
	for _, zone := range r.Testbed.Zones {
		load := r.peakLoad(zone, from, time.Now())
		r.SetMetric(r.metricName(phase+"_load_"+zone), load)
		if load > maxZoneLoad {
			r.reportViolation("bears", "%s: region %s was sent %.2f of what it bears", phase, zone, load)
		}
		allocated := r.peakAllocatedLoad(zone, from, time.Now())
		r.SetMetric(r.metricName(phase+"_given_"+zone), allocated)
		if allocated > maxAllocatedLoad {
			r.reportViolation("bears", "%s: region %s was given %.2f of what it bears", phase, zone, allocated)
		}
	}
}

// checkReturned checks that those who had left the first slow zone go back to it, whoever of
// them it is.
func (r *run) checkReturned() {
	returned, all := 0.0, 0.0
	for _, name := range []string{gold, silver, bronze, thin} {
		share, count := r.shareIntoZone(name, r.firstSlowZone, time.Now().Add(-settledPeriod), time.Now())
		returned += share * float64(count)
		all += float64(count)
	}
	r.SetMetric(r.metricName("back"), returned/max(all, 1))
	if returned < minReturnedShare*all || all == 0 {
		r.reportViolation("back", "%.0f of %.0f first lines of those who had left went to the region that is well again",
			returned, all)
	}
}

// checkExploration checks that the first priority explores the zone that it has left with little.
func (r *run) checkExploration() {
	for _, t := range r.tenants()[:4] {
		share, count := r.shareIntoZone(t.Name, r.secondSlowZone, time.Now().Add(-settledPeriod), time.Now())
		r.SetMetric(r.metricName(t.Name+"_in_slow"), share)
		if t.Name == gold && share > maxExploredShare {
			r.reportViolation("explore", "%.3f of %d of %s's first lines went to the slow region once it had left",
				share, count, t.Name)
		}
	}
}

// checkEvacuated checks that nobody is sent to the small zone since it was evacuated, and that no
// contract has a part there.
func (r *run) checkEvacuated(failedAt, evacuatedAt time.Time) {
	for _, line := range r.FirstLinesInto(r.smallZone, evacuatedAt, time.Now()) {
		r.reportViolation("left", "%s sent %s %v after the region failed", line.Node, line.Key, line.At.Sub(failedAt))
	}
	latest := map[string]float64{}
	for _, change := range r.changesBetween(time.Time{}, time.Now()) {
		latest[change.Contract] = change.Shares[r.smallZone]
	}
	for contract, share := range latest {
		if share > smallestShare {
			r.reportViolation("left", "%s has %.3f of itself in a region that is left", contract, share)
		}
	}
}
