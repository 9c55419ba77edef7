package main

import (
	"testing"
	"time"
)

// Who is moved comes again through the front, which sends him here for as long as it does
// not know: where deadlines are short the first were moved before that.
func TestPlanOfARestart(t *testing.T) {
	const ms = time.Millisecond
	begun := time.Unix(1, 0)
	for longest, from := range map[time.Duration]time.Duration{300 * ms: 400 * ms, 400 * ms: 400 * ms, 1800 * ms: 900 * ms, maxDrainDeadline: 1500 * ms} {
		p := newDrainPlan(begun, longest)
		if got := p.MoveStartAt.Sub(begun); got != from || p.RejectAt != begun {
			t.Errorf("%v: moves begin after %v, want %v", longest, got, from)
		}
		if p.MoveEndAt.Before(p.MoveStartAt) || !p.MoveEndAt.Before(p.EndAt) || p.EndAt.Sub(begun) > longest+700*ms {
			t.Errorf("%v: moves until %v, the end after %v", longest, p.MoveEndAt.Sub(begun), p.EndAt.Sub(begun))
		}
	}
}
