package zonestatus

import (
	"strings"
	"testing"
	"time"
)

const bEvacuatedByAll = "a>b:left, b>b:left, c>b:left"

// failLinks makes zones unavailable as observed from single other zones: "ab" is b as observed
// from a.
func failLinks(links ...string) func(from, to string, member int) float64 {
	all := strings.Join(links, " ")
	return func(from, to string, _ int) float64 { return indicator(strings.Contains(all, from+to)) }
}

// evacuationCases are faults in a fleet of three zones with three members each, with the expected
// state, number of changes and shed fraction. The changes are decided within 0.6 s of the first
// evidence and completed 0.6 s later.
var evacuationCases = []struct {
	name    string
	inject  func(f *testFleet)
	want    string
	changes int
	shed    float64
}{
	{"no fault", func(*testFleet) {}, "", 0, 0},
	{"one zone fails as observed from all", func(f *testFleet) { f.fail(1, "b") }, bEvacuatedByAll, 2, 0},
	{"two of three zones fail", func(f *testFleet) { f.fail(1, "b", "c") },
		"a>b:left, a>c:left, b>b:left, b>c:left, c>b:left, c>c:left", 2, 0.1},
	{"all zones fail: the last one is kept", func(f *testFleet) { f.fail(1, "a", "b", "c") },
		"a>a:suspect, a>b:left, a>c:left, b>a:left, b>b:suspect, b>c:left, c>a:left, c>b:left, c>c:suspect", 2, 0.7},
	{"one link fails", func(f *testFleet) { f.failing = failLinks("ab") }, "a>b:left", 2, 0},
	{"one zone is isolated and observes the others as failing", func(f *testFleet) {
		f.failing = failLinks("ab", "ac")
	}, "", 0, 0},
	{"one zone is isolated in both directions: only it is evacuated", func(f *testFleet) {
		f.failing = failLinks("ab", "ac", "ba", "ca")
	}, "b>a:left, c>a:left", 2, 0},
	{"one member is isolated", func(f *testFleet) {
		f.failing = func(from, _ string, m int) float64 { return indicator(from == "a" && m == 0) }
	}, "", 0, 0},
	{"one member of each zone is a false reporter", func(f *testFleet) {
		f.failing = func(_, to string, m int) float64 { return indicator(to == "b" && m == 0) }
	}, "", 0, 0},
	{"two of five members of each zone are false reporters", func(f *testFleet) {
		f.membersPerZone = 5
		f.failing = func(_, to string, m int) float64 { return indicator(to == "b" && m < 2) }
	}, "", 0, 0},
	{"the agents of one zone are silent", func(f *testFleet) {
		f.isSilent = func(m string) bool { return m[0] == 'b' }
	}, "", 0, 0},
	{"the agents of a failing zone are silent: it follows the others", func(f *testFleet) {
		f.fail(1, "b")
		f.isSilent = func(m string) bool { return m[0] == 'b' }
	}, bEvacuatedByAll, 2, 0},
	{"half fails", func(f *testFleet) { f.fail(0.5, "b") }, "a>b:open 0.50, b>b:open 0.50, c>b:open 0.50", 1, 0},
	{"half fails, others are full", func(f *testFleet) { f.load = 0.84; f.fail(0.5, "b") }, "", 0, 0},
	{"half fails, others have little capacity", func(f *testFleet) { f.load = 0.7; f.fail(0.5, "b") },
		"a>b:open 0.75, b>b:open 0.75, c>b:open 0.75", 1, 0},
	{"others lack capacity", func(f *testFleet) { f.load = 0.7; f.fail(1, "b") }, bEvacuatedByAll, 2, 0.2},
	{"one zone fails, others are warming up", func(f *testFleet) {
		f.warmingUp = 4
		f.load = 0.2
		f.fail(1, "b")
	}, bEvacuatedByAll, 2, 0.15},
	{"all zones are overloaded", func(f *testFleet) { f.load = 1.2 }, "", 0, 0},
	{"expired reports", func(f *testFleet) {
		f.fail(1, "b")
		reports := f.reports()
		f.now += f.cfg.ReportTTL + f.cfg.MaxClockSkew
		f.isSilent = func(string) bool { return true }
		f.controller.Evaluate(f.now, f.state, reports, f.members())
	}, "", 0, 0},
	{"most of a region is unavailable", func(f *testFleet) {
		f.zones = []string{"a", "b", "c", "d", "e", "f"}
		f.cfg.Regions = map[string][]string{"r": {"d", "e", "f"}}
		f.controller = NewController(f.cfg)
		f.failing = failLinks("ad", "ae")
	}, "a>d:left, a>e:left, a>f:left", 2, 0},
}

func TestEvacuatesOnEvidence(t *testing.T) {
	for _, tt := range evacuationCases {
		fleet := newTestFleet(t, 3, 3)
		tt.inject(fleet)
		fleet.run(3500 * time.Millisecond)
		got := describe(fleet.state)
		if got != tt.want || fleet.changes != tt.changes || fleet.state.Shed != tt.shed {
			t.Errorf("%s:\n got %s; %d changes, %.2f shed\nwant %s; %d, %.2f\n%s",
				tt.name, got, fleet.changes, fleet.state.Shed, tt.want, tt.changes, tt.shed, fleet.transcript())
		}
	}
}

// The change must follow the first evidence within the ConfirmInterval if all zones observe the
// failure at once, and within twice the ConfirmInterval if one of them observes the zone as
// degrading; both plus one step of 100 ms.
func TestEvacuatesWithinConfirmInterval(t *testing.T) {
	for _, degrading := range []bool{false, true} {
		fleet := newTestFleet(t, 3, 2)
		fleet.run(time.Second)
		fleet.failing = func(from, to string, _ int) float64 {
			switch {
			case to != "b":
				return 0
			case degrading && from == "c":
				return 0.75
			}
			return 1
		}
		begin := fleet.now
		for fleet.state.Version == 0 && fleet.now < begin+2*time.Second {
			fleet.step(100 * time.Millisecond)
		}
		bound := fleet.cfg.ConfirmInterval + 100*time.Millisecond
		if degrading {
			bound = 2*fleet.cfg.ConfirmInterval + 100*time.Millisecond
		}
		if took := fleet.now - begin; took > bound {
			t.Errorf("degrading %v: decided after %v, want %v", degrading, took, bound)
		}
	}
}

// The shed fraction must grow with each further evacuation and follow the spare capacity of the
// remaining zones.
func TestShedsWhatRemainingZonesCannotCarry(t *testing.T) {
	fleet := newTestFleet(t, 4, 2)
	for i, tt := range []struct {
		failed  string
		load    float64
		seconds time.Duration
		shed    float64
	}{
		{"b", 0.7, 3, 0.1},
		{"b c", 0.7, 3, 0.3},
		{"b c", 0.8, 15, 0.3},
		{"b c", 1.1, 10, 0.4},
		{"b c", 0.4, 10, 0.2},
		{"b c", 0.4, 15, 0},
	} {
		fleet.load = tt.load
		fleet.fail(1, strings.Fields(tt.failed)...)
		fleet.run(tt.seconds * time.Second)
		if fleet.state.Shed != tt.shed {
			t.Errorf("%d: %.2f shed, want %.2f\n%s", i, fleet.state.Shed, tt.shed, fleet.transcript())
		}
	}
}
