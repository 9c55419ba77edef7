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
		do      func(w *testFleet)
		want    string
		changes int
		over    float64
	}{
		{"nothing", func(*testFleet) {}, "", 0, 0},
		{"its servers fail for everybody", func(w *testFleet) { w.fail(1, "b") }, bEvacuatedByAll, 2, 0},
		{"two of three", func(w *testFleet) { w.fail(1, "b", "c") },
			"a>b:left, a>c:left, b>b:left, b>c:left, c>b:left, c>c:left", 2, 0.1},
		{"all: the last is kept", func(w *testFleet) { w.fail(1, "a", "b", "c") },
			"a>a:suspect, a>b:left, a>c:left, b>a:left, b>b:suspect, b>c:left, c>a:left, c>b:left, c>c:suspect", 2, 0.7},
		{"only one link", func(w *testFleet) { w.failing = pairs("ab") }, "a>b:left", 2, 0},
		{"one zone is cut off, and sees the others fail", func(w *testFleet) { w.failing = pairs("ab", "ac") }, "", 0, 0},
		{"cut off both ways: it is left, and blames nobody", func(w *testFleet) { w.failing = pairs("ab", "ac", "ba", "ca") },
			"b>a:left, c>a:left", 2, 0},
		{"one member sees nobody", func(w *testFleet) {
			w.failing = func(from, _ string, m int) float64 { return indicator(from == "a" && m == 0) }
		}, "", 0, 0},
		{"one member of each lies about one zone", func(w *testFleet) {
			w.failing = func(_, to string, m int) float64 { return indicator(to == "b" && m == 0) }
		}, "", 0, 0},
		{"two of five in each lie", func(w *testFleet) {
			w.membersPerZone = 5
			w.failing = func(_, to string, m int) float64 { return indicator(to == "b" && m < 2) }
		}, "", 0, 0},
		{"its agents are gone", func(w *testFleet) { w.isSilent = func(m string) bool { return m[0] == 'b' } }, "", 0, 0},
		{"its agents are gone with its servers: it follows", func(w *testFleet) {
			w.fail(1, "b")
			w.isSilent = func(m string) bool { return m[0] == 'b' }
		}, bEvacuatedByAll, 2, 0},
		{"half of it", func(w *testFleet) { w.fail(0.5, "b") }, "a>b:open 0.50, b>b:open 0.50, c>b:open 0.50", 1, 0},
		{"half of it, and the others are full", func(w *testFleet) { w.load = 0.84; w.fail(0.5, "b") }, "", 0, 0},
		{"half of it, and the others have little room", func(w *testFleet) { w.load = 0.7; w.fail(0.5, "b") },
			"a>b:open 0.75, b>b:open 0.75, c>b:open 0.75", 1, 0},
		{"the others can't carry it", func(w *testFleet) { w.load = 0.7; w.fail(1, "b") }, bEvacuatedByAll, 2, 0.2},
		{"the others are cold", func(w *testFleet) { w.warmingUp = 4; w.load = 0.2; w.fail(1, "b") }, bEvacuatedByAll, 2, 0.15},
		{"slow and full", func(w *testFleet) { w.load = 1.2 }, "", 0, 0},
		{"old words", func(w *testFleet) {
			w.fail(1, "b")
			words := w.reports()
			w.now += w.cfg.ReportTTL + w.cfg.MaxClockSkew
			w.isSilent = func(string) bool { return true }
			w.controller.Evaluate(w.now, w.state, words, w.members())
		}, "", 0, 0},
		{"region: most of it is lost", func(w *testFleet) {
			w.zones = []string{"a", "b", "c", "d", "e", "f"}
			w.cfg.Regions = map[string][]string{"r": {"d", "e", "f"}}
			w.controller = NewController(w.cfg)
			w.failing = pairs("ad", "ae")
		}, "a>d:left, a>e:left, a>f:left", 2, 0},
	} {
		w := newTestFleet(t, 3, 3)
		tt.do(w)
		w.run(3500 * time.Millisecond)
		if got := describe(w.state); got != tt.want || w.changes != tt.changes || w.state.Shed != tt.over {
			t.Errorf("%s:\n got %s; %d changes, %.2f over\nwant %s; %d, %.2f\n%s", tt.name, got, w.changes, w.state.Shed, tt.want, tt.changes, tt.over, strings.Join(w.log, "\n"))
		}
	}
}

// From the first evidence to the change: Confirm where all see it at once, twice that
// where some are about to.
func TestEvacuatesWithinConfirmInterval(t *testing.T) {
	for _, turning := range []bool{false, true} {
		w := newTestFleet(t, 3, 2)
		w.run(time.Second)
		w.failing = func(from, to string, _ int) float64 {
			switch {
			case to != "b":
				return 0
			case turning && from == "c":
				return 0.75
			}
			return 1
		}
		begin := w.now
		for w.state.Version == 0 && w.now < begin+2*time.Second {
			w.step(100 * time.Millisecond)
		}
		bound := w.cfg.ConfirmInterval + 100*time.Millisecond
		if turning {
			bound = 2*w.cfg.ConfirmInterval + 100*time.Millisecond
		}
		if took := w.now - begin; took > bound {
			t.Errorf("turning %v: decided after %v, want %v", turning, took, bound)
		}
	}
}

