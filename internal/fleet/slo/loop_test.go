package slo

import (
	"testing"
	"time"
)

// All tenants of a region that grows slow would move at once, and would slow each region
// that they all went to. The loop settles: from the 20th minute after the fault on, less
// than 1 % of the set-ups is moved in any minute. Greedy steering never does.
func TestControlLoopSettles(t *testing.T) {
	play := func(g Guards, still bool) (*simulation, float64) {
		w := newSimulation(t, 90, 4, 4, 0.45)
		w.controller.DisabledGuards, w.frozen = g, still
		w.run(12 * time.Minute)
		w.meanMs["r00"] = 60
		w.run(40 * time.Minute)
		return w, float64(w.keptWindows[0]+w.keptWindows[1]+w.keptWindows[2]) / float64(w.windows[0]+w.windows[1]+w.windows[2])
	}
	w, kept := play(Guards{}, false)
	greedy, fewer := play(Guards{GradualMoves: true}, false)
	_, still := play(Guards{}, true)
	t.Logf("moved a minute %.4f, greedy %.3f; windows kept %.3f, greedy %.3f, unsteered %.3f; most load %.2f, greedy %.2f", w.busiestMinute(32), greedy.busiestMinute(32), kept, fewer, still, w.maxLoad, greedy.maxLoad)
	if kept < 0.9 || still >= 0.9 || fewer >= 0.9 {
		t.Errorf("%.3f of the windows are kept, %.3f unsteered, %.3f greedy", kept, still, fewer)
	}
	if x := w.busiestMinute(32); x >= 0.01 {
		t.Errorf("%.3f of the set-ups is moved in a minute", x)
	}
	if x := w.busiestMinute(0); x > 2*w.cfg.MaxMoveFraction {
		t.Errorf("%.3f of the set-ups is moved in a minute, two steps are %.2f", x, 2*w.cfg.MaxMoveFraction)
	}
	if x := greedy.busiestMinute(32); x < 0.1 {
		t.Errorf("greedy steering moves %.3f a minute: this test can't fail", x)
	}
}

// Each guard, taken out, breaks what it is there for.
func TestDisabledGuardShowsItsFault(t *testing.T) {
	greatest := func(w *simulation, region string) (most float64) {
		for range 24 {
			w.run(w.cfg.SampleInterval)
			for _, a := range w.state.Allocations {
				most = max(most, a.Shares[region])
			}
		}
		return most
	}
	for _, tt := range []struct {
		name  string
		out   Guards
		bound float64
		play  func(g Guards) float64
	}{
		{"moved though all is well, with few samples", Guards{Confidence: true}, 0.1, func(g Guards) float64 {
			w := newSimulation(t, 90, 4, 4, 0.02)
			w.controller.DisabledGuards = g
			for _, r := range w.regions {
				w.meanMs[r.Name] = 28
			}
			w.run(30 * time.Minute)
			return w.movedFraction(0)
		}},
		{"moved where regions break a promise for moments", Guards{Hysteresis: true}, 0.02, func(g Guards) float64 {
			w := newSimulation(t, 60, 3, 3, 0.5)
			w.controller.DisabledGuards = g
			w.run(12 * time.Minute)
			for i := range 15 {
				w.meanMs[w.regions[i%3].Name] = 60
				w.run(w.cfg.SampleInterval)
				w.meanMs[w.regions[i%3].Name] = 10
				w.run(35 * w.cfg.SampleInterval)
			}
			return w.movedFraction(0)
		}},
		{"of a contract that explores", Guards{ExploreLimit: true}, 0.02, func(g Guards) float64 {
			w := newSimulation(t, 30, 3, 3, 0.2)
			w.controller.DisabledGuards = g
			w.steerAll(map[string]float64{"r00": 0.5, "r01": 0.5})
			return greatest(w, "r02")
		}},
		{"load of a small region", Guards{CapacityLimits: true}, 0.86, func(g Guards) float64 {
			w := newSimulation(t, 60, 3, 3, 0.3)
			w.controller.DisabledGuards = g
			w.regions[2].Capacity = 400
			w.meanMs["r00"], w.meanMs["r01"], w.meanMs["r02"] = 60, 60, 1
			w.run(30 * time.Minute)
			return w.maxLoad
		}},
		{"contracts that hold to old evidence and stay away", Guards{EvidenceExpiry: true}, 0, func(g Guards) float64 {
			w := newSimulation(t, 30, 3, 3, 0.2)
			w.steerAll(map[string]float64{"r02": 1})
			w.meanMs["r02"] = 60
			w.regions[0].UsableFraction, w.regions[1].UsableFraction = 0, 0
			w.run(2 * time.Minute)
			for i := range w.state.Allocations { // another leader brought them away
				w.state.Allocations[i].Shares, w.state.Allocations[i].UnmetReason = map[string]float64{"r00": 1}, ""
			}
			w.regions[0].UsableFraction, w.meanMs["r02"] = 1, 10
			w.controller.DisabledGuards = g
			if greatest(w, "r02") == 0 {
				w.run(10 * time.Minute)
				if greatest(w, "r02") == 0 {
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
	w := newSimulation(t, 30, 3, 3, 0.2)
	w.steerAll(map[string]float64{"r00": 0.5, "r01": 0.5})
	for i := range w.state.Contracts { // some have a bound that nobody keeps
		if i%2 == 0 {
			w.state.Contracts[i].Objective = 2 * time.Millisecond
		}
	}
	w.run(4 * time.Minute)
	explorers := 0
	for i, a := range w.state.Allocations {
		if x := a.Shares["r02"]; x > 0 && a.UnmetReason == "" && i%2 == 0 && w.controller.contracts[a.Contract].history != 0 {
			t.Errorf("%s burns and has %.3f where nobody measured", a.Contract, x)
		} else if x > 0 {
			explorers++
		}
	}
	if explorers == 0 || explorers > 15 {
		t.Errorf("%d of 30 contracts explore", explorers)
	}
}
