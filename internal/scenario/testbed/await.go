package testbed

import (
	"context"
	"time"

	"coralrelay/internal/fake"
)

// pollInterval is the time from one look at a condition to the next.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it holds, the timeout is over or ctx ends. It returns how long
// that took and whether the condition held.
func Await(ctx context.Context, timeout time.Duration, condition func() bool) (took time.Duration, held bool) {
	begunAt := time.Now()
	for {
		if condition() {
			return time.Since(begunAt), true
		}
		if took = time.Since(begunAt); took > timeout || !fake.Sleep(ctx, pollInterval) {
			return took, false
		}
	}
}

// AfterIndex calls do as soon as an agent has the entry of the replicated log at an index;
// index returns the latest that it has. It is false, and do is not called, on a timeout.
func AfterIndex(ctx context.Context, index func() uint64, at uint64, timeout time.Duration, do func()) bool {
	_, reached := Await(ctx, timeout, func() bool { return index() >= at })
	if reached {
		do()
	}
	return reached
}
