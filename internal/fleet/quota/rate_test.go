package quota

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever reports are lost and however the rate changes, all members together spend no more
// of a zone's rate within an epoch than half of the greatest one makes, and without a rate
// nothing.
func TestRateIsKeptByAllMembersTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "members")
		fleet := newTestFleet(n, cfg)
		zone, prior := ZoneKey("b"), make([]int, n)
		for range rapid.IntRange(1, 5).Draw(t, "epochs") {
			spent, most := 0, 0.0
			for phase := range 2 {
				period, _, end := cfg.Period(fleet.now)
				used := make([]int, n)
				for i, s := range fleet.states { // each has heard of the change, or not yet
					rate := rapid.SampledFrom([]float64{0, 2.5, 40}).Draw(t, "rate")
					most = max(most, rate)
					tokens := s.AllocateRate(fleet.now, zone, rate)
					if rate == 0 && tokens != 0 {
						t.Fatalf("%d tokens of no rate", tokens)
					}
					used[i] = rapid.IntRange(0, tokens).Draw(t, "used")
					spent += used[i]
				}
				fleet.now = end
				for i := range n {
					r := fleet.report(i, period, Usage{Endpoint: zone, Spent: used[i], PriorSpent: prior[i]})
					for _, s := range fleet.states {
						if rapid.Bool().Draw(t, "heard") {
							s.Merge(r)
						}
					}
				}
				if prior = used; phase == 1 && float64(spent) > most*cfg.Epoch.Seconds()/2+1 {
					t.Fatalf("%d spent of %g a second", spent, most)
				}
			}
		}
	})
}
