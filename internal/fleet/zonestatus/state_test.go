package zonestatus

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"
)

// What the record takes, and why it does not take the rest. It is the same for whoever
// applies it, so a false leader can do no more than this allows.
func TestApplyAcceptsAndRejectsChanges(t *testing.T) {
	cfg := Config{Zones: []string{"a", "b", "c", "d"}}
	zones := cfg.Zones
	base := State{Version: 7, Zones: zones, Pairs: []PairStatus{
		{From: "a", To: "b", Status: HeldBack, ChangedAt: 1000, HeldUntil: 9000, Failures: 2},
		{From: "a", To: "c", Status: Recovering, Step: 2, Share: 0.15, Rate: 9, ChangedAt: 1000, Failures: 1},
	}}
	evacuate := func(from, to string) PairStatus {
		return PairStatus{From: from, To: to, Status: Evacuating, Failures: 1, ChangedAt: 2000}
	}
	for _, tt := range []struct {
		name, err string
		set       []PairStatus
		change    func(change *Change)
	}{
		{"one more is left elsewhere", "", []PairStatus{evacuate("b", "c"), evacuate("c", "c")}, nil},
		{"up a step", "", []PairStatus{{From: "a", To: "c", Status: Recovering, Step: 3, Share: 0.35, Rate: 9, ChangedAt: 3000, Failures: 1}}, nil},
		{"the hold is over", "", []PairStatus{{From: "a", To: "b", Status: Recovering, Step: 1, Share: 0.05, Rate: 9, ChangedAt: 9000, Failures: 2}}, nil},
		{"another base", "decided on version 6", []PairStatus{evacuate("b", "c")}, func(change *Change) { change.BaseVersion = 6 }},
		{"nothing", "changes nothing", nil, nil},
		{"the third of four", "left 3 of 4 zones, at most 2", []PairStatus{evacuate("a", "d")}, nil},
		{"three at once", "left 3 of 4 zones", []PairStatus{evacuate("b", "a"), evacuate("b", "c"), evacuate("b", "d")}, nil},
		{"two steps up", "step 4 can't follow step 2", []PairStatus{{From: "a", To: "c", Status: Recovering, Step: 4, Share: 0.7, Rate: 9, Failures: 1}}, nil},
		{"all at once", "one step after step 2", []PairStatus{{From: "a", To: "c", Share: 1, Failures: 1}}, nil},
		{"open from held", "open can't follow held", []PairStatus{{From: "a", To: "b", Share: 1}}, nil},
		{"before the hold is over", "held until 9000", []PairStatus{{From: "a", To: "b", Status: Recovering, Step: 1, Share: 0.05, Rate: 9, ChangedAt: 8999, Failures: 2}}, nil},
		{"more than the step's share", "more than step 3 allows", []PairStatus{{From: "a", To: "c", Status: Recovering, Step: 3, Share: 0.5, Rate: 9, Failures: 1}}, nil},
		{"no rate", "rate 0", []PairStatus{{From: "a", To: "c", Status: Recovering, Step: 3, Share: 0.3, Failures: 1}}, nil},
		{"no number", "share NaN", []PairStatus{{From: "b", To: "c", Share: math.NaN()}}, nil},
		{"open with nothing", "share 0, but it is open", []PairStatus{{From: "b", To: "c"}}, nil},
		{"left and yet sent to", "share 1, but it is leaving", []PairStatus{{From: "b", To: "c", Status: Evacuating, Share: 1, Failures: 1}}, nil},
		{"unknown posture", "posture 9 is not known", []PairStatus{{From: "b", To: "c", Status: 9}}, nil},
		{"out of order", "out of order", []PairStatus{evacuate("c", "c"), evacuate("b", "c")}, nil},
		{"a stranger", "not among the change's zones", []PairStatus{evacuate("b", "e")}, nil},
		{"strangers to make it look few", "none of fleet.zones.zones", []PairStatus{evacuate("b", "c")}, func(change *Change) { change.Zones = append(zones[:4:4], "e") }},
		{"a zone that is named is not listed", "not among", []PairStatus{evacuate("b", "d")}, func(change *Change) { change.Zones = []string{"b", "c", "d"} }},
		{"no share at all", "over 1 is outside", []PairStatus{evacuate("b", "c")}, func(change *Change) { change.Shed = 1 }},
	} {
		change := Change{BaseVersion: 7, Zones: zones, Set: tt.set}
		if tt.change != nil {
			tt.change(&change)
		}
		before := base.TrafficLimits("a")
		next, err := base.Apply(cfg, change)
		switch {
		case tt.err == "" && (err != nil || next.Version != 8):
			t.Errorf("%s: version %d, %v", tt.name, next.Version, err)
		case tt.err != "" && (err == nil || !strings.Contains(err.Error(), tt.err) || next.Version != 7):
			t.Errorf("%s: %v, version %d", tt.name, err, next.Version)
		case !reflect.DeepEqual(before, base.TrafficLimits("a")):
			t.Errorf("%s: the state before was changed", tt.name)
		}
	}
	if got := base.TrafficLimits("a"); !reflect.DeepEqual(got, []TrafficLimit{{Zone: "b"}, {Zone: "c", Share: 0.15, Rate: 9}}) {
		t.Errorf("bounds %+v", got)
	}
}

