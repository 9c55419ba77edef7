package objectives

import (
	"fmt"
	"time"
)

// Bounds that the checks apply.
const (
	// maxMoveShare is the setting fleet.promises.step, the maximum share of a contract that moves
	// at once.
	maxMoveShare = 0.2
	// maxZoneLoad is the maximum load of a zone in any two seconds, as a multiple of its capacity,
	// with an allowance for random variation.
	maxZoneLoad = 1.08
	// maxAllocatedLoad is the maximum load that allocations may assign to a zone, as a multiple of
	// its capacity, with an allowance because demand is measured.
	maxAllocatedLoad = 1.15
	// minMetShare is the minimum share of windows in which the objective of the first priority must
	// be met once steering has settled.
	minMetShare = 0.75
	// maxExploredShare is the maximum share of a tenant's first lines in settledPeriod that explore
	// a zone: 0.02, and an allowance for random variation.
	maxExploredShare = 0.06
	// minReturnedShare is the minimum share of the first lines of tenants that had left a zone that
	// must return to it once it has recovered.
	minReturnedShare = 0.15
	// settledPeriod is the time at the end of a phase in which steering has settled.
	settledPeriod = 6 * time.Second
	// evidenceLifetime is the time for which measurements of the previous phase still count.
	evidenceLifetime = 2 * time.Second
)

// violationf records a violation of a rule if this is the run that is checked.
func (r *run) violationf(rule, format string, args ...any) {
	if r.variant.name == "" {
		r.AddViolation(rule, fmt.Sprintf(format, args...))
	}
}

// checkObjectiveMet checks that a tenant's objective is met in enough windows once steering has settled.
func (r *run) checkObjectiveMet(phase string, t tenant) {
	share, windows := r.metShare(t, time.Now().Add(-settledPeriod), time.Now().Add(-t.boundAtClient()))
	r.SetMetric(r.metricName(phase+"_"+t.Name+"_kept_settled"), share)
	if share < minMetShare || windows == 0 {
		r.violationf("kept", "%s: objective met in %.2f of the last %d windows of %s",
			phase, share, windows, t.Name)
	}
}

// checkSteering checks the rules of every phase: the share that moves at once is bounded, zones are
// not loaded beyond their capacity, and no contract leaves the healthy zone.
func (r *run) checkSteering(phase string, from time.Time, healthyZone string) {
	r.checkLoads(phase, from)
	for _, change := range r.changesBetween(from, time.Now()) {
		left := change.leftByZone[healthyZone]
		if left > maxExploredShare && change.at.Sub(from) > settledPeriod+evidenceLifetime {
			r.violationf("well", "%s: contract %s moved a share of %.3f out of healthy region %s",
				phase, change.Contract, left, healthyZone)
		}
		// No other contract displaces the first priority, so it moves only by steps. Its first
		// allocation is compared with an even spread, from which failures may already have moved it.
		if limit := 2 * maxMoveShare; change.Contract == gold && change.movedShare > limit {
			r.violationf("step", "%s: contract %s moved a share of %.3f at once, at most %.3f is allowed",
				phase, change.Contract, change.movedShare, limit)
		}
	}
}

// checkLoads checks that no zone was loaded beyond its capacity since a time, neither by the first
// lines that its servers received nor by allocations.
func (r *run) checkLoads(phase string, from time.Time) {
	for _, zone := range r.Testbed.Zones {
		load := r.peakLoad(zone, from, time.Now())
		r.SetMetric(r.metricName(phase+"_load_"+zone), load)
		if load > maxZoneLoad {
			r.violationf("bears", "%s: region %s received %.2f times its capacity", phase, zone, load)
		}
		allocated := r.peakAllocatedLoad(zone, from, time.Now())
		r.SetMetric(r.metricName(phase+"_given_"+zone), allocated)
		if allocated > maxAllocatedLoad {
			r.violationf("bears", "%s: region %s was allocated %.2f times its capacity",
				phase, zone, allocated)
		}
	}
}

// checkReturned checks that the tenants that had left the first slow zone return to it, whichever of
// them do.
func (r *run) checkReturned() {
	returned, all := 0.0, 0.0
	for _, name := range []string{gold, silver, bronze, lowVolume} {
		share, count := r.shareIntoZone(name, r.firstSlowZone, time.Now().Add(-settledPeriod), time.Now())
		returned += share * float64(count)
		all += float64(count)
	}
	r.SetMetric(r.metricName("back"), returned/max(all, 1))
	if returned < minReturnedShare*all || all == 0 {
		r.violationf("back", "%.0f of %.0f first lines of tenants that had left went to the recovered region",
			returned, all)
	}
}

// checkExploration checks that the first priority sends only a small share to the zone that it has
// left, to explore it.
func (r *run) checkExploration() {
	for _, t := range r.tenants()[:4] {
		share, count := r.shareIntoZone(t.Name, r.secondSlowZone, time.Now().Add(-settledPeriod), time.Now())
		r.SetMetric(r.metricName(t.Name+"_in_slow"), share)
		if t.Name == gold && share > maxExploredShare {
			r.violationf("explore", "a share of %.3f of %d first lines of %s explored the slow region",
				share, count, t.Name)
		}
	}
}

// checkEvacuated checks that the small zone received no first line after it was evacuated, and that
// no contract has a share there.
func (r *run) checkEvacuated(failedAt, evacuatedAt time.Time) {
	for _, line := range r.FirstLinesInto(r.smallZone, evacuatedAt, time.Now()) {
		r.violationf("left", "node %s sent %s %v after the region failed",
			line.Node, line.Key, line.At.Sub(failedAt))
	}
	latest := map[string]float64{}
	for _, change := range r.changesBetween(time.Time{}, time.Now()) {
		latest[change.Contract] = change.Shares[r.smallZone]
	}
	for contract, share := range latest {
		if share > negligibleShare {
			r.violationf("left", "contract %s has a share of %.3f in an evacuated region", contract, share)
		}
	}
}
