package soak

import (
	"math"
	"time"
)

// The slow-start rule, with the values of nodeSettings.
const (
	slowStartWindow  = 10 * time.Second
	initialCapacity  = 0.12
	overloadDuration = 1500 * time.Millisecond
	overloadMultiple = 3.0
)

// slowStartShare returns the share of its capacity that a server has at a time.
func slowStartShare(startedAt, now time.Time) float64 {
	age := now.Sub(startedAt)
	if startedAt.IsZero() || age >= slowStartWindow {
		return 1
	}
	return initialCapacity + (1-initialCapacity)*age.Seconds()/slowStartWindow.Seconds()
}

// slowStartBudget returns how many first lines a server in slow start may get within
// overloadDuration, with an allowance for random variation; 0 for a warm server.
func slowStartBudget(startedAt, now time.Time) float64 {
	share := slowStartShare(startedAt, now)
	if share >= 1 {
		return 0
	}
	allowed := overloadMultiple * share * serverCapacity * overloadDuration.Seconds()
	if allowed < 30 {
		return allowed + 3*math.Sqrt(allowed) + 3
	}
	return allowed + 2*math.Sqrt(allowed) + 2
}