// What is refused adds up as more is left, and follows the room of those who stay.
func TestShedsWhatRemainingZonesCannotCarry(t *testing.T) {
	w := newTestFleet(t, 4, 2)
	for i, tt := range []struct {
		dead string
		load float64
		long time.Duration
		over float64
	}{{"b", 0.7, 3, 0.1}, {"b c", 0.7, 3, 0.3}, {"b c", 0.8, 15, 0.3}, {"b c", 1.1, 10, 0.4}, {"b c", 0.4, 10, 0.2}, {"b c", 0.4, 15, 0}} {
		w.load = tt.load
		w.fail(1, strings.Fields(tt.dead)...)
		w.run(tt.long * time.Second)
		if w.state.Shed != tt.over {
			t.Errorf("%d: %.2f over, want %.2f\n%s", i, w.state.Shed, tt.over, strings.Join(w.log, "\n"))
		}
	}
}

// A return goes by steps, no faster than Steady, at the rate that cold servers bear; what
// one zone alone sees well is no evidence where two have left; a new leader goes on.
func TestRecoversByRampSteps(t *testing.T) {
	w := newTestFleet(t, 3, 2)
	w.fail(1, "b")
	w.run(5 * time.Second)
	w.failing = func(from, to string, _ int) float64 { return indicator(to == "b" && from != "a") }
	w.run(10 * time.Second)
	if got := describe(w.state); got != bEvacuatedByAll {
		t.Fatalf("on one zone's word: %s", got)
	}
	w.fail(0, "b")
	w.warmingUp = 4
	var steps []PairStatus
	for end := w.now + 20*time.Second; w.now < end && w.state.pair("c", "b").Step < 4; {
		w.step(100 * time.Millisecond)
		if w.now%(3*time.Second) < 100*time.Millisecond {
			w.controller = NewController(w.cfg)
		}
		if r := w.state.pair("c", "b"); len(steps) == 0 || steps[len(steps)-1] != r {
			steps = append(steps, r)
		}
	}
	want := []PairStatus{{Status: Evacuated}, {Status: Recovering, Step: 1, Share: 0.05, Rate: 18}, {Status: Recovering, Step: 2, Share: 0.15, Rate: 26},
		{Status: Recovering, Step: 3, Share: 0.35, Rate: 35},
		{Status: Recovering, Step: 4, Share: 0.7, Rate: 40}}
	for i, r := range want {
		if i >= len(steps) {
			t.Fatalf("%d steps\n%s", len(steps), strings.Join(w.log, "\n"))
		}
		if g := steps[i]; g.Status != r.Status || g.Step != r.Step || g.Share != r.Share || g.Rate != r.Rate {
			t.Errorf("step %d: %+v", i, g)
		}
		if i > 0 && steps[i].ChangedAt-steps[i-1].ChangedAt < 2000 {
			t.Errorf("step %d after %d ms", i, steps[i].ChangedAt-steps[i-1].ChangedAt)
		}
	}
	w.fail(0.75, "b") // the part that is left can't hold the step
	w.run(2500 * time.Millisecond)
	if r := w.state.pair("c", "b"); r.Step != 3 {
		t.Errorf("after a fault in part: %+v", r)
	}
	w.fail(0, "b")
	w.warmingUp = 0
	w.run(20 * time.Second)
	if got := describe(w.state); got != "" {
		t.Errorf("in the end: %s\n%s", got, strings.Join(w.log, "\n"))
	}
	w.run(w.cfg.FailureResetInterval)
	if len(w.state.Pairs) != 0 {
		t.Errorf("not forgotten: %+v", w.state.Pairs)
	}
}

// A zone that comes and goes every 5 s is held, at most one more leave a doubling; with
// the guard out it is left far more often.
func TestHoldsDownFlappingZone(t *testing.T) {
	leaves := func(g Guards) (n int, w *testFleet) {
		w = newTestFleet(t, 3, 2)
		w.controller.DisabledGuards = g
		gone := false
		for w.now < startTime+5*time.Minute {
			w.fail(float64((w.now-startTime)/(5*time.Second)%2), "b")
			w.step(100 * time.Millisecond)
			is := w.state.pair("a", "b").Status.isEvacuated()
			if is && !gone {
				n++
			}
			gone = is
		}
		return n, w
	}
	n, w := leaves(Guards{})
	if p := w.state.pair("a", "b").Status; n > 7 || p != HeldBack { // 5 + 10 + ... + 160 s
		t.Errorf("left %d times, then %v\n%s", n, p, strings.Join(w.log, "\n"))
	}
	if loose, _ := leaves(Guards{HoldDown: true}); loose < 3*n {
		t.Errorf("left %d times without a hold, %d with", loose, n)
	}
}
