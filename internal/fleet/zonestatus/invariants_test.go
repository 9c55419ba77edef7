package zonestatus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// symbols are what a small fleet can see for a while: from two zones' names, the bad share.
var faultPatterns = map[byte]func(from, to string) float64{
	'.': func(_, _ string) float64 { return 0 },
	'b': func(_, to string) float64 { return indicator(to == "b") },
	'2': func(_, to string) float64 { return indicator(to != "a") },
	'*': func(_, _ string) float64 { return 1 },
	'l': func(from, to string) float64 { return indicator(from == "a" && to == "b") },
	'i': func(from, to string) float64 { return indicator(from != to && (from == "a" || to == "a")) },
	'h': func(_, to string) float64 { return indicator(to == "b") / 2 },
	's': nil, // nobody is heard
}

func indicator(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// All sequences of three symbols, 2.5 s each, in a fleet of three zones with two members
// each. Property: no zone ever leaves all, nor more than Most of them; a zone begins to
// leave another only while its own members are served nothing there, and never while they
// are cut off; nothing is refused for want of room with no zone left; once all is well, all
// comes back to open, with nothing refused, within 45 s.
func TestInvariantsForAllFaultSequences(t *testing.T) {
	t.Parallel()
	var scripts []string
	for a := range faultPatterns {
		for b := range faultPatterns {
			for c := range faultPatterns {
				scripts = append(scripts, string([]byte{a, b, c}))
			}
		}
	}
	for _, script := range scripts {
		fleet := newTestFleet(t, 3, 2)
		play := func(symbol byte, d time.Duration) {
			see := faultPatterns[symbol]
			fleet.isSilent = func(string) bool { return see == nil }
			fleet.failing = func(from, to string, _ int) float64 { return see(from, to) }
			for end := fleet.now + d; fleet.now < end; {
				before := fleet.state
				fleet.step(250 * time.Millisecond)
				for _, r := range fleet.state.Pairs {
					old := before.pair(r.From, r.To)
					if r.Status == Evacuating && old.Status != Evacuating && (see == nil || see(r.From, r.To) < 1 || symbol == 'i' && r.From == "a") {
						t.Fatalf("%s, at %c: %s leaves %s", script, symbol, r.From, r.To)
					}
				}
				for _, z := range fleet.zones {
					if n := fleet.state.evacuatedCount(z); n > fleet.cfg.maxEvacuatedZones(3) || n > 2 {
						t.Fatalf("%s: %s has left %d", script, z, n)
					}
				}
			}
		}
		for i := range script {
			play(script[i], 2500*time.Millisecond)
		}
		for end := fleet.now + 45*time.Second; fleet.now < end && (describe(fleet.state) != "" || fleet.state.Shed != 0); {
			play('.', 2500*time.Millisecond)
		}
		if got := describe(fleet.state); got != "" || fleet.state.Shed != 0 {
			t.Fatalf("%s: in the end %s, %.2f over\n%s", script, got, fleet.state.Shed, strings.Join(fleet.log, "\n"))
		}
	}
}

// However gossip loses words, whichever members it takes for dead, and whatever one false
// member of each zone says, a sound fleet leaves nothing.
func TestHealthyFleetEvacuatesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		loss := rapid.Float64Range(0, 0.6).Draw(rt, "loss")
		fleet := newTestFleet(t, rapid.IntRange(2, 6).Draw(rt, "zones"), rapid.IntRange(3, 6).Draw(rt, "members"))
		liar := rapid.IntRange(0, 5).Draw(rt, "liar")
		fleet.failing = func(_, _ string, m int) float64 { return indicator(m == liar && rng.Float64() < 0.8) }
		fleet.isSilent = func(string) bool { return rng.Float64() < loss }
		for range 60 {
			fleet.now += 100 * time.Millisecond
			members := fleet.members()
			for i := range members { // but two of each stay
				members[i].Alive = i%fleet.membersPerZone < 2 || rng.Float64() > loss
			}
			if change, reason, ok := fleet.controller.Evaluate(fleet.now, fleet.state, fleet.reports(), members); ok {
				for _, r := range change.Set {
					if r.Status.isEvacuated() {
						rt.Fatalf("%s", reason)
					}
				}
			}
		}
	})
}

