package refmodel

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// Every violation is reported, and what only comes near one is not.
func TestCheckerReportsViolations(t *testing.T) {
	rules := Rules{
		MaxAttempts: 2, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second,
		SlowStartDuration: 10 * time.Second, SlowStartShare: 0.2, ServerRate: 10,
		OverloadMultiple: 3, OverloadWindow: time.Second, FailFastLimit: ms,
	}
	tests := slices.Concat(answerCases, attemptCases, drainCases, coldServerCases, notificationCases, promptnessCases)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := NewChecker(rules)
			c.NodeNotified(0, "a", Ready, 0)
			c.NodeNotified(0, "b", Ready, 0)
			c.RequestArrived(0, "r", time.Second, RetryPolicy{})
			tt.play(c)
			if (tt.want != "") != (len(c.Violations) > 0) {
				t.Errorf("broken: %q, want %q", c.Violations, tt.want)
			}
			for _, got := range c.Violations {
				if !strings.HasPrefix(got, tt.want) {
					t.Errorf("broken: %q, want %q alone", got, tt.want)
				}
			}
		})
	}
}

// answerAndAskAgain answers the request r, which is due before changes count as notified, and has a
// new one arrive.
func answerAndAskAgain(c *Checker, id string, now time.Duration) {
	c.RequestAnswered(0, "r", Refused)
	c.RequestArrived(now, id, now+time.Second, RetryPolicy{})
}

// endWithinRetryWindow ends the attempt of a request that may be retried for 100 ms, with a tick of
// 4 ms.
func endWithinRetryWindow(c *Checker, at time.Duration) {
	c.rules.Tick = 4 * ms
	c.RequestArrived(0, "k", time.Second, RetryPolicy{Within: 100 * ms})
	c.AttemptSent(0, "k", "a")
	c.AttemptEnded(at, "k", MayHaveRun)
}

// sendBurst sends n requests, evenly within a time, to the server c, whose process started at
// startedAt. If the node knows c by then, it is not notified of the new process.
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
