package slo

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawRegions(t *rapid.T) (regions []regionCapacity) {
	for i := range rapid.IntRange(1, 5).Draw(t, "regions") {
		r := regionCapacity{name: fmt.Sprint("r", i), usable: rapid.IntRange(0, 4).Draw(t, "left") > 0}
		if r.usable {
			r.capacity = rapid.Float64Range(0, 100).Draw(t, "bears")
		}
		r.spare, r.headroom, r.inflowLeft = r.capacity, 0.85*r.capacity, 0.05*r.capacity
		regions = append(regions, r)
	}
	return regions
}

func drawPlacement(t *rapid.T, name string, regions int) *placement {
	p := &placement{
		contract: &Contract{
			Name:     name,
			Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
			Quantile: 0.9,
			Target:   0.9,
		},
		ratePerThousandth: rapid.Float64Range(0, 40).Draw(t, "demand") / thousandths,
		maySteer:          true,
		isDue:             rapid.Bool().Draw(t, "due"),
		isBurning:         rapid.Bool().Draw(t, "burning"),
	}
	if rapid.IntRange(0, 3).Draw(t, "unkept") == 0 {
		p.lastUnmetReason = "bound"
	}
	weights := make([]float64, regions)
	for r := range weights {
		p.allowed = append(p.allowed, rapid.IntRange(0, 3).Draw(t, "allowed") > 0)
		view := regionView{
			verdict: verdict(rapid.IntRange(0, 2).Draw(t, "verdict")),
			score:   rapid.Float64Range(0, 1).Draw(t, "score"),
		}
		view.hasMargin, view.breachConfirmed = view.verdict == meets, view.verdict == breaches
		p.regionViews = append(p.regionViews, view)
		weights[r] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
	}
	p.current = apportion(thousandths, weights)
	return p
}

// drawPlacements draws arbitrary valid regions and placements.
func drawPlacements(t *rapid.T) (placements []*placement, regions []regionCapacity) {
	regions = drawRegions(t)
	for i := range rapid.IntRange(1, 8).Draw(t, "contracts") {
		placements = append(placements, drawPlacement(t, fmt.Sprint("c", i), len(regions)))
	}
	return placements, regions
}

func clonePlacements(placements []*placement, keep func(*placement) bool) (clones []*placement) {
	for _, p := range placements {
		if keep(p) {
			clone := *p
			clones = append(clones, &clone)
		}
	}
	return clones
}

// checkPlacement checks that the shares add up. If capacity is ample, it also checks that nothing
// overflows and that no more than one step is moved, unless a current region can't be used.
func checkPlacement(t *rapid.T, p *placement, regions []regionCapacity, ample bool) {
	sum, forced, moved := 0, false, 0
	for r, region := range regions {
		forced = forced || p.current[r] > 0 && (!p.allowed[r] || !region.usable)
		sum += p.next[r] + p.overflow[r]
		moved += max(p.next[r]-p.current[r], 0)
	}
	if sum != thousandths {
		t.Fatalf("%s: shares add up to %d", p.contract.Name, sum)
	}
	if ample && !forced && moved > 100 {
		t.Fatalf("%s: %d thousandths moved at once", p.contract.Name, moved)
	}
	if ample && len(p.rankedRegions(regions)) > 0 && slices.Max(p.overflow) > 0 {
		t.Fatalf("%s: %v overflows despite ample capacity", p.contract.Name, p.overflow)
	}
}

// For arbitrary regions and placements, no region may be given more than its capacity, and the
// checks of checkPlacement must hold.
func TestAllocationStaysWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placements, regions := drawPlacements(t)
		ample := rapid.Bool().Draw(t, "ample")
		for r := range regions {
			if ample && regions[r].usable {
				regions[r] = regionCapacity{
					name: regions[r].name, usable: true, capacity: 1e6, spare: 1e6, headroom: 1e6, inflowLeft: 1e6,
				}
			}
		}
		after := slices.Clone(regions)
		NewController(DefaultConfig()).allocate(placements, after)
		load := make([]float64, len(regions))
		for _, p := range placements {
			checkPlacement(t, p, after, ample)
			for r := range regions {
				load[r] += float64(p.next[r]) * p.ratePerThousandth
			}
		}
		for r, region := range regions {
			if load[r] > region.capacity*(1+1e-6)+1e-6 {
				t.Fatalf("%s: capacity %.3f, allocated %.3f", region.name, region.capacity, load[r])
			}
		}
	})
}

// The allocation of a contract must not depend on contracts of lower priority. The allocation of a
// contract whose objective can be met must not depend on those whose objective can't be met.
func TestLowerPriorityTakesNothingFromHigher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		placements, regions := drawPlacements(t)
		lowest := rapid.IntRange(0, 2).Draw(t, "least")
		isHigher := func(p *placement) bool { return p.lastUnmetReason == "" && p.contract.Priority <= lowest }
		all := clonePlacements(placements, func(*placement) bool { return true })
		some := clonePlacements(placements, isHigher)
		controller := NewController(DefaultConfig())
		controller.allocate(all, slices.Clone(regions))
		controller.allocate(some, slices.Clone(regions))
		for i, p := range clonePlacements(all, isHigher) {
			if !slices.Equal(p.next, some[i].next) || !slices.Equal(p.overflow, some[i].overflow) {
				t.Fatalf("%s: %v with the others, %v without", p.contract.Name, p.next, some[i].next)
			}
		}
	})
}
