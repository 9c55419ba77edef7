package slo

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// drawn are places and wants as no rule forbids them.
func drawn(t *rapid.T) ([]*want, []place) {
	var places []place
	for r := range rapid.IntRange(1, 5).Draw(t, "regions") {
		p := place{name: fmt.Sprint("r", r), usable: rapid.IntRange(0, 4).Draw(t, "left") > 0}
		if p.usable {
			p.all = rapid.Float64Range(0, 100).Draw(t, "bears")
		}
		p.room, p.fill, p.inflow = p.all, 0.85*p.all, 0.05*p.all
		places = append(places, p)
	}
	var wants []*want
	for i := range rapid.IntRange(1, 8).Draw(t, "contracts") {
		c := &Contract{Name: fmt.Sprint("c", i), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Quantile: 0.9, Target: 0.9}
		w := &want{contract: c, unit: rapid.Float64Range(0, 40).Draw(t, "demand") / mille, free: true, due: rapid.Bool().Draw(t, "due"), burning: rapid.Bool().Draw(t, "burning")}
		if rapid.IntRange(0, 3).Draw(t, "unkept") == 0 {
			w.lastUnkept = "bound"
		}
		weights := make([]float64, len(places))
		for r := range places {
			w.allowed = append(w.allowed, rapid.IntRange(0, 3).Draw(t, "allowed") > 0)
			v := view{verdict: verdict(rapid.IntRange(0, 2).Draw(t, "verdict")), score: rapid.Float64Range(0, 1).Draw(t, "score")}
			v.roomy, v.ripe = v.verdict == keeps, v.verdict == breaks
			w.views = append(w.views, v)
			weights[r] = rapid.Float64Range(0.01, 1).Draw(t, "weight")
		}
		w.cur = spread(mille, weights)
		wants = append(wants, w)
	}
	return wants, places
}

func again(wants []*want, keep func(*want) bool) (list []*want) {
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
func TestWithinWhatRegionsBear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants, places := drawn(t)
		ample := rapid.Bool().Draw(t, "ample")
		for r := range places {
			if ample && places[r].usable {
				places[r] = place{name: places[r].name, usable: true, all: 1e6, room: 1e6, fill: 1e6, inflow: 1e6}
			}
		}
		after := slices.Clone(places)
		NewController(DefaultConfig()).allocate(wants, after)
		load := make([]float64, len(places))
		for _, w := range wants {
			sum, forced, moved := 0, false, 0
			for r, p := range after {
				forced = forced || w.cur[r] > 0 && !(w.allowed[r] && p.usable)
				sum += w.next[r] + w.over[r]
				moved += max(w.next[r]-w.cur[r], 0)
				load[r] += float64(w.next[r]) * w.unit
			}
			if sum != mille {
				t.Fatalf("%s: shares add up to %d", w.contract.Name, sum)
			}
			if ample && !forced && moved > 100 {
				t.Fatalf("%s: %d thousandths moved at once", w.contract.Name, moved)
			}
			if ample && len(w.by(places)) > 0 && slices.Max(w.over) > 0 {
				t.Fatalf("%s: %v have no room where there is room for all", w.contract.Name, w.over)
			}
		}
		for r, p := range places {
			if load[r] > p.all*(1+1e-6)+1e-6 {
				t.Fatalf("%s bears %.3f and is given %.3f", p.name, p.all, load[r])
			}
		}
	})
}

// What a contract gets does not depend on any of less priority, and what is kept not on
// what can't be.
func TestPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		wants, places := drawn(t)
		least := rapid.IntRange(0, 2).Draw(t, "least")
		higher := func(w *want) bool { return w.lastUnkept == "" && w.contract.Priority <= least }
		all, some := again(wants, func(*want) bool { return true }), again(wants, higher)
		st := NewController(DefaultConfig())
		st.allocate(all, slices.Clone(places))
		st.allocate(some, slices.Clone(places))
		for i, w := range again(all, higher) {
			if !slices.Equal(w.next, some[i].next) || !slices.Equal(w.over, some[i].over) {
				t.Fatalf("%s gets %v beside the others and %v without", w.contract.Name, w.next, some[i].next)
			}
		}
	})
}
