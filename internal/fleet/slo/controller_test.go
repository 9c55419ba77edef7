package slo

import (
	"testing"
	"time"
)

// If all contracts left a slow region at once, they would overload each region that they moved to.
// The control loop must settle: from the 20th minute after the fault on, less than 1 % of the
// session set-ups is moved in any minute. Greedy steering must not settle, or else the test could
// not fail.
func TestControlLoopSettles(t *testing.T) {
	simulate := func(disabled Guards, frozen bool) *simulation {
		sim := newSimulation(t, 90, 4, 4, 0.45)
		sim.controller.DisabledGuards, sim.frozen = disabled, frozen
		sim.run(12 * time.Minute)
		sim.meanMs["r00"] = 60
		sim.run(40 * time.Minute)
		return sim
	}
	steered := simulate(Guards{}, false)
	greedy := simulate(Guards{GradualMoves: true}, false)
	unsteered := simulate(Guards{}, true)
	t.Logf("moved per minute %.4f, greedy %.3f; max load %.2f, greedy %.2f",
		steered.busiestMinute(32), greedy.busiestMinute(32), steered.maxLoad, greedy.maxLoad)
	t.Logf("windows met %.3f, greedy %.3f, unsteered %.3f",
		steered.metFraction(), greedy.metFraction(), unsteered.metFraction())
	if steered.metFraction() < 0.9 || unsteered.metFraction() >= 0.9 || greedy.metFraction() >= 0.9 {
		t.Errorf("fraction of windows met: %.3f, %.3f unsteered, %.3f greedy",
			steered.metFraction(), unsteered.metFraction(), greedy.metFraction())
	}
	if moved := steered.busiestMinute(32); moved >= 0.01 {
		t.Errorf("%.3f of the set-ups moved in one minute", moved)
	}
	if moved := steered.busiestMinute(0); moved > 2*steered.cfg.MaxMoveFraction {
		t.Errorf("%.3f moved in one minute, two steps are %.2f", moved, 2*steered.cfg.MaxMoveFraction)
	}
	if moved := greedy.busiestMinute(32); moved < 0.1 {
		t.Errorf("greedy steering moves only %.3f per minute: this test can't fail", moved)
	}
}

func movedWithFewSamples(t *testing.T, disabled Guards) float64 {
	sim := newSimulation(t, 90, 4, 4, 0.02)
	sim.controller.DisabledGuards = disabled
	for _, region := range sim.regions {
		sim.meanMs[region.Name] = 28
	}
	sim.run(30 * time.Minute)
	return sim.movedFraction(0)
}

func movedAfterShortBreaches(t *testing.T, disabled Guards) float64 {
	sim := newSimulation(t, 60, 3, 3, 0.5)
	sim.controller.DisabledGuards = disabled
	sim.run(12 * time.Minute)
	for i := range 15 {
		region := sim.regions[i%3].Name
		sim.meanMs[region] = 60
		sim.run(sim.cfg.SampleInterval)
		sim.meanMs[region] = 10
		sim.run(35 * sim.cfg.SampleInterval)
	}
	return sim.movedFraction(0)
}

func exploredShare(t *testing.T, disabled Guards) float64 {
	sim := newSimulation(t, 30, 3, 3, 0.2)
	sim.controller.DisabledGuards = disabled
	sim.steerAll(Shares{"r00": 0.5, "r01": 0.5})
	return sim.maxShare("r02")
}

func loadOfSmallRegion(t *testing.T, disabled Guards) float64 {
	sim := newSimulation(t, 60, 3, 3, 0.3)
	sim.controller.DisabledGuards = disabled
	sim.regions[2].Capacity = 400
	sim.meanMs["r00"], sim.meanMs["r01"], sim.meanMs["r02"] = 60, 60, 1
	sim.run(30 * time.Minute)
	return sim.maxLoad
}

// staysAwayOnOldEvidence returns 1 if no contract returns to a region that was slow in the past,
// and 0 otherwise.
func staysAwayOnOldEvidence(t *testing.T, disabled Guards) float64 {
	sim := newSimulation(t, 30, 3, 3, 0.2)
	sim.steerAll(Shares{"r02": 1})
	sim.meanMs["r02"] = 60
	sim.regions[0].UsableFraction, sim.regions[1].UsableFraction = 0, 0
	sim.run(2 * time.Minute)
	for i := range sim.state.Allocations { // as if another leader had moved the contracts away
		allocation := &sim.state.Allocations[i]
		allocation.Shares, allocation.UnmetReason = Shares{"r00": 1}, ""
	}
	sim.regions[0].UsableFraction, sim.meanMs["r02"] = 1, 10
	sim.controller.DisabledGuards = disabled
	if sim.maxShare("r02") > 0 {
		return 0
	}
	sim.run(10 * time.Minute)
	if sim.maxShare("r02") > 0 {
		return 0
	}
	return 1
}

// Each guard prevents a fault that must appear once the guard is disabled.
func TestDisabledGuardShowsItsFault(t *testing.T) {
	for _, tt := range []struct {
		name     string
		guards   Guards
		bound    float64
		simulate func(t *testing.T, disabled Guards) float64
	}{
		{"moved on few samples without a breach", Guards{Confidence: true}, 0.1, movedWithFewSamples},
		{"moved because of short breaches", Guards{Hysteresis: true}, 0.02, movedAfterShortBreaches},
		{"explored share of a contract", Guards{ExploreLimit: true}, 0.02, exploredShare},
		{"load of a small region", Guards{CapacityLimits: true}, 0.86, loadOfSmallRegion},
		{"contracts stay away on old evidence", Guards{EvidenceExpiry: true}, 0, staysAwayOnOldEvidence},
	} {
		guarded, unguarded := tt.simulate(t, Guards{}), tt.simulate(t, tt.guards)
		t.Logf("%s: %.4f, with the guard disabled %.4f", tt.name, guarded, unguarded)
		if guarded > tt.bound+1e-9 {
			t.Errorf("%s: %.4f, at most %v", tt.name, guarded, tt.bound)
		}
		if unguarded <= tt.bound+1e-9 {
			t.Errorf("%s: %.4f with the guard disabled: this test can't fail", tt.name, unguarded)
		}
	}
}

// A contract whose error budget is burning must not explore an allowed region, while others do.
func TestBurningContractsDoNotExplore(t *testing.T) {
	sim := newSimulation(t, 30, 3, 3, 0.2)
	sim.steerAll(Shares{"r00": 0.5, "r01": 0.5})
	for i := range sim.state.Contracts { // every second objective can't be met by any region
		if i%2 == 0 {
			sim.state.Contracts[i].Objective = 2 * time.Millisecond
		}
	}
	sim.run(4 * time.Minute)
	explorers := 0
	for i, allocation := range sim.state.Allocations {
		share := allocation.Shares["r02"]
		if share == 0 {
			continue
		}
		hasBreached := sim.controller.contracts[allocation.Contract].history != 0
		if allocation.UnmetReason == "" && i%2 == 0 && hasBreached {
			t.Errorf("%s is burning and has %.3f in an unmeasured region", allocation.Contract, share)
			continue
		}
		explorers++
	}
	if explorers == 0 || explorers > 15 {
		t.Errorf("%d of 30 contracts explore", explorers)
	}
}
