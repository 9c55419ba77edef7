package dispatch

import (
	"time"

	"coralrelay/balance"
)

// FailedAttemptDuration is the duration that is reported for failed attempts.
const FailedAttemptDuration = time.Hour

// SetAttemptObserver registers observe to be called on Run's goroutine with the duration of each
// attempt for a placement whose route has a contract. The duration of a failed attempt is
// FailedAttemptDuration.
func (l *EventLoop) SetAttemptObserver(observe func(contract, server string, duration time.Duration)) {
	l.post(func() { l.attemptObserver = observe })
}

// observeAttempt reports the duration of an attempt to the observer. Attempts that were
// cancelled or never sent are not reported.
func (l *EventLoop) observeAttempt(active *activePlacement, server string, outcome balance.Outcome,
	duration time.Duration) {
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
