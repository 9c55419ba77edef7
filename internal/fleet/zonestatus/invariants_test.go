package zonestatus

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// faultPatterns are the faults that a sequence is made of. Each returns the failing fraction of
// zone to as observed from zone from.
var faultPatterns = map[byte]func(from, to string) float64{
	'.': func(_, _ string) float64 { return 0 },
	'b': func(_, to string) float64 { return indicator(to == "b") },
	'2': func(_, to string) float64 { return indicator(to != "a") },
	'*': func(_, _ string) float64 { return 1 },
	'l': func(from, to string) float64 { return indicator(from == "a" && to == "b") },
	'i': func(from, to string) float64 { return indicator(from != to && (from == "a" || to == "a")) },
	'h': func(_, to string) float64 { return indicator(to == "b") / 2 },
	's': nil, // all members are silent
}

// faultSequences returns all sequences of three fault patterns.
func faultSequences() (sequences []string) {
	for a := range faultPatterns {
		for b := range faultPatterns {
			for c := range faultPatterns {
				sequences = append(sequences, string([]byte{a, b, c}))
			}
		}
	}
	return sequences
}

// runPattern runs the fleet under one fault pattern. It checks after each step that a zone starts
// to evacuate another only if its own members observe that zone as failing entirely and it is not
// isolated itself, and that the panic threshold holds.
func (f *testFleet) runPattern(sequence string, pattern byte, d time.Duration) {
	observed := faultPatterns[pattern]
	f.isSilent = func(string) bool { return observed == nil }
	f.failing = func(from, to string, _ int) float64 { return observed(from, to) }
	for end := f.now + d; f.now < end; {
		before := f.state
		f.step(250 * time.Millisecond)
		for _, pair := range f.state.Pairs {
			begins := pair.Status == Evacuating && before.pair(pair.From, pair.To).Status != Evacuating
			isIsolated := pattern == 'i' && pair.From == "a"
			if begins && (observed == nil || observed(pair.From, pair.To) < 1 || isIsolated) {
				f.t.Fatalf("%s, at %c: %s evacuates %s", sequence, pattern, pair.From, pair.To)
			}
		}
		for _, zone := range f.zones {
			if n := f.state.evacuatedCount(zone); n > f.cfg.maxEvacuatedZones(3) || n > 2 {
				f.t.Fatalf("%s: %s has evacuated %d", sequence, zone, n)
			}
		}
	}
}

// All sequences of three fault patterns of 2.5 s each run in a fleet of three zones with two
// members each. The invariants of runPattern must hold, and within 45 s of the last fault all pairs
// must be active again and nothing shed.
func TestInvariantsForAllFaultSequences(t *testing.T) {
	t.Parallel()
	for _, sequence := range faultSequences() {
		fleet := newTestFleet(t, 3, 2)
		for i := range sequence {
			fleet.runPattern(sequence, sequence[i], 2500*time.Millisecond)
		}
		for end := fleet.now + 45*time.Second; fleet.now < end && !fleet.isAllActive(); {
			fleet.runPattern(sequence, '.', 2500*time.Millisecond)
		}
		if !fleet.isAllActive() {
			t.Fatalf("%s: final state %s, %.2f shed\n%s",
				sequence, describe(fleet.state), fleet.state.Shed, fleet.transcript())
		}
	}
}

// A healthy fleet must not evacuate any zone, regardless of which reports gossip loses, which
// members are marked as dead, and what one false reporter per zone reports.
func TestHealthyFleetEvacuatesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		fleet := newTestFleet(t, rapid.IntRange(2, 6).Draw(rt, "zones"), rapid.IntRange(3, 6).Draw(rt, "members"))
		falseReporter := rapid.IntRange(0, 5).Draw(rt, "liar")
		fleet.failing = func(_, _ string, m int) float64 {
			return indicator(m == falseReporter && rng.Float64() < 0.8)
		}
		fleet.isSilent = func(string) bool { return rng.Float64() < loss }
		for range 60 {
			fleet.now += 100 * time.Millisecond
			members := fleet.members()
			for i := range members { // two members of each zone stay alive
				members[i].Alive = i%fleet.membersPerZone < 2 || rng.Float64() > loss
			}
			change, reason, ok := fleet.controller.Evaluate(fleet.now, fleet.state, fleet.reports(), members)
			if !ok {
				continue
			}
			for _, pair := range change.Set {
				if pair.Status.isEvacuated() {
					rt.Fatalf("%s", reason)
				}
			}
		}
	})
}

// Each guard prevents a fault that must appear once the guard is disabled.
func TestDisabledGuardShowsItsFault(t *testing.T) {
	falseReporter := func(_, to string, m int) float64 { return indicator(to == "b" && m == 0) }
	everyone := func(pattern byte) func(string, string, int) float64 {
		return func(from, to string, _ int) float64 { return faultPatterns[pattern](from, to) }
	}
	hasStatus := func(from, to string, status Status) func(*testFleet) bool {
		return func(f *testFleet) bool { return f.state.pair(from, to).Status == status }
	}
	for _, tt := range []struct {
		guard   string
		guards  Guards
		failing func(from, to string, m int) float64
		shows   func(f *testFleet) bool
	}{
		{"panic", Guards{PanicThreshold: true}, everyone('*'), func(f *testFleet) bool { return f.rejected > 0 }},
		{"accuse", Guards{ReporterConnectivity: true}, everyone('i'), hasStatus("a", "c", Evacuated)},
		{"viewpoint", Guards{ObservingZone: true}, everyone('l'), hasStatus("c", "b", Evacuated)},
		{"quorum", Guards{Quorum: true}, falseReporter, hasStatus("c", "b", Evacuated)},
		{"return", Guards{RecoveryRamp: true}, everyone('b'), func(f *testFleet) bool {
			f.fail(0, "b")
			f.run(time.Second)
			return f.state.pair("c", "b").Status == Active
		}},
	} {
		for _, disabled := range []bool{false, true} {
			fleet := newTestFleet(t, 3, 3)
			fleet.failing = tt.failing
			if disabled {
				fleet.controller.DisabledGuards = tt.guards
			}
			fleet.run(3 * time.Second)
			if tt.shows(fleet) != disabled {
				t.Errorf("%s, disabled %v: %s, %d rejected", tt.guard, disabled, describe(fleet.state), fleet.rejected)
			}
		}
	}
}
