package testbed

import (
	"context"
	"time"

	"coralrelay/internal/fake"
)

// pollInterval is the interval at which Await evaluates its condition.
const pollInterval = 20 * time.Millisecond

// Await polls a condition until it holds, the timeout expires or ctx ends. It returns the time that
// it waited and whether the condition held.
func Await(ctx context.Context, timeout time.Duration, condition func() bool) (took time.Duration, held bool) {
	startedAt := time.Now()
	for {
		if condition() {
			return time.Since(startedAt), true
		}
		if took = time.Since(startedAt); took > timeout || !fake.Sleep(ctx, pollInterval) {
			return took, false
		}
	}
}

// AfterIndex calls do as soon as an agent's replicated log has reached index at. The function index
// returns the latest index that the agent has. On a timeout AfterIndex returns false without calling
// do.
func AfterIndex(ctx context.Context, index func() uint64, at uint64, timeout time.Duration, do func()) bool {
	_, reached := Await(ctx, timeout, func() bool { return index() >= at })
	if reached {
		do()
	}
	return reached
}
