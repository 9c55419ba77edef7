package dispatch

import (
	"time"

	"coralrelay/balance"
)

// Lost is what an attempt took that never came up.
const FailedAttemptDuration = time.Hour

// Time has f told, on the Core's goroutine, how long each attempt took of an item whose route
// has a contract, Lost for one that failed. It returns at once.
func (c *EventLoop) SetAttemptObserver(f func(contract, server string, took time.Duration)) {
	c.post(func() { c.timer = f })
}

// timed tells of an attempt. Of one that was given up, or of which nobody was asked, there is
// nothing to tell.
func (c *EventLoop) timed(e *entry, server string, outcome balance.Outcome, took time.Duration) {
	switch {
	case c.timer == nil || e.route == nil || e.route.Contract == "" || took <= 0:
		return
	case outcome == balance.Cancelled || outcome == balance.NotSent:
		return
	case outcome != balance.OK:
		took = FailedAttemptDuration
	}
	c.timer(e.route.Contract, server, took)
}
