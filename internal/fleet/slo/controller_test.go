package slo

import (
	"testing"
	"time"
)

// All tenants of a region that grows slow would move at once, and would slow each region
// that they all went to. The loop settles: from the 20th minute after the fault on, less
// than 1 % of the set-ups is moved in any minute. Greedy steering never does.
func TestControlLoopSettles(t *testing.T) {
	simulate := func(disabled Guards, unsteered bool) (*simulation, float64) {
		sim := newSimulation(t, 90, 4, 4, 0.45)
		sim.controller.DisabledGuards, sim.frozen = disabled, unsteered
		sim.run(12 * time.Minute)
		sim.meanMs["r00"] = 60
		sim.run(40 * time.Minute)
		return sim, float64(sim.keptWindows[0]+sim.keptWindows[1]+sim.keptWindows[2]) / float64(sim.windows[0]+sim.windows[1]+sim.windows[2])
	}
	sim, kept := simulate(Guards{}, false)
	greedy, greedyKept := simulate(Guards{GradualMoves: true}, false)
	_, unsteered := simulate(Guards{}, true)
	t.Logf("moved a minute %.4f, greedy %.3f; windows kept %.3f, greedy %.3f, unsteered %.3f; most load %.2f, greedy %.2f", sim.busiestMinute(32), greedy.busiestMinute(32), kept, greedyKept, unsteered, sim.maxLoad, greedy.maxLoad)
	if kept < 0.9 || unsteered >= 0.9 || greedyKept >= 0.9 {
		t.Errorf("%.3f of the windows are kept, %.3f unsteered, %.3f greedy", kept, unsteered, greedyKept)
	}
	if moved := sim.busiestMinute(32); moved >= 0.01 {
		t.Errorf("%.3f of the set-ups is moved in a minute", moved)
	}
	if moved := sim.busiestMinute(0); moved > 2*sim.cfg.MaxMoveFraction {
		t.Errorf("%.3f of the set-ups is moved in a minute, two steps are %.2f", moved, 2*sim.cfg.MaxMoveFraction)
	}
	if moved := greedy.busiestMinute(32); moved < 0.1 {
		t.Errorf("greedy steering moves %.3f a minute: this test can't fail", moved)
	}
}

// Each guard, taken out, breaks what it is there for.
func TestDisabledGuardShowsItsFault(t *testing.T) {
	maxShare := func(sim *simulation, region string) (most float64) {
		for range 24 {
			sim.run(sim.cfg.SampleInterval)
			for _, a := range sim.state.Allocations {
				most = max(most, a.Shares[region])
			}
		}
		return most
	}
	for _, tt := range []struct {
		name  string
		out   Guards
		bound float64
		play  func(disabled Guards) float64
	}{
		{"moved though all is well, with few samples", Guards{Confidence: true}, 0.1, func(disabled Guards) float64 {
			sim := newSimulation(t, 90, 4, 4, 0.02)
			sim.controller.DisabledGuards = disabled
			for _, r := range sim.regions {
				sim.meanMs[r.Name] = 28
			}
			sim.run(30 * time.Minute)
			return sim.movedFraction(0)
		}},
		{"moved where regions break a promise for moments", Guards{Hysteresis: true}, 0.02, func(disabled Guards) float64 {
			sim := newSimulation(t, 60, 3, 3, 0.5)
			sim.controller.DisabledGuards = disabled
			sim.run(12 * time.Minute)
			for i := range 15 {
				sim.meanMs[sim.regions[i%3].Name] = 60
				sim.run(sim.cfg.SampleInterval)
				sim.meanMs[sim.regions[i%3].Name] = 10
				sim.run(35 * sim.cfg.SampleInterval)
			}
			return sim.movedFraction(0)
		}},
		{"of a contract that explores", Guards{ExploreLimit: true}, 0.02, func(disabled Guards) float64 {
			sim := newSimulation(t, 30, 3, 3, 0.2)
			sim.controller.DisabledGuards = disabled
			sim.steerAll(map[string]float64{"r00": 0.5, "r01": 0.5})
			return maxShare(sim, "r02")
		}},
		{"load of a small region", Guards{CapacityLimits: true}, 0.86, func(disabled Guards) float64 {
			sim := newSimulation(t, 60, 3, 3, 0.3)
			sim.controller.DisabledGuards = disabled
			sim.regions[2].Capacity = 400
			sim.meanMs["r00"], sim.meanMs["r01"], sim.meanMs["r02"] = 60, 60, 1
			sim.run(30 * time.Minute)
			return sim.maxLoad
		}},
		{"contracts that hold to old evidence and stay away", Guards{EvidenceExpiry: true}, 0, func(disabled Guards) float64 {
			sim := newSimulation(t, 30, 3, 3, 0.2)
			sim.steerAll(map[string]float64{"r02": 1})
			sim.meanMs["r02"] = 60
			sim.regions[0].UsableFraction, sim.regions[1].UsableFraction = 0, 0
			sim.run(2 * time.Minute)
			for i := range sim.state.Allocations { // another leader brought them away
				sim.state.Allocations[i].Shares, sim.state.Allocations[i].UnmetReason = map[string]float64{"r00": 1}, ""
			}
			sim.regions[0].UsableFraction, sim.meanMs["r02"] = 1, 10
			sim.controller.DisabledGuards = disabled
			if maxShare(sim, "r02") == 0 {
				sim.run(10 * time.Minute)
				if maxShare(sim, "r02") == 0 {
					return 1
				}
			}
			return 0
		}},
	} {
		sound, mutated := tt.play(Guards{}), tt.play(tt.out)
		t.Logf("%s: %.4f, with the guard out %.4f", tt.name, sound, mutated)
		if sound > tt.bound+1e-9 {
			t.Errorf("%s: %.4f, at most %v", tt.name, sound, tt.bound)
		}
		if mutated <= tt.bound+1e-9 {
			t.Errorf("%s: %.4f with the guard out: this test can't fail", tt.name, mutated)
		}
	}
}

// Whose budget is being spent explores nothing, though it could; whose is not, does.
func TestBurningContractsDoNotExplore(t *testing.T) {
	sim := newSimulation(t, 30, 3, 3, 0.2)
	sim.steerAll(map[string]float64{"r00": 0.5, "r01": 0.5})
	for i := range sim.state.Contracts { // some have a bound that nobody keeps
		if i%2 == 0 {
			sim.state.Contracts[i].Objective = 2 * time.Millisecond
		}
	}
	sim.run(4 * time.Minute)
	explorers := 0
	for i, a := range sim.state.Allocations {
		if share := a.Shares["r02"]; share > 0 && a.UnmetReason == "" && i%2 == 0 && sim.controller.contracts[a.Contract].history != 0 {
			t.Errorf("%s burns and has %.3f where nobody measured", a.Contract, share)
		} else if share > 0 {
			explorers++
		}
	}
	if explorers == 0 || explorers > 15 {
		t.Errorf("%d of 30 contracts explore", explorers)
	}
}
