package dispatch

// What is told to the module and asked of it besides items and next hops.

import (
	"time"

	"coralrelay/balance"
)

// Retune goes on by other settings, which Settings.Check has passed.
func (c *EventLoop) UpdateSettings(set balance.Settings) {
	c.post(func() {
		c.classes = names(set.Classes)
		c.handle(balance.SettingsChanged{Settings: set})
	})
}

// Avoided is how many of the listed next hops the module avoided a moment ago. It
// waits for nobody.
func (c *EventLoop) AvoidedCount() int { return int(c.avoided.Load()) }

// Recall is what the module has learned, and Learn tells it what another process's has.
func (c *EventLoop) ExportLearnedState() balance.LearnedState { return ask(c, c.balancer.LearnedState) }

// Spending is what the module has spent of the fleet's budgets, and Grant tells it what it
// may spend.
func (c *EventLoop) Spending() balance.QuotaUsage { return ask(c, c.balancer.QuotaUsage) }

func (c *EventLoop) Grant(g balance.QuotaLease) { c.post(func() { c.handle(g) }) }

// ask puts a question to the module; the answer is empty once the Core has ended.
func ask[T any](c *EventLoop, question func(now time.Duration) T) (answer T) {
	told := make(chan T, 1)
	c.post(func() { told <- question(c.clock.At(time.Now())) })
	select {
	case answer = <-told:
	case <-c.done:
	}
	return answer
}

func (c *EventLoop) ImportLearnedState(m balance.LearnedState) {
	c.post(func() { c.handle(balance.InheritedState{LearnedState: m}) })
}
