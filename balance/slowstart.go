package balance

// How much may a server be sent that has just started? What it can bear grows over its
// ramp, and all instances together keep to its budget.

import "time"

const (
	// coldPart is the part of a cold server's budget that all instances
	// together aim at. The rest is for chance, as heavy connections come in any
	// order, and for the draws a request has beyond its first.
	slowStartBudgetFraction = 0.5
	// spared is how many connections, on top of the first, a cold server's budget at
	// one instance holds at least: what so few weigh is chance. Its processes share it.
	minSlowStartAttempts = 3.0
)

// mayTake tells whether s may be sent one more: it is ready, its zone has a token left
// and, while it is cold, its budget at this instance holds one more. Its share of the
// draws keeps to the budget on average; but a wave is known only when it has come, many
// wait for one answer, and a request draws more than once. What was sent it fades over the
// time that the budget is for, so that this much at once and this much again in that time
// are the whole budget.
func (b *Balancer) hasCapacity(s *server) bool {
	if s.readyIndex < 0 || !b.zoneHasTokens(s) {
		return false
	}
	capacity := b.capacityShare(s)
	if capacity >= 1 {
		return true
	}
	if b.now < b.leaseEndsAt { // one budget for the whole fleet
		return s.tokensUsed < s.tokens && b.now < b.tokensExpireAt
	}
	budget := b.slowStartPlacementRate(capacity) / float64(max(len(b.ready), 1)) * s.recentAttempts.timeConstant.Seconds()
	return s.recentAttempts.value(b.now) <= max(budget-1, minSlowStartAttempts/float64(b.settings.Processes))
}

// coldShare is the part of its draws that a cold server of the given warmth
// may get so that its budget holds. What is sent now may be far more than usual,
// in a wave that returns, so the rate of late is set against that of first
// arrivals, which no wave of ours changes: of those that were sent, as more may
// come than a full fleet can take.
func (b *Balancer) slowStartDrawShare(capacity float64) float64 {
	recent := b.rate[0].rate(b.now)
	if recent <= 0 {
		return 1
	}
	return b.slowStartPlacementRate(capacity) / recent
}

// coldRate is the rate of placements at which each server would get what a cold one
// of the given warmth may. At its usual rate and load a fleet sends a warm server
// rate/load of new work when it is full; a cold one can take warmth times that, and
// falls over beyond FallMultiple times that.
func (b *Balancer) slowStartPlacementRate(capacity float64) float64 {
	usual := b.rate[1].rate(b.now) / (1 - decay(b.now-b.startedAt+time.Second, b.rate[1].timeConstant))
	// Where connections outlive the ramp, a server can take them faster than
	// the usual rate: as fast as fills it within the ramp. One that holds nothing
	// and knows no usual rate yet goes by one connection: none would serve nobody.
	usual = max(usual, float64(max(b.openConnections, 1))/max(b.settings.Rules.SlowStartWindow, reportDelay).Seconds())
	return slowStartBudgetFraction * b.settings.Rules.OverloadMultiple * capacity * usual / max(b.meanLoad, minLowLoad)
}

// warmth estimates the share of its capacity that a server has by now.
func (b *Balancer) capacityShare(s *server) float64 {
	age, window := b.now-s.StartedAt, b.settings.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= window {
		return 1
	}
	initial := b.settings.Rules.InitialCapacity
	return initial + (1-initial)*max(0, age.Seconds())/window.Seconds()
}
