package slo

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawn are places and wants as no rule forbids them.
func drawPlacements(t *rapid.T) ([]*placement, []regionCapacity) {
	var places []regionCapacity
	for r := range rapid.IntRange(1, 5).Draw(t, "regions") {
		p := regionCapacity{name: fmt.Sprint("r", r), usable: rapid.IntRange(0, 4).Draw(t, "left") > 0}
		if p.usable {
			p.capacity = rapid.Float64Range(0, 100).Draw(t, "bears")
		}
		p.spare, p.headroom, p.inflowLeft = p.capacity, 0.85*p.capacity, 0.05*p.capacity
		places = append(places, p)
	}
	var wants []*placement
	for i := range rapid.IntRange(1, 8).Draw(t, "contracts") {
		c := &Contract{Name: fmt.Sprint("c", i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Quantile: 0.9, Target: 0.9}
		w := &placement{contract: c, ratePerThousandth: rapid.Float64Range(0, 40).Draw(t, "demand") / thousandths, maySteer: true, isDue: rapid.Bool().Draw(t, "due"), isBurning: rapid.Bool().Draw(t, "burning")}
		if rapid.IntRange(0, 3).Draw(t, "unkept") == 0 {
			w.lastUnmetReason = "bound"
		}
		weights := make([]float64, len(places))
		for r := range places {
			w.allowed = append(w.allowed, rapid.IntRange(0, 3).Draw(t, "allowed") > 0)
			v := regionView{verdict: verdict(rapid.IntRange(0, 2).Draw(t, "verdict")), score: rapid.Float64Range(0, 1).Draw(t, "score")}
			v.hasMargin, v.breachConfirmed = v.verdict == meets, v.verdict == breaches
			w.regionViews = append(w.regionViews, v)
			weights[r] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
		}
		w.current = apportion(thousandths, weights)
		wants = append(wants, w)
	}
	return wants, places
}

func clonePlacements(wants []*placement, keep func(*placement) bool) (list []*placement) {
	for _, w := range wants {
		if keep(w) {
			n := *w
			list = append(list, &n)
		}
	}
	return list
}

// Whatever is there and wherever it may go: no region is given more than it bears, nobody
// is told to have no room where there is some, shares add up, and who merely moves moves a
// step at most.
func TestAllocationStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants, places := drawPlacements(t)
		ample := rapid.Bool().Draw(t, "ample")
		for r := range places {
			if ample && places[r].usable {
				places[r] = regionCapacity{name: places[r].name, usable: true, capacity: 1e6, spare: 1e6, headroom: 1e6, inflowLeft: 1e6}
			}
		}
		after := slices.Clone(places)
		NewController(DefaultConfig()).allocate(wants, after)
		load := make([]float64, len(places))
		for _, w := range wants {
			sum, forced, moved := 0, false, 0
			for r, p := range after {
				forced = forced || w.current[r] > 0 && !(w.allowed[r] && p.usable)
				sum += w.next[r] + w.overflow[r]
				moved += max(w.next[r]-w.current[r], 0)
				load[r] += float64(w.next[r]) * w.ratePerThousandth
			}
			if sum != thousandths {
				t.Fatalf("%s: shares add up to %d", w.contract.Name, sum)
			}
			if ample && !forced && moved > 100 {
				t.Fatalf("%s: %d thousandths moved at once", w.contract.Name, moved)
			}
			if ample && len(w.rankedRegions(places)) > 0 && slices.Max(w.overflow) > 0 {
				t.Fatalf("%s: %v have no room where there is room for all", w.contract.Name, w.overflow)
			}
		}
		for r, p := range places {
			if load[r] > p.capacity*(1+1e-6)+1e-6 {
				t.Fatalf("%s bears %.3f and is given %.3f", p.name, p.capacity, load[r])
			}
		}
	})
}

// What a contract gets does not depend on any of less priority, and what is kept not on
// what can't be.
func TestLowerPriorityTakesNothingFromHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants, places := drawPlacements(t)
		least := rapid.IntRange(0, 2).Draw(t, "least")
		higher := func(w *placement) bool { return w.lastUnmetReason == "" && w.contract.Priority <= least }
		all, some := clonePlacements(wants, func(*placement) bool { return true }), clonePlacements(wants, higher)
		st := NewController(DefaultConfig())
		st.allocate(all, slices.Clone(places))
		st.allocate(some, slices.Clone(places))
		for i, w := range clonePlacements(all, higher) {
			if !slices.Equal(w.next, some[i].next) || !slices.Equal(w.overflow, some[i].overflow) {
				t.Fatalf("%s gets %v beside the others and %v without", w.contract.Name, w.next, some[i].next)
			}
		}
	})
}
