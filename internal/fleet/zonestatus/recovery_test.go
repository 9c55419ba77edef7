package zonestatus

import (
	"testing"
	"time"
)

// recordSteps runs the fleet until zone c is at the last step of recovering b, with a new
// leader every 3 s, and returns what the pair was on the way.
func (f *testFleet) recordSteps() (steps []PairStatus) {
	for end := f.now + 20*time.Second; f.now < end && f.state.pair("c", "b").Step < 4; {
		f.step(100 * time.Millisecond)
		if f.now%(3*time.Second) < 100*time.Millisecond {
			f.controller = NewController(f.cfg)
		}
		if pair := f.state.pair("c", "b"); len(steps) == 0 || steps[len(steps)-1] != pair {
			steps = append(steps, pair)
		}
	}
	return steps
}

// A recovery goes by steps, no faster than the StableInterval, at the rate that cold endpoints
// can take; what one zone alone observes is no evidence where two have evacuated; a new leader
// goes on where the last one was.
func TestRecoversByRampSteps(t *testing.T) {
	fleet := newTestFleet(t, 3, 2)
	fleet.fail(1, "b")
	fleet.run(5 * time.Second)
	fleet.failing = func(from, to string, _ int) float64 { return indicator(to == "b" && from != "a") }
	fleet.run(10 * time.Second)
	if got := describe(fleet.state); got != bEvacuatedByAll {
		t.Fatalf("on one zone's evidence: %s", got)
	}
	fleet.fail(0, "b")
	fleet.warmingUp = 4
	steps := fleet.recordSteps()
	for i, want := range []PairStatus{
		{Status: Evacuated},
		{Status: Recovering, Step: 1, Share: 0.05, Rate: 18},
		{Status: Recovering, Step: 2, Share: 0.15, Rate: 26},
		{Status: Recovering, Step: 3, Share: 0.35, Rate: 35},
		{Status: Recovering, Step: 4, Share: 0.7, Rate: 40},
	} {
		if i >= len(steps) {
			t.Fatalf("%d steps\n%s", len(steps), fleet.transcript())
		}
		got := steps[i]
		if got.Status != want.Status || got.Step != want.Step || got.Share != want.Share || got.Rate != want.Rate {
			t.Errorf("step %d: %+v", i, got)
		}
		if i > 0 && got.ChangedAt-steps[i-1].ChangedAt < 2000 {
			t.Errorf("step %d after %d ms", i, got.ChangedAt-steps[i-1].ChangedAt)
		}
	}
	fleet.fail(0.75, "b") // the healthy part can't hold the step
	fleet.run(2500 * time.Millisecond)
	if pair := fleet.state.pair("c", "b"); pair.Step != 3 {
		t.Errorf("after a partial fault: %+v", pair)
	}
	fleet.fail(0, "b")
	fleet.warmingUp = 0
	fleet.run(20 * time.Second)
	if got := describe(fleet.state); got != "" {
		t.Errorf("in the end: %s\n%s", got, fleet.transcript())
	}
	fleet.run(fleet.cfg.FailureResetInterval)
	if len(fleet.state.Pairs) != 0 {
		t.Errorf("not forgotten: %+v", fleet.state.Pairs)
	}
}

// countEvacuations has zone b fail and recover every 5 s, and counts its evacuations.
func countEvacuations(t *testing.T, disabled Guards) (count int, fleet *testFleet) {
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

// A zone that fails and recovers every 5 s is held back, with one more evacuation for each
// doubling at most; without the guard it is evacuated far more often.
func TestHoldsDownFlappingZone(t *testing.T) {
	count, fleet := countEvacuations(t, Guards{})
	if status := fleet.state.pair("a", "b").Status; count > 7 || status != HeldBack { // 5 + 10 + ... + 160 s
		t.Errorf("evacuated %d times, then %v\n%s", count, status, fleet.transcript())
	}
	if unguarded, _ := countEvacuations(t, Guards{HoldDown: true}); unguarded < 3*count {
		t.Errorf("evacuated %d times without hold-down, %d with", unguarded, count)
	}
}
