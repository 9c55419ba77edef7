package zonestatus

import (
	"strings"
	"testing"
	"time"
)

// evacuatedAfter evaluates the reports of the only member of zone a every 100 ms for the duration
// d. It returns the names of the zones that are evacuated at the end.
func (f *testFleet) evacuatedAfter(c *IsolatedController, d time.Duration, state State) (names string) {
	var limits []TrafficLimit
	for end := f.now + d; f.now < end; {
		f.now += 100 * time.Millisecond
		limits = c.Evaluate(f.now, state, f.report(Member{Name: "a0", Zone: "a"}))
	}
	for _, limit := range limits {
		if limit.Share == 0 {
			names += limit.Zone
		}
	}
	return names
}

// An isolated member must evacuate at most one zone more than the committed state, never its own
// zone, and none while it reaches hardly any zone. The zone must recover by ramp steps, or at once
// when the member receives a new version of the state.
func TestIsolatedControllerEvacuatesOneZone(t *testing.T) {
	committed := State{
		Version: 3,
		Zones:   []string{"a", "b", "c", "d", "e"},
		Pairs:   []PairStatus{{From: "a", To: "b", Status: Evacuated, Failures: 1}},
	}
	for _, tt := range []struct {
		name        string
		guards      Guards
		unavailable string
		want        string
	}{
		{"nothing", Guards{}, "", "b"},
		{"one more zone", Guards{}, "c", "bc"},
		{"two more zones: only one is evacuated", Guards{}, "cd", "bc"},
		{"its own zone", Guards{}, "a", "b"},
		{"hardly any zone is reached", Guards{}, "bcde", "b"},
		{"hardly any zone is reached, guard disabled", Guards{ReporterConnectivity: true}, "bcde", "bc"},
	} {
		fleet := newTestFleet(t, 5, 1)
		fleet.state = committed
		fleet.failing = func(_, to string, _ int) float64 { return indicator(strings.Contains(tt.unavailable, to)) }
		controller := NewIsolatedController(fleet.cfg)
		controller.DisabledGuards = tt.guards
		if got := fleet.evacuatedAfter(controller, 3*time.Second, committed); got != tt.want {
			t.Errorf("%s: evacuated %s, want %s", tt.name, got, tt.want)
		}
		received := committed
		received.Version++
		if got := fleet.evacuatedAfter(controller, 100*time.Millisecond, received); got != "b" {
			t.Errorf("%s: evacuated %s after a new version was received", tt.name, got)
		}
		fleet.failing = func(string, string, int) float64 { return 0 }
		if got := fleet.evacuatedAfter(controller, 30*time.Second, committed); got != "b" {
			t.Errorf("%s: evacuated %s after all zones recovered", tt.name, got)
		}
	}
}