// Each guard keeps something: without it the fault is seen.
func TestDisabledGuardShowsItsFault(t *testing.T) {
	liar := func(_, to string, m int) float64 { return indicator(to == "b" && m == 0) }
	of := func(symbol byte) func(string, string, int) float64 {
		return func(from, to string, _ int) float64 { return faultPatterns[symbol](from, to) }
	}
	for _, tt := range []struct {
		guard  string
		ignore Guards
		bad    func(from, to string, m int) float64
		seen   func(fleet *testFleet) bool
	}{
		{"panic", Guards{PanicThreshold: true}, of('*'), func(fleet *testFleet) bool { return fleet.rejected > 0 }},
		{"accuse", Guards{ReporterConnectivity: true}, of('i'), func(fleet *testFleet) bool { return fleet.state.pair("a", "c").Status == Evacuated }},
		{"viewpoint", Guards{ObservingZone: true}, of('l'), func(fleet *testFleet) bool { return fleet.state.pair("c", "b").Status == Evacuated }},
		{"quorum", Guards{Quorum: true}, liar, func(fleet *testFleet) bool { return fleet.state.pair("c", "b").Status == Evacuated }},
		{"return", Guards{RecoveryRamp: true}, of('b'), func(fleet *testFleet) bool {
			fleet.fail(0, "b")
			fleet.run(time.Second)
			return fleet.state.pair("c", "b").Status == Active
		}},
	} {
		for _, disabled := range []bool{false, true} {
			fleet := newTestFleet(t, 3, 3)
			if fleet.failing = tt.bad; disabled {
				fleet.controller.DisabledGuards = tt.ignore
			}
			fleet.run(3 * time.Second)
			if tt.seen(fleet) != disabled {
				t.Errorf("%s, taken out %v: %s, %d refused", tt.guard, disabled, describe(fleet.state), fleet.rejected)
			}
		}
	}
}

// An hour of faults, 300 members in 12 zones, in seconds: the record's changes a minute are
// bounded, the panic rule holds at each version, and all is open in the end.
func TestHourOfFaultsInLargeFleet(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 12, 25)
	lost, half := map[string]bool{}, map[string]bool{}
	fleet.failing = func(_, to string, _ int) float64 { return max(indicator(lost[to]), indicator(half[to])/2) }
	rng, begin, leaves, most := rand.New(rand.NewPCG(29, 1)), 0, map[string]int{}, 0
	for second := range 3600 {
		fleet.load = 0.3 + 0.25*float64(second%1200)/1200
		if second%5 == 0 && second < 3000 {
			lost["c"] = second/600%2 == 1 && second/5%2 == 0 // flaps for ten minutes, twice
			lost["d"] = second/120%5 == 1
			lost["e"] = second/120%5 == 1 && second > 1200
			half["f"] = second/90%3 == 1
			half["g"] = rng.IntN(2) == 0 // never the same for long
		} else if second == 3000 {
			clear(lost)
			clear(half)
		}
		before := fleet.state
		fleet.step(time.Second)
		for _, z := range fleet.zones {
			if n := fleet.state.evacuatedCount(z); n > fleet.cfg.maxEvacuatedZones(12) {
				t.Fatalf("second %d: %s has left %d", second, z, n)
			}
			if fleet.state.pair("a", z).Status == Evacuating && before.pair("a", z).Status != Evacuating {
				leaves[z]++
			}
		}
		if second%60 == 59 {
			most, begin = max(most, fleet.changes-begin), fleet.changes
		}
	}
	if most > 30 || leaves["c"] > 16 || leaves["d"] > 5 || leaves["a"]+leaves["f"]+leaves["g"] > 0 || describe(fleet.state) != "" || fleet.state.Shed != 0 {
		t.Errorf("%d changes a minute, left %v, in the end %s\n%s", most, leaves, describe(fleet.state), strings.Join(fleet.log, "\n"))
	}
	t.Logf("%d changes, %d in the busiest minute, leaves %v", fleet.changes, most, leaves)
}

func BenchmarkStep(b *testing.B) {
	for _, membersPerZone := range []int{1, 25} {
		b.Run(fmt.Sprint(12*membersPerZone, " members"), func(b *testing.B) {
			fleet := newTestFleet(b, 12, membersPerZone)
			fleet.fail(1, "b")
			fleet.run(5 * time.Second)
			reports, members := fleet.reports(), fleet.members()
			b.ReportAllocs()
			for b.Loop() {
				fleet.controller.Evaluate(fleet.now, fleet.state, reports, members)
			}
		})
	}
}
