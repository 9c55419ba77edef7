package main

import (
	"testing"
	"time"
)

// Who is moved comes again through the front, which sends him here for as long as it does
// not know: where deadlines are short the first were moved before that.
func TestDrainPlanOfRestart(t *testing.T) {
	const ms = time.Millisecond
	startedAt := time.Unix(1, 0)
	for longest, from := range map[time.Duration]time.Duration{300 * ms: 400 * ms, 400 * ms: 400 * ms, 1800 * ms: 900 * ms, maxDrainDeadline: 1500 * ms} {
		plan := newDrainPlan(startedAt, longest)
		if got := plan.MoveStartAt.Sub(startedAt); got != from || plan.RejectAt != startedAt {
			t.Errorf("%v: moves begin after %v, want %v", longest, got, from)
		}
		if plan.MoveEndAt.Before(plan.MoveStartAt) || !plan.MoveEndAt.Before(plan.EndAt) || plan.EndAt.Sub(startedAt) > longest+700*ms {
			t.Errorf("%v: moves until %v, the end after %v", longest, plan.MoveEndAt.Sub(startedAt), plan.EndAt.Sub(startedAt))
		}
	}
}
