package balance

// How much may a server be sent that has just started? What it can bear grows over the slow start
// window, and all instances together keep to its budget.

import (
	"math"
	"time"
)

const (
	// slowStartBudgetFraction is the part of a cold server's budget that all instances together use on
	// average. The rest is for chance, as heavy connections come in any order, and for the draws that a
	// request has beyond its first.
	slowStartBudgetFraction = 0.5
	// maxSpareAttempts is how many attempts, on top of the first, a cold server's budget at one instance
	// holds at least where the instances are few: what so few weigh is chance.
	maxSpareAttempts = 3.0
	// fleetSpareAttempts is how many it holds at least at all instances together, and minSpareAttempts at
	// one of many, on top of the first.
	fleetSpareAttempts = 32.0
	minSpareAttempts   = 0.5
	// waveWindows is how many windows of a budget the clients that a server has dropped take to come again.
	waveWindows = 1
	// spareTime is how long the floors of all instances are for, at the least: what wave they let pass comes
	// within less.
	spareTime = 1500 * time.Millisecond
)

// hasCapacity reports whether s may be sent one more attempt, of r: it is ready, its zone has a token left
// and, while it is cold, its budget at this instance holds one more. Its share of the draws keeps to
// the budget on average; but a wave is known only when it has come, many requests wait for one probe,
// and a request draws more than once. What was sent to it decays over the time that the budget is for,
// so that this much at once and this much again in that time are the whole budget.
func (b *Balancer) hasCapacity(r *request, s *server) bool {
	if !s.isReady() || !b.zoneHasTokens(s) {
		return false
	}
	capacity := b.capacityShare(s)
	if capacity >= 1 {
		return true
	}
	if b.hasLease() { // one budget for the whole fleet
		return s.tokensUsed < s.tokens && b.now < b.quota.tokensExpireAt
	}
	budget := b.slowStartBudget(s, capacity)
	limit := budget - 1
	if !isOfWave(r) || b.hasTurn(s, b.waveShare()) {
		limit = max(limit, b.spareAttempts())
	}
	return s.recentAttempts.value(b.now) <= limit
}

// isOfWave reports whether r may be one of many that come at once: its client has come again, or an attempt
// has failed.
func isOfWave(r *request) bool { return r.Reconnecting || r.ClientRetry || r.attemptCount > 0 }

// waveShare is the share of the instances that may send to a cold server in a wave, in each window that its
// budget is for. Just after a server has dropped its connections it is the part that the settings' time is of
// spareTime: the floor that all instances have, of one attempt and more at each, is for that long.
func (b *Balancer) waveShare() float64 {
	window := b.fleet.recentPlacements.timeConstant
	if b.now-b.fleet.lastResetAt >= waveWindows*window {
		return 1
	}
	return window.Seconds() / spareTime.Seconds()
}

// hasTurn reports whether this instance is one of those that may send to a cold server in the present window
// of its budget, where that is a share of them. The server's name and the number of the window say which
// instances have the turn, so that all agree on it without a word, and each has one as often.
func (b *Balancer) hasTurn(s *server, share float64) bool {
	window := math.Floor((b.now - s.StartedAt).Seconds() / s.recentAttempts.timeConstant.Seconds())
	offset := float64(ringHash(s.ID)>>32) / (1 << 32)
	position := offset + float64(b.settings.Instance)/float64(max(b.settings.Instances, 1)) + window*math.Phi
	return position-math.Floor(position) < share
}

// spareAttempts is how many attempts, on top of the first, a cold server's budget at this process holds at
// least. An instance's processes share it, and all instances do: what few instances send beyond the budget
// is chance, but as many as each may send in a wave, at dozens of instances, topple the server.
func (b *Balancer) spareAttempts() float64 {
	shared := fleetSpareAttempts/float64(max(b.settings.Instances, 1)) - 1
	return min(max(shared, minSpareAttempts), maxSpareAttempts) / float64(b.settings.Processes)
}

// slowStartBudget is how many attempts, in the time that a cold server's budget is for, s may be sent by
// this instance's own traffic.
func (b *Balancer) slowStartBudget(s *server, capacity float64) float64 {
	drawn := float64(max(b.drawSubset().size, 1)) // its traffic goes to these
	return b.slowStartPlacementRate(capacity) / drawn * s.recentAttempts.timeConstant.Seconds()
}

// slowStartDrawShare is the part of its draws that a cold server of the given capacity may get so that its
// budget holds. What is sent now may be far more than usual, in a reconnect wave, so the recent rate is
// set against the rate of first arrivals, which no wave of ours changes: of those that were sent, as
// more may come than a full fleet can take.
func (b *Balancer) slowStartDrawShare(capacity float64) float64 {
	recent := b.fleet.recentPlacements.rate(b.now)
	if recent <= 0 {
		return 1
	}
	return b.slowStartPlacementRate(capacity) / recent
}

// slowStartPlacementRate is the rate of placements in the fleet, a second, at which each server would get
// what a cold one of the given capacity may. At its usual rate and load a fleet sends a warm server
// rate/load of new work when it is full; a cold one can take capacity times that, and fails beyond
// OverloadMultiple times that.
func (b *Balancer) slowStartPlacementRate(capacity float64) float64 {
	baseline := &b.fleet.baselinePlacements
	counted := 1 - decay(b.now-b.startedAt+time.Second, baseline.timeConstant)
	usual := baseline.rate(b.now) / counted
	// Where connections outlive the slow start window, a server can take them faster than the usual
	// rate: as fast as fills it within the window. One that holds nothing and knows no usual rate yet
	// goes by one connection: none would serve nobody.
	rules := &b.settings.Rules
	open := float64(max(b.requests.openConnections, 1))
	usual = max(usual, open/max(rules.SlowStartWindow, reportDelay).Seconds())
	load := max(b.fleet.meanLoad, minLowLoad)
	return slowStartBudgetFraction * rules.OverloadMultiple * capacity * usual / load
}

// capacityShare estimates the share of its capacity that a server has by now; 1 once it is warm.
func (b *Balancer) capacityShare(s *server) float64 {
	age, window := b.now-s.StartedAt, b.settings.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= window {
		return 1
	}
	initial := b.settings.Rules.InitialCapacity
	return initial + (1-initial)*max(0, age.Seconds())/window.Seconds()
}