func TestValidateNamesInvalidKey(t *testing.T) {
	for key, c := range map[string]Config{
		"":                           {},
		"fleet.zones.fresh":          {ReportTTL: time.Millisecond},
		"fleet.zones.holdMost":       {BaseHoldInterval: time.Minute, MaxHoldInterval: time.Second},
		"fleet.zones.quiet":          {FailureResetInterval: time.Second},
		"fleet.zones.most":           {MaxEvacuatedFraction: 1},
		"fleet.zones.steps":          {RampSteps: []float64{0.5, 0.2}},
		"fleet.zones.zones":          {Zones: []string{"a", "a"}},
		"fleet.zones.regions.y":      {Regions: map[string][]string{"x": {"a"}, "y": {"a"}}},
		"fleet.zones.regions.x":      {Regions: map[string][]string{"x": {"b"}}, Zones: []string{"a"}},
		"fleet.zones.cold: NaN":      {ColdCapacityFraction: math.NaN()},
		"fleet.zones.bears: -1":      {EndpointSetupRate: -1},
		"fleet.zones.regions.: a re": {Regions: map[string][]string{"": {"a"}}},
	} {
		if err := c.Validate(); (key == "") != (err == nil) || err != nil && !strings.HasPrefix(err.Error(), key) {
			t.Errorf("%q: %v", key, err)
		}
	}
}

// A member that hears nobody adds one zone to what the record says, never its own, and
// nothing while it reaches hardly anybody; it comes back by steps, or when it hears.
func TestIsolatedControllerEvacuatesOneZone(t *testing.T) {
	record := State{Version: 3, Zones: []string{"a", "b", "c", "d", "e"}, Pairs: []PairStatus{{From: "a", To: "b", Status: Evacuated, Failures: 1}}}
	for _, tt := range []struct {
		name   string
		guards Guards
		lost   string
		want   string
	}{
		{"nothing", Guards{}, "", "b"},
		{"one more", Guards{}, "c", "bc"},
		{"two more: one", Guards{}, "cd", "bc"},
		{"its own", Guards{}, "a", "b"},
		{"hardly anybody", Guards{}, "bcde", "b"},
		{"hardly anybody, believed", Guards{ReporterConnectivity: true}, "bcde", "bc"},
	} {
		fleet := newTestFleet(t, 5, 1)
		fleet.state = record
		fleet.failing = func(_, to string, _ int) float64 { return indicator(strings.Contains(tt.lost, to)) }
		controller := NewIsolatedController(fleet.cfg)
		controller.DisabledGuards = tt.guards
		evacuatedAfter := func(d time.Duration, s State) (names string) {
			var limits []TrafficLimit
			for end := fleet.now + d; fleet.now < end; {
				fleet.now += 100 * time.Millisecond
				limits = controller.Evaluate(fleet.now, s, fleet.report(Member{Name: "a0", Zone: "a"}))
			}
			for _, b := range limits {
				if b.Share == 0 {
					names += b.Zone
				}
			}
			return names
		}
		if got := evacuatedAfter(3*time.Second, record); got != tt.want {
			t.Errorf("%s: left %s, want %s", tt.name, got, tt.want)
		}
		heard := record
		heard.Version++
		if got := evacuatedAfter(100*time.Millisecond, heard); got != "b" {
			t.Errorf("%s: left %s once it hears", tt.name, got)
		}
		fleet.failing = func(string, string, int) float64 { return 0 }
		if got := evacuatedAfter(30*time.Second, record); got != "b" {
			t.Errorf("%s: left %s after all is well", tt.name, got)
		}
	}
}
