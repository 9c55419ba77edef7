package dispatch

// What is told to the module and asked of it besides items and next hops.

import (
	"time"

	"coralrelay/balance"
)

// Retune goes on by other settings, which Settings.Check has passed.
func (l *EventLoop) UpdateSettings(settings balance.Settings) {
	l.post(func() {
		l.knownClasses = classNames(settings.Classes)
		l.handle(balance.SettingsChanged{Settings: settings})
	})
}

// Avoided is how many of the listed next hops the module avoided a moment ago. It
// waits for nobody.
func (l *EventLoop) AvoidedCount() int { return int(l.avoidedServers.Load()) }

// Recall is what the module has learned, and Learn tells it what another process's has.
func (l *EventLoop) ExportLearnedState() balance.LearnedState {
	return query(l, l.balancer.LearnedState)
}

// Spending is what the module has spent of the fleet's budgets, and Grant tells it what it
// may spend.
func (l *EventLoop) QuotaUsage() balance.QuotaUsage { return query(l, l.balancer.QuotaUsage) }

func (l *EventLoop) ApplyQuotaLease(lease balance.QuotaLease) { l.post(func() { l.handle(lease) }) }

// ask puts a question to the module; the answer is empty once the Core has ended.
func query[T any](loop *EventLoop, read func(now time.Duration) T) (answer T) {
	reply := make(chan T, 1)
	loop.post(func() { reply <- read(loop.clock.At(time.Now())) })
	select {
	case answer = <-reply:
	case <-loop.done:
	}
	return answer
}

func (l *EventLoop) ImportLearnedState(state balance.LearnedState) {
	l.post(func() { l.handle(balance.InheritedState{LearnedState: state}) })
}
