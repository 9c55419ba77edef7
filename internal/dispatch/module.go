package dispatch

import (
	"time"

	"coralrelay/balance"
)

// UpdateSettings brings other settings into force, which Settings.Check must have passed.
func (l *EventLoop) UpdateSettings(settings balance.Settings) {
	l.post(func() {
		l.knownClasses = classNames(settings.Classes)
		l.handle(balance.SettingsChanged{Settings: settings})
	})
}

// AvoidedCount is how many of the listed servers the module avoided within the last
// avoidedRefreshInterval. It does not wait for Run.
func (l *EventLoop) AvoidedCount() int { return int(l.avoidedServers.Load()) }

// RejectionCount is how many requests the module has given up for a reason. It does not wait for Run.
func (l *EventLoop) RejectionCount(reason balance.RejectReason) int64 {
	return l.rejections[reason].Load()
}

// ExportLearnedState returns what the module has learned, for the process that takes over. It
// waits for Run.
func (l *EventLoop) ExportLearnedState() balance.LearnedState {
	return query(l, l.balancer.LearnedState)
}

// ImportLearnedState passes on what another process's module has learned.
func (l *EventLoop) ImportLearnedState(state balance.LearnedState) {
	l.post(func() { l.handle(balance.InheritedState{LearnedState: state}) })
}

// QuotaUsage returns what the module has spent of the fleet's quotas. It waits for Run.
func (l *EventLoop) QuotaUsage() balance.QuotaUsage { return query(l, l.balancer.QuotaUsage) }

// ApplyQuotaLease passes on what the module may spend of the fleet's quotas.
func (l *EventLoop) ApplyQuotaLease(lease balance.QuotaLease) { l.post(func() { l.handle(lease) }) }

// RunOnLoop runs f on Run's goroutine, with the module's time, and waits for it. Once Run has
// ended it does not run f.
func (l *EventLoop) RunOnLoop(f func(now time.Duration)) {
	query(l, func(now time.Duration) struct{} { f(now); return struct{}{} })
}

// Now is the module's time. It is for the Router.
func (l *EventLoop) Now() time.Duration { return l.clock.At(time.Now()) }

// query runs read on Run's goroutine and returns its answer, the zero value once Run has ended.
func query[T any](loop *EventLoop, read func(now time.Duration) T) (answer T) {
	reply := make(chan T, 1)
	loop.post(func() { reply <- read(loop.clock.At(time.Now())) })
	select {
	case answer = <-reply:
	case <-loop.done:
	}
	return answer
}
