package dispatch

import (
	"time"

	"coralrelay/balance"
)

// Lost is what an attempt took that never came up.
const FailedAttemptDuration = time.Hour

// Time has f told, on the Core's goroutine, how long each attempt took of an item whose route
// has a contract, Lost for one that failed. It returns at once.
func (l *EventLoop) SetAttemptObserver(observe func(contract, server string, duration time.Duration)) {
	l.post(func() { l.attemptObserver = observe })
}

// timed tells of an attempt. Of one that was given up, or of which nobody was asked, there is
// nothing to tell.
func (l *EventLoop) observeAttempt(active *activePlacement, server string, outcome balance.Outcome, duration time.Duration) {
	switch {
	case l.attemptObserver == nil || active.route == nil || active.route.Contract == "" || duration <= 0:
		return
	case outcome == balance.Cancelled || outcome == balance.NotSent:
		return
	case outcome != balance.OK:
		duration = FailedAttemptDuration
	}
	l.attemptObserver(active.route.Contract, server, duration)
}
