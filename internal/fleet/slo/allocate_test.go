package slo

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawn are places and wants as no rule forbids them.
func drawPlacements(t *rapid.T) ([]*placement, []regionCapacity) {
	var regions []regionCapacity
	for r := range rapid.IntRange(1, 5).Draw(t, "regions") {
		r := regionCapacity{name: fmt.Sprint("r", r), usable: rapid.IntRange(0, 4).Draw(t, "left") > 0}
		if r.usable {
			r.capacity = rapid.Float64Range(0, 100).Draw(t, "bears")
		}
		r.spare, r.headroom, r.inflowLeft = r.capacity, 0.85*r.capacity, 0.05*r.capacity
		regions = append(regions, r)
	}
	var placements []*placement
	for i := range rapid.IntRange(1, 8).Draw(t, "contracts") {
		c := &Contract{Name: fmt.Sprint("c", i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Quantile: 0.9, Target: 0.9}
		p := &placement{contract: c, ratePerThousandth: rapid.Float64Range(0, 40).Draw(t, "demand") / thousandths, maySteer: true, isDue: rapid.Bool().Draw(t, "due"), isBurning: rapid.Bool().Draw(t, "burning")}
		if rapid.IntRange(0, 3).Draw(t, "unkept") == 0 {
			p.lastUnmetReason = "bound"
		}
		weights := make([]float64, len(regions))
		for r := range regions {
			p.allowed = append(p.allowed, rapid.IntRange(0, 3).Draw(t, "allowed") > 0)
			view := regionView{verdict: verdict(rapid.IntRange(0, 2).Draw(t, "verdict")), score: rapid.Float64Range(0, 1).Draw(t, "score")}
			view.hasMargin, view.breachConfirmed = view.verdict == meets, view.verdict == breaches
			p.regionViews = append(p.regionViews, view)
			weights[r] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
		}
		p.current = apportion(thousandths, weights)
		placements = append(placements, p)
	}
	return placements, regions
}

func clonePlacements(placements []*placement, keep func(*placement) bool) (list []*placement) {
	for _, p := range placements {
		if keep(p) {
			clone := *p
			list = append(list, &clone)
		}
	}
	return list
}

// Whatever is there and wherever it may go: no region is given more than it bears, nobody
// is told to have no room where there is some, shares add up, and who merely moves moves a
// step at most.
func TestAllocationStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placements, regions := drawPlacements(t)
		ample := rapid.Bool().Draw(t, "ample")
		for r := range regions {
			if ample && regions[r].usable {
				regions[r] = regionCapacity{name: regions[r].name, usable: true, capacity: 1e6, spare: 1e6, headroom: 1e6, inflowLeft: 1e6}
			}
		}
		after := slices.Clone(regions)
		NewController(DefaultConfig()).allocate(placements, after)
		load := make([]float64, len(regions))
		for _, p := range placements {
			sum, forced, moved := 0, false, 0
			for r, region := range after {
				forced = forced || p.current[r] > 0 && !(p.allowed[r] && region.usable)
				sum += p.next[r] + p.overflow[r]
				moved += max(p.next[r]-p.current[r], 0)
				load[r] += float64(p.next[r]) * p.ratePerThousandth
			}
			if sum != thousandths {
				t.Fatalf("%s: shares add up to %d", p.contract.Name, sum)
			}
			if ample && !forced && moved > 100 {
				t.Fatalf("%s: %d thousandths moved at once", p.contract.Name, moved)
			}
			if ample && len(p.rankedRegions(regions)) > 0 && slices.Max(p.overflow) > 0 {
				t.Fatalf("%s: %v have no room where there is room for all", p.contract.Name, p.overflow)
			}
		}
		for r, region := range regions {
			if load[r] > region.capacity*(1+1e-6)+1e-6 {
				t.Fatalf("%s bears %.3f and is given %.3f", region.name, region.capacity, load[r])
			}
		}
	})
}

// What a contract gets does not depend on any of less priority, and what is kept not on
// what can't be.
func TestLowerPriorityTakesNothingFromHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placements, regions := drawPlacements(t)
		lowest := rapid.IntRange(0, 2).Draw(t, "least")
		higher := func(p *placement) bool { return p.lastUnmetReason == "" && p.contract.Priority <= lowest }
		all, some := clonePlacements(placements, func(*placement) bool { return true }), clonePlacements(placements, higher)
		controller := NewController(DefaultConfig())
		controller.allocate(all, slices.Clone(regions))
		controller.allocate(some, slices.Clone(regions))
		for i, p := range clonePlacements(all, higher) {
			if !slices.Equal(p.next, some[i].next) || !slices.Equal(p.overflow, some[i].overflow) {
				t.Fatalf("%s gets %v beside the others and %v without", p.contract.Name, p.next, some[i].next)
			}
		}
	})
}
