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

// recovering is the pair from a to c at a step of its recovery ramp.
func recovering(step int, share, rate float64) PairStatus {
	return PairStatus{
		From: "a", To: "c", Status: Recovering, Step: step, Share: share, Rate: rate, ChangedAt: 3000, Failures: 1,
	}
}

// firstStepAfterHold starts the recovery of zone b, which is held back until 9000.
func firstStepAfterHold(changedAt int64) PairStatus {
	return PairStatus{
		From: "a", To: "b", Status: Recovering, Step: 1, Share: 0.05, Rate: 9, ChangedAt: changedAt, Failures: 2,
	}
}

// Every member accepts or rejects a change in the same way, so a false leader cannot make a change
// that Apply rejects.
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
		{"evacuations by other observing zones", "", set(evacuating("b", "c"), evacuating("c", "c"))},
		{"next step", "", set(recovering(3, 0.35, 9))},
		{"the hold is over", "", set(firstStepAfterHold(9000))},
		{"different base version", "decided on version 6", with(func(c *Change) { c.BaseVersion = 6 })},
		{"nothing", "changes nothing", set()},
		{"third of four zones evacuated", "left 3 of 4 zones, at most 2", set(evacuating("a", "d"))},
		{"three at once", "left 3 of 4 zones", set(evacuating("b", "a"), evacuating("b", "c"), evacuating("b", "d"))},
		{"two steps up", "step 4 can't follow step 2", set(recovering(4, 0.7, 9))},
		{"full share", "one step after step 2", set(PairStatus{From: "a", To: "c", Share: 1, Failures: 1})},
		{"active from held back", "open can't follow held", set(PairStatus{From: "a", To: "b", Share: 1})},
		{"before the hold is over", "held until 9000", set(firstStepAfterHold(8999))},
		{"more than the step's share", "more than step 3 allows", set(recovering(3, 0.5, 9))},
		{"rate is 0", "rate 0", set(recovering(3, 0.3, 0))},
		{"share is NaN", "share NaN", set(PairStatus{From: "b", To: "c", Share: math.NaN()})},
		{"active with share 0", "share 0, but it is open", set(PairStatus{From: "b", To: "c"})},
		{"evacuating with share 1", "share 1, but it is leaving",
			set(PairStatus{From: "b", To: "c", Status: Evacuating, Share: 1, Failures: 1})},
		{"unknown status", "posture 9 is not known", set(PairStatus{From: "b", To: "c", Status: 9})},
		{"out of order", "out of order", set(evacuating("c", "c"), evacuating("b", "c"))},
		{"unlisted zone", "not among the change's zones", set(evacuating("b", "e"))},
		{"unconfigured zone in the list", "none of fleet.zones.zones",
			with(func(c *Change) { c.Zones = append(c.Zones[:4:4], "e") })},
		{"zone of a recorded pair is not listed", "not among", with(func(c *Change) {
			c.Set = []PairStatus{evacuating("b", "d")}
			c.Zones = []string{"b", "c", "d"}
		})},
		{"everything is shed", "over 1 is outside", with(func(c *Change) { c.Shed = 1 })},
	} {
		before := base.TrafficLimits("a")
		next, err := base.Apply(cfg, tt.change)
		switch {
		case tt.err == "" && (err != nil || next.Version != 8):
			t.Errorf("%s: version %d, %v", tt.name, next.Version, err)
		case tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err) || next.Version != 7):
			t.Errorf("%s: %v, version %d", tt.name, err, next.Version)
		case !reflect.DeepEqual(before, base.TrafficLimits("a")):
			t.Errorf("%s: the original state was changed", tt.name)
		}
	}
	want := []TrafficLimit{{Zone: "b"}, {Zone: "c", Share: 0.15, Rate: 9}}
	if got := base.TrafficLimits("a"); !reflect.DeepEqual(got, want) {
		t.Errorf("traffic limits %+v", got)
	}
}
