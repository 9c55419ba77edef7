package zonestatus

import (
	"strings"
	"testing"
	"time"
)

const bEvacuatedByAll = "a>b:left, b>b:left, c>b:left"

// What is decided within 0.6 s of evidence, and that it is settled 0.6 s later.
func TestEvacuatesOnEvidence(t *testing.T) {
	pairs := func(cut ...string) func(string, string, int) float64 {
		all := strings.Join(cut, " ")
		return func(from, to string, _ int) float64 { return indicator(strings.Contains(all, from+to)) }
	}
	for _, tt := range []struct {
		name    string
		do      func(fleet *testFleet)
		want    string
		changes int
		over    float64
	}{
		{"nothing", func(*testFleet) {}, "", 0, 0},
		{"its servers fail for everybody", func(fleet *testFleet) { fleet.fail(1, "b") }, bEvacuatedByAll, 2, 0},
		{"two of three", func(fleet *testFleet) { fleet.fail(1, "b", "c") },
			"a>b:left, a>c:left, b>b:left, b>c:left, c>b:left, c>c:left", 2, 0.1},
		{"all: the last is kept", func(fleet *testFleet) { fleet.fail(1, "a", "b", "c") },
			"a>a:suspect, a>b:left, a>c:left, b>a:left, b>b:suspect, b>c:left, c>a:left, c>b:left, c>c:suspect", 2, 0.7},
		{"only one link", func(fleet *testFleet) { fleet.failing = pairs("ab") }, "a>b:left", 2, 0},
		{"one zone is cut off, and sees the others fail", func(fleet *testFleet) { fleet.failing = pairs("ab", "ac") }, "", 0, 0},
		{"cut off both ways: it is left, and blames nobody", func(fleet *testFleet) { fleet.failing = pairs("ab", "ac", "ba", "ca") },
			"b>a:left, c>a:left", 2, 0},
		{"one member sees nobody", func(fleet *testFleet) {
			fleet.failing = func(from, _ string, m int) float64 { return indicator(from == "a" && m == 0) }
		}, "", 0, 0},
		{"one member of each lies about one zone", func(fleet *testFleet) {
			fleet.failing = func(_, to string, m int) float64 { return indicator(to == "b" && m == 0) }
		}, "", 0, 0},
		{"two of five in each lie", func(fleet *testFleet) {
			fleet.membersPerZone = 5
			fleet.failing = func(_, to string, m int) float64 { return indicator(to == "b" && m < 2) }
		}, "", 0, 0},
		{"its agents are gone", func(fleet *testFleet) { fleet.isSilent = func(m string) bool { return m[0] == 'b' } }, "", 0, 0},
		{"its agents are gone with its servers: it follows", func(fleet *testFleet) {
			fleet.fail(1, "b")
			fleet.isSilent = func(m string) bool { return m[0] == 'b' }
		}, bEvacuatedByAll, 2, 0},
		{"half of it", func(fleet *testFleet) { fleet.fail(0.5, "b") }, "a>b:open 0.50, b>b:open 0.50, c>b:open 0.50", 1, 0},
		{"half of it, and the others are full", func(fleet *testFleet) { fleet.load = 0.84; fleet.fail(0.5, "b") }, "", 0, 0},
		{"half of it, and the others have little room", func(fleet *testFleet) { fleet.load = 0.7; fleet.fail(0.5, "b") },
			"a>b:open 0.75, b>b:open 0.75, c>b:open 0.75", 1, 0},
		{"the others can't carry it", func(fleet *testFleet) { fleet.load = 0.7; fleet.fail(1, "b") }, bEvacuatedByAll, 2, 0.2},
		{"the others are cold", func(fleet *testFleet) { fleet.warmingUp = 4; fleet.load = 0.2; fleet.fail(1, "b") }, bEvacuatedByAll, 2, 0.15},
		{"slow and full", func(fleet *testFleet) { fleet.load = 1.2 }, "", 0, 0},
		{"old words", func(fleet *testFleet) {
			fleet.fail(1, "b")
			reports := fleet.reports()
			fleet.now += fleet.cfg.ReportTTL + fleet.cfg.MaxClockSkew
			fleet.isSilent = func(string) bool { return true }
			fleet.controller.Evaluate(fleet.now, fleet.state, reports, fleet.members())
		}, "", 0, 0},
		{"region: most of it is lost", func(fleet *testFleet) {
			fleet.zones = []string{"a", "b", "c", "d", "e", "f"}
			fleet.cfg.Regions = map[string][]string{"r": {"d", "e", "f"}}
			fleet.controller = NewController(fleet.cfg)
			fleet.failing = pairs("ad", "ae")
		}, "a>d:left, a>e:left, a>f:left", 2, 0},
	} {
		fleet := newTestFleet(t, 3, 3)
		tt.do(fleet)
		fleet.run(3500 * time.Millisecond)
		if got := describe(fleet.state); got != tt.want || fleet.changes != tt.changes || fleet.state.Shed != tt.over {
			t.Errorf("%s:\n got %s; %d changes, %.2f over\nwant %s; %d, %.2f\n%s", tt.name, got, fleet.changes, fleet.state.Shed, tt.want, tt.changes, tt.over, strings.Join(fleet.log, "\n"))
		}
	}
}

