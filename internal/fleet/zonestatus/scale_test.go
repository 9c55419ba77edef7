package zonestatus

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// faultSchedule is a schedule of faults over one hour: zones that are unavailable, and zones of
// which half of the endpoints fail.
type faultSchedule struct {
	rng               *rand.Rand
	unavailable, half map[string]bool
}

func (s *faultSchedule) advance(second int) {
	switch {
	case second%5 == 0 && second < 3000:
		s.unavailable["c"] = second/600%2 == 1 && second/5%2 == 0 // flaps during two periods of ten minutes
		s.unavailable["d"] = second/120%5 == 1
		s.unavailable["e"] = second/120%5 == 1 && second > 1200
		s.half["f"] = second/90%3 == 1
		s.half["g"] = s.rng.IntN(2) == 0 // changes at random every 5 s
	case second == 3000:
		clear(s.unavailable)
		clear(s.half)
	}
}

// An hour of faults with 300 members in 12 zones, in steps of one second: the changes per minute
// must be bounded, the panic threshold must hold at each version, and all pairs must be active at
// the end.
func TestHourOfFaultsInLargeFleet(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 12, 25)
	faults := &faultSchedule{rand.New(rand.NewPCG(29, 1)), map[string]bool{}, map[string]bool{}}
	fleet.failing = func(_, to string, _ int) float64 {
		return max(indicator(faults.unavailable[to]), indicator(faults.half[to])/2)
	}
	evacuations, minuteBegin, busiestMinute := map[string]int{}, 0, 0
	for second := range 3600 {
		fleet.load = 0.3 + 0.25*float64(second%1200)/1200
		faults.advance(second)
		before := fleet.state
		fleet.step(time.Second)
		for _, zone := range fleet.zones {
			if n := fleet.state.evacuatedCount(zone); n > fleet.cfg.maxEvacuatedZones(12) {
				t.Fatalf("second %d: %s has evacuated %d", second, zone, n)
			}
			if fleet.state.pair("a", zone).Status == Evacuating && before.pair("a", zone).Status != Evacuating {
				evacuations[zone]++
			}
		}
		if second%60 == 59 {
			busiestMinute, minuteBegin = max(busiestMinute, fleet.changes-minuteBegin), fleet.changes
		}
	}
	healthy := evacuations["a"] + evacuations["f"] + evacuations["g"]
	if busiestMinute > 30 || evacuations["c"] > 16 || evacuations["d"] > 5 || healthy > 0 || !fleet.isAllActive() {
		t.Errorf("%d changes in the busiest minute, evacuations %v, final state %s\n%s",
			busiestMinute, evacuations, describe(fleet.state), fleet.transcript())
	}
	t.Logf("%d changes, %d in the busiest minute, evacuations %v", fleet.changes, busiestMinute, evacuations)
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
