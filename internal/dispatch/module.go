package dispatch

import (
	"time"

	"coralrelay/balance"
)

// UpdateSettings applies new settings, which Settings.Validate must have accepted.
func (l *EventLoop) UpdateSettings(settings balance.Settings) {
	l.post(func() {
		l.knownClasses = classNames(settings.Classes)
		l.handle(balance.SettingsChanged{Settings: settings})
	})
}

// AvoidedCount returns how many servers of the endpoint list the module avoids. The number is up to
// avoidedRefreshInterval old. AvoidedCount does not wait for Run.
func (l *EventLoop) AvoidedCount() int { return int(l.avoidedServers.Load()) }

// RejectionCount returns how many requests the module has given up for a reason. It does not wait for
// Run.
func (l *EventLoop) RejectionCount(reason balance.RejectReason) int64 {
	return l.rejections[reason].Load()
}

// ExportLearnedState returns the learned state of the module, for the successor process in a hot
// restart. It waits for Run.
func (l *EventLoop) ExportLearnedState() balance.LearnedState {
	return query(l, l.balancer.LearnedState)
}

// ImportLearnedState passes the learned state of another process to the module.
func (l *EventLoop) ImportLearnedState(state balance.LearnedState) {
	l.post(func() { l.handle(balance.InheritedState{LearnedState: state}) })
}

// QuotaUsage returns the module's usage of the fleet's quotas. It waits for Run.
func (l *EventLoop) QuotaUsage() balance.QuotaUsage { return query(l, l.balancer.QuotaUsage) }

// ApplyQuotaLease passes a lease of the fleet's quotas to the module.
func (l *EventLoop) ApplyQuotaLease(lease balance.QuotaLease) { l.post(func() { l.handle(lease) }) }

// RunOnLoop calls f with the module's time on Run's goroutine and waits for it to return. Once Run
// has ended, f is not called.
func (l *EventLoop) RunOnLoop(f func(now time.Duration)) {
	query(l, func(now time.Duration) struct{} { f(now); return struct{}{} })
}

// Now returns the module's time, for use by the Router.
func (l *EventLoop) Now() time.Duration { return l.clock.At(time.Now()) }

// query calls read on Run's goroutine and returns its result, or the zero value once Run has ended.
func query[T any](loop *EventLoop, read func(now time.Duration) T) (result T) {
	reply := make(chan T, 1)
	loop.post(func() { reply <- read(loop.clock.At(time.Now())) })
	select {
	case result = <-reply:
	case <-loop.done:
	}
	return result
}
