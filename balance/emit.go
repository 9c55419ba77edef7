package balance

// Emission of actions: timers, log entries and jitter. This file contains no decision logic.

import (
	"fmt"
	"math"
	"time"
)

// logInterval is the minimum time between two log entries; it keeps the log readable during an event storm.
const logInterval = 10 * time.Second

// emit appends an action to the result of the current event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// setRequestTimer sets the timer of r to the given time.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	// Timers have a resolution of one microsecond. A timer that fired a fraction early would be taken for
	// a stale one, and r would wait indefinitely.
	delay := max(at-b.now, b.settings.Tick).Truncate(time.Microsecond)
	r.timerAt = b.now + delay
	b.emit(SetTimer{Delay: delay, Token: r.sequence})
}

// jitter returns a random duration between d*(1-share) and d*(1+share).
func (b *Balancer) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*b.rng.Float64()-1)))
}

// logCongestion logs that admission is paused, at most once per logInterval.
func (b *Balancer) logCongestion() {
	if !b.allowLogEntry() {
		return
	}
	b.emit(Log{
		Text: fmt.Sprintf("congestion: set-ups are held back, usual load %.2f, %.0f%% of attempts fail",
			b.fleet.meanLoad, 100*b.admission.failureRate),
		Message: "admission paused by congestion",
		Attributes: []Attribute{
			{"mean_load", twoDecimals(b.fleet.meanLoad)},
			{"failure_rate", twoDecimals(b.admission.failureRate)},
		},
	})
}

// logRebalance logs that connections are migrated away from s, at most once per logInterval.
func (b *Balancer) logRebalance(s *server) {
	if !b.allowLogEntry() {
		return
	}
	b.emit(Log{
		Text: fmt.Sprintf("moves: %s is at load %.2f, usual %.2f, of %d connections some move",
			s.ID, s.reportedLoad, b.fleet.meanLoad, len(s.connections)),
		Message: "connections migrated away from loaded server",
		Attributes: []Attribute{
			{"server", s.ID},
			{"load", twoDecimals(s.reportedLoad)},
			{"mean_load", twoDecimals(b.fleet.meanLoad)},
			{"connections", len(s.connections)},
		},
	})
}

// twoDecimals rounds x to two decimals for display.
func twoDecimals(x float64) float64 { return math.Round(x*100) / 100 }

// allowLogEntry reports whether an entry may be logged now, and if so starts the next logInterval.
func (b *Balancer) allowLogEntry() bool {
	if b.now < b.nextLogAt {
		return false
	}
	b.nextLogAt = b.now + logInterval
	return true
}
