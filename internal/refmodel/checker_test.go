package refmodel

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Every history that breaks a rule is reported, and no history that only comes close to it.
func TestCheckerReportsViolations(t *testing.T) {
	rules := Rules{
		MaxAttempts: 2, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartShare: 0.2, ServerRate: 10,
		OverloadMultiple: 3, OverloadWindow: time.Second, FailFastLimit: ms,
	}
	tests := slices.Concat(answerCases, attemptCases, drainCases, coldServerCases, notificationCases, failFastCases)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewChecker(rules)
			c.NodeNotified(0, "a", Ready, 0)
			c.NodeNotified(0, "b", Ready, 0)
			c.RequestArrived(0, "r", time.Second, RetryPolicy{})
			tt.run(c)
			if (tt.want != "") != (len(c.Violations) > 0) {
				t.Errorf("violations %q, want %q", c.Violations, tt.want)
			}
			for _, got := range c.Violations {
				if !strings.HasPrefix(got, tt.want) {
					t.Errorf("violations %q, want only %q", got, tt.want)
				}
			}
		})
	}
}

// replaceRequest answers the request r, whose deadline is before changes count as notified, and records
// the arrival of a new request.
func replaceRequest(c *Checker, id string, now time.Duration) {
	c.RequestAnswered(0, "r", Refused)
	c.RequestArrived(now, id, now+time.Second, RetryPolicy{})
}

// endAttemptOfKeyedRequest sends a request that may be retried for 100 ms at 0 and ends its attempt at
// a given time. The tick is 4 ms.
func endAttemptOfKeyedRequest(c *Checker, at time.Duration) {
	c.rules.Tick = 4 * ms
	c.RequestArrived(0, "k", time.Second, RetryPolicy{Within: 100 * ms})
	c.AttemptSent(0, "k", "a")
	c.AttemptEnded(at, "k", MayHaveRun)
}

// sendBurst sends n requests to the server c, spread evenly over a time. If the node was not notified of c
// before, it is notified that the process of c starts together with the burst.
func sendBurst(c *Checker, from time.Duration, n int, within time.Duration) {
	if len(c.Unanswered()) > 0 {
		c.RequestAnswered(0, "r", Refused)
	}
	if c.servers["c"] == nil {
		c.NodeNotified(from, "c", Ready, from)
	}
	for i := range n {
		id, at := fmt.Sprint("c", i), from+within*time.Duration(i)/time.Duration(n)
		c.RequestArrived(at, id, at+time.Second, RetryPolicy{})
		c.AttemptSent(at, id, "c")
		c.RequestAnswered(at, id, Served)
	}
}
