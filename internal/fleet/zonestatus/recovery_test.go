package zonestatus

import (
	"testing"
	"time"
)

// recordSteps runs the fleet, with a new leader every 3 s, until the pair from c to b is at the
// last step of its recovery ramp. It returns the successive values of the pair.
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

// A recovery must advance by single steps, at most one per StableInterval, at rates that cold
// endpoints can handle. The observations of one zone must not start it where two zones have
// evacuated, and a new leader must continue at the current step.
func TestRecoversByRampSteps(t *testing.T) {
	fleet := newTestFleet(t, 3, 2)
	fleet.fail(1, "b")
	fleet.run(5 * time.Second)
	fleet.failing = func(from, to string, _ int) float64 { return indicator(to == "b" && from != "a") }
	fleet.run(10 * time.Second)
	if got := describe(fleet.state); got != bEvacuatedByAll {
		t.Fatalf("with evidence of one zone only: %s", got)
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
	fleet.fail(0.75, "b") // the healthy part is too small for the step
	fleet.run(2500 * time.Millisecond)
	if pair := fleet.state.pair("c", "b"); pair.Step != 3 {
		t.Errorf("after a partial failure: %+v", pair)
	}
	fleet.fail(0, "b")
	fleet.warmingUp = 0
	fleet.run(20 * time.Second)
	if got := describe(fleet.state); got != "" {
		t.Errorf("final state: %s\n%s", got, fleet.transcript())
	}
	fleet.run(fleet.cfg.FailureResetInterval)
	if len(fleet.state.Pairs) != 0 {
		t.Errorf("pairs not reset: %+v", fleet.state.Pairs)
	}
}

// countEvacuations lets zone b alternately fail and recover for 5 s each, and counts its
// evacuations within 5 minutes.
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

// A zone that alternately fails and recovers for 5 s each must be held back, with at most one more
// evacuation per doubling of the hold interval. Without the guard it must be evacuated at least
// three times as often.
func TestHoldsDownFlappingZone(t *testing.T) {
	count, fleet := countEvacuations(t, Guards{})
	if status := fleet.state.pair("a", "b").Status; count > 7 || status != HeldBack { // 5 + 10 + ... + 160 s
		t.Errorf("evacuated %d times, then %v\n%s", count, status, fleet.transcript())
	}
	if unguarded, _ := countEvacuations(t, Guards{HoldDown: true}); unguarded < 3*count {
		t.Errorf("evacuated %d times without hold-down, %d with", unguarded, count)
	}
}