// From the first evidence to the change: Confirm where all see it at once, twice that
// where some are about to.
func TestEvacuatesWithinConfirmInterval(t *testing.T) {
	for _, turning := range []bool{false, true} {
		fleet := newTestFleet(t, 3, 2)
		fleet.run(time.Second)
		fleet.failing = func(from, to string, _ int) float64 {
			switch {
			case to != "b":
				return 0
			case turning && from == "c":
				return 0.75
			}
			return 1
		}
		begin := fleet.now
		for fleet.state.Version == 0 && fleet.now < begin+2*time.Second {
			fleet.step(100 * time.Millisecond)
		}
		bound := fleet.cfg.ConfirmInterval + 100*time.Millisecond
		if turning {
			bound = 2*fleet.cfg.ConfirmInterval + 100*time.Millisecond
		}
		if took := fleet.now - begin; took > bound {
			t.Errorf("turning %v: decided after %v, want %v", turning, took, bound)
		}
	}
}

// What is refused adds up as more is left, and follows the room of those who stay.
func TestShedsWhatRemainingZonesCannotCarry(t *testing.T) {
	fleet := newTestFleet(t, 4, 2)
	for i, tt := range []struct {
		dead string
		load float64
		long time.Duration
		over float64
	}{{"b", 0.7, 3, 0.1}, {"b c", 0.7, 3, 0.3}, {"b c", 0.8, 15, 0.3}, {"b c", 1.1, 10, 0.4}, {"b c", 0.4, 10, 0.2}, {"b c", 0.4, 15, 0}} {
		fleet.load = tt.load
		fleet.fail(1, strings.Fields(tt.dead)...)
		fleet.run(tt.long * time.Second)
		if fleet.state.Shed != tt.over {
			t.Errorf("%d: %.2f over, want %.2f\n%s", i, fleet.state.Shed, tt.over, strings.Join(fleet.log, "\n"))
		}
	}
}

// A return goes by steps, no faster than Steady, at the rate that cold servers bear; what
// one zone alone sees well is no evidence where two have left; a new leader goes on.
func TestRecoversByRampSteps(t *testing.T) {
	fleet := newTestFleet(t, 3, 2)
	fleet.fail(1, "b")
	fleet.run(5 * time.Second)
	fleet.failing = func(from, to string, _ int) float64 { return indicator(to == "b" && from != "a") }
	fleet.run(10 * time.Second)
	if got := describe(fleet.state); got != bEvacuatedByAll {
		t.Fatalf("on one zone's word: %s", got)
	}
	fleet.fail(0, "b")
	fleet.warmingUp = 4
	var steps []PairStatus
	for end := fleet.now + 20*time.Second; fleet.now < end && fleet.state.pair("c", "b").Step < 4; {
		fleet.step(100 * time.Millisecond)
		if fleet.now%(3*time.Second) < 100*time.Millisecond {
			fleet.controller = NewController(fleet.cfg)
		}
		if r := fleet.state.pair("c", "b"); len(steps) == 0 || steps[len(steps)-1] != r {
			steps = append(steps, r)
		}
	}
	want := []PairStatus{{Status: Evacuated}, {Status: Recovering, Step: 1, Share: 0.05, Rate: 18}, {Status: Recovering, Step: 2, Share: 0.15, Rate: 26},
		{Status: Recovering, Step: 3, Share: 0.35, Rate: 35},
		{Status: Recovering, Step: 4, Share: 0.7, Rate: 40}}
	for i, r := range want {
		if i >= len(steps) {
			t.Fatalf("%d steps\n%s", len(steps), strings.Join(fleet.log, "\n"))
		}
		if g := steps[i]; g.Status != r.Status || g.Step != r.Step || g.Share != r.Share || g.Rate != r.Rate {
			t.Errorf("step %d: %+v", i, g)
		}
		if i > 0 && steps[i].ChangedAt-steps[i-1].ChangedAt < 2000 {
			t.Errorf("step %d after %d ms", i, steps[i].ChangedAt-steps[i-1].ChangedAt)
		}
	}
	fleet.fail(0.75, "b") // the part that is left can't hold the step
	fleet.run(2500 * time.Millisecond)
	if r := fleet.state.pair("c", "b"); r.Step != 3 {
		t.Errorf("after a fault in part: %+v", r)
	}
	fleet.fail(0, "b")
	fleet.warmingUp = 0
	fleet.run(20 * time.Second)
	if got := describe(fleet.state); got != "" {
		t.Errorf("in the end: %s\n%s", got, strings.Join(fleet.log, "\n"))
	}
	fleet.run(fleet.cfg.FailureResetInterval)
	if len(fleet.state.Pairs) != 0 {
		t.Errorf("not forgotten: %+v", fleet.state.Pairs)
	}
}

// A zone that comes and goes every 5 s is held, at most one more leave a doubling; with
// the guard out it is left far more often.
func TestHoldsDownFlappingZone(t *testing.T) {
	countEvacuations := func(disabled Guards) (count int, fleet *testFleet) {
		fleet = newTestFleet(t, 3, 2)
		fleet.controller.DisabledGuards = disabled
		wasEvacuated := false
		for fleet.now < startTime+5*time.Minute {
			fleet.fail(float64((fleet.now-startTime)/(5*time.Second)%2), "b")
			fleet.step(100 * time.Millisecond)
			evacuated := fleet.state.pair("a", "b").Status.isEvacuated()
			if evacuated && !wasEvacuated {
				count++
			}
			wasEvacuated = evacuated
		}
		return count, fleet
	}
	count, fleet := countEvacuations(Guards{})
	if p := fleet.state.pair("a", "b").Status; count > 7 || p != HeldBack { // 5 + 10 + ... + 160 s
		t.Errorf("left %d times, then %v\n%s", count, p, strings.Join(fleet.log, "\n"))
	}
	if unguarded, _ := countEvacuations(Guards{HoldDown: true}); unguarded < 3*count {
		t.Errorf("left %d times without a hold, %d with", unguarded, count)
	}
}
