package balance

// How actions leave: timers, log lines and random spread. Nothing is decided here.

import (
	"fmt"
	"math"
	"time"
)

// logInterval is the least time between two log lines, so that a storm leaves the log readable.
const logInterval = 10 * time.Second

// emit appends an action to those that answer the event.
func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// setRequestTimer asks to look at r again at the given time.
func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	// Timers count in microseconds: one that came a fraction early would be taken for a stale
	// one, and r would wait for good.
	delay := max(at-b.now, b.settings.Tick).Truncate(time.Microsecond)
	r.timerAt = b.now + delay
	b.emit(SetTimer{Delay: delay, Token: r.sequence})
}

// jitter spreads d by up to the given share either way.
func (b *Balancer) jitter(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 + share*(2*b.rng.Float64()-1)))
}

// logCongestion logs that admission is paused, at most once in each logInterval.
func (b *Balancer) logCongestion() {
	if !b.claimLogLine() {
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

// logRebalance logs that connections are migrated away from s, at most once in each logInterval.
func (b *Balancer) logRebalance(s *server) {
	if !b.claimLogLine() {
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

// twoDecimals rounds a value as people read it.
func twoDecimals(x float64) float64 { return math.Round(x*100) / 100 }

// claimLogLine reports whether a line may be logged now, and then starts the next logInterval.
func (b *Balancer) claimLogLine() bool {
	if b.now < b.nextLogAt {
		return false
	}
	b.nextLogAt = b.now + logInterval
	return true
}
