package zonestatus

import (
	"math"
	"reflect"
	"strings"
	"testing"
)

func evacuating(from, to string) PairStatus {
	return PairStatus{From: from, To: to, Status: Evacuating, Failures: 1, ChangedAt: 2000}
}

// recovering is zone c as observed from a, at a step of its recovery.
func recovering(step int, share, rate float64) PairStatus {
	return PairStatus{
		From: "a", To: "c", Status: Recovering, Step: step, Share: share, Rate: rate, ChangedAt: 3000, Failures: 1,
	}
}

// firstStepAfterHold begins the recovery of zone b, which is held back until 9000.
func firstStepAfterHold(changedAt int64) PairStatus {
	return PairStatus{
		From: "a", To: "b", Status: Recovering, Step: 1, Share: 0.05, Rate: 9, ChangedAt: changedAt, Failures: 2,
	}
}

// Whoever applies a change accepts or rejects it alike, so a false leader can do no more than
// this allows.
func TestApplyAcceptsAndRejectsChanges(t *testing.T) {
	cfg := Config{Zones: []string{"a", "b", "c", "d"}}
	base := State{Version: 7, Zones: cfg.Zones, Pairs: []PairStatus{
		{From: "a", To: "b", Status: HeldBack, ChangedAt: 1000, HeldUntil: 9000, Failures: 2},
		{From: "a", To: "c", Status: Recovering, Step: 2, Share: 0.15, Rate: 9, ChangedAt: 1000, Failures: 1},
	}}
	set := func(pairs ...PairStatus) Change { return Change{BaseVersion: 7, Zones: cfg.Zones, Set: pairs} }
	with := func(edit func(c *Change)) Change {
		change := set(evacuating("b", "c"))
		edit(&change)
		return change
	}
	for _, tt := range []struct {
		name, err string
		change    Change
	}{
		{"one more is evacuated elsewhere", "", set(evacuating("b", "c"), evacuating("c", "c"))},
		{"up a step", "", set(recovering(3, 0.35, 9))},
		{"the hold is over", "", set(firstStepAfterHold(9000))},
		{"another base", "decided on version 6", with(func(c *Change) { c.BaseVersion = 6 })},
		{"nothing", "changes nothing", set()},
		{"the third of four", "left 3 of 4 zones, at most 2", set(evacuating("a", "d"))},
		{"three at once", "left 3 of 4 zones", set(evacuating("b", "a"), evacuating("b", "c"), evacuating("b", "d"))},
		{"two steps up", "step 4 can't follow step 2", set(recovering(4, 0.7, 9))},
		{"all at once", "one step after step 2", set(PairStatus{From: "a", To: "c", Share: 1, Failures: 1})},
		{"active from held back", "open can't follow held", set(PairStatus{From: "a", To: "b", Share: 1})},
		{"before the hold is over", "held until 9000", set(firstStepAfterHold(8999))},
		{"more than the step's share", "more than step 3 allows", set(recovering(3, 0.5, 9))},
		{"no rate", "rate 0", set(recovering(3, 0.3, 0))},
		{"no number", "share NaN", set(PairStatus{From: "b", To: "c", Share: math.NaN()})},
		{"active with nothing", "share 0, but it is open", set(PairStatus{From: "b", To: "c"})},
		{"evacuated and yet sent to", "share 1, but it is leaving",
			set(PairStatus{From: "b", To: "c", Status: Evacuating, Share: 1, Failures: 1})},
		{"unknown status", "posture 9 is not known", set(PairStatus{From: "b", To: "c", Status: 9})},
		{"out of order", "out of order", set(evacuating("c", "c"), evacuating("b", "c"))},
		{"a stranger", "not among the change's zones", set(evacuating("b", "e"))},
		{"strangers to make it look few", "none of fleet.zones.zones",
			with(func(c *Change) { c.Zones = append(c.Zones[:4:4], "e") })},
		{"a zone that is named is not listed", "not among", with(func(c *Change) {
			c.Set = []PairStatus{evacuating("b", "d")}
			c.Zones = []string{"b", "c", "d"}
		})},
		{"no share at all", "over 1 is outside", with(func(c *Change) { c.Shed = 1 })},
	} {
		before := base.TrafficLimits("a")
		next, err := base.Apply(cfg, tt.change)
		switch {
		case tt.err == "" && (err != nil || next.Version != 8):
			t.Errorf("%s: version %d, %v", tt.name, next.Version, err)
		case tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err) || next.Version != 7):
			t.Errorf("%s: %v, version %d", tt.name, err, next.Version)
		case !reflect.DeepEqual(before, base.TrafficLimits("a")):
			t.Errorf("%s: the state before was changed", tt.name)
		}
	}
	want := []TrafficLimit{{Zone: "b"}, {Zone: "c", Share: 0.15, Rate: 9}}
	if got := base.TrafficLimits("a"); !reflect.DeepEqual(got, want) {
		t.Errorf("traffic limits %+v", got)
	}
}
