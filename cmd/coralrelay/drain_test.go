package main

import (
	"testing"
	"time"
)

// Migrated clients reconnect through the front, which would send them back to this node until it has learned
// of the restart. No client is migrated before that, even if the deadlines are short.
func TestDrainPlanOfRestart(t *testing.T) {
	const ms = time.Millisecond
	startedAt := time.Unix(1, 0)
	for longest, from := range map[time.Duration]time.Duration{
		300 * ms: 400 * ms, 400 * ms: 400 * ms, 1800 * ms: 900 * ms, maxDrainDeadline: 1500 * ms,
	} {
		plan := newDrainPlan(startedAt, longest)
		if got := plan.MoveStartAt.Sub(startedAt); got != from || plan.RejectAt != startedAt {
			t.Errorf("longest deadline %v: migrations begin after %v, want %v", longest, got, from)
		}
		moveEnd, end := plan.MoveEndAt.Sub(startedAt), plan.EndAt.Sub(startedAt)
		if plan.MoveEndAt.Before(plan.MoveStartAt) || !plan.MoveEndAt.Before(plan.EndAt) || end > longest+700*ms {
			t.Errorf("longest deadline %v: migrations until %v, the end after %v", longest, moveEnd, end)
		}
	}
}
