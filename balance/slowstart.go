package balance

// Slow start: how many attempts a server may receive after it has started. A server is cold for the length of
// the slow start window, over which its capacity grows, and all instances together must keep to its budget.

import (
	"math"
	"time"
)

const (
	// slowStartBudgetFraction is the part of a cold server's budget that all instances together use on
	// average. The rest is a margin for random variation, as heavy connections arrive in any order, and for
	// the draws that a request makes beyond its first.
	slowStartBudgetFraction = 0.5
	// maxExtraAttempts limits extraAttempts where there are few instances: the little that so few instances
	// send beyond the budget is within random variation.
	maxExtraAttempts = 3.0
	// fleetExtraAttempts is divided by the number of instances to get the attempts, the first included, that
	// each instance may send to a cold server even if its own budget is smaller. minExtraAttempts is the
	// minimum, on top of the first, at each of many instances.
	fleetExtraAttempts = 32.0
	minExtraAttempts   = 0.5
	// reconnectWaveWindows is how many budget windows it takes the clients that a server has dropped to
	// reconnect.
	reconnectWaveWindows = 1
	// extraAttemptsPeriod is the minimum time that the extra attempts of all instances together are meant
	// for. A reconnect wave that they admit arrives within less time.
	extraAttemptsPeriod = 1500 * time.Millisecond
)

// hasCapacity reports whether one more attempt, of r, may be sent to s: s is ready, its zone has a token left
// and, while s is cold, its budget at this instance allows one more. The reduced share of its draws keeps to
// the budget on average only: a wave is detected only after it has arrived, many requests may wait for one
// probe, and a request draws more than once. recentAttempts decays with the time constant that the budget is
// for (the budget window), so a burst up to the limit and as many attempts again within that time add up to
// the whole budget, of which slowStartBudget is the part slowStartBudgetFraction.
func (b *Balancer) hasCapacity(r *request, s *server) bool {
	if !s.isReady() || !b.zoneHasTokens(s) {
		return false
	}
	capacity := b.capacityShare(s)
	if capacity >= 1 {
		return true
	}
	if b.hasQuota() { // one budget for the whole fleet
		return s.tokensUsed < s.tokens && b.now < b.quota.tokensExpireAt
	}
	budget := b.slowStartBudget(s, capacity)
	limit := budget - 1
	if !isReconnectOrRetry(r) || b.isInstanceEligible(s, b.eligibleInstanceShare()) {
		limit = max(limit, b.extraAttempts())
	}
	return s.recentAttempts.value(b.now) <= limit
}

// isReconnectOrRetry reports whether r may be part of a wave of simultaneous requests: its client reconnects
// or retries, or an attempt of it has failed.
func isReconnectOrRetry(r *request) bool {
	return r.Reconnecting || r.ClientRetry || r.attemptCount > 0
}

// eligibleInstanceShare is the share of the instances that may, in one budget window, send reconnects and
// retries to a cold server up to the minimum given by extraAttempts, even if their own budgets are smaller.
// It is 1, except just after a server has reset established connections: then it is the ratio of the budget
// window to extraAttemptsPeriod. The minimum that each instance may send, of one attempt and more, is meant
// for that period in total rather than for each window.
func (b *Balancer) eligibleInstanceShare() float64 {
	window := b.fleet.recentPlacements.timeConstant
	if b.now-b.fleet.lastResetAt >= reconnectWaveWindows*window {
		return 1
	}
	return window.Seconds() / extraAttemptsPeriod.Seconds()
}

// isInstanceEligible reports whether this instance is among the given share of instances that may, in the
// current budget window, send reconnects and retries to the cold server s up to the minimum given by
// extraAttempts. The selection depends only on the server's name and the number of the window, so all
// instances agree on it without communication, and the golden ratio makes every instance eligible equally
// often.
func (b *Balancer) isInstanceEligible(s *server, share float64) bool {
	window := math.Floor((b.now - s.StartedAt).Seconds() / s.recentAttempts.timeConstant.Seconds())
	offset := float64(ringHash(s.ID)>>32) / (1 << 32)
	position := offset + float64(b.settings.Instance)/float64(max(b.settings.Instances, 1)) + window*math.Phi
	return position-math.Floor(position) < share
}

// extraAttempts is the minimum number of attempts, on top of the first, that a cold server's budget at this
// process allows. It is divided among the instances, and among the processes of an instance. What a few
// instances send beyond the budget is within random variation; but if each of dozens of instances sent as
// many in a wave, the server would be overloaded.
func (b *Balancer) extraAttempts() float64 {
	shared := fleetExtraAttempts/float64(max(b.settings.Instances, 1)) - 1
	return min(max(shared, minExtraAttempts), maxExtraAttempts) / float64(b.settings.Processes)
}

// slowStartBudget is the number of attempts that this instance, by its own traffic, may send to s within the
// time constant of a cold server's budget.
func (b *Balancer) slowStartBudget(s *server, capacity float64) float64 {
	subsetSize := float64(max(b.drawSubset().size, 1)) // this instance's traffic is spread over these servers
	return b.slowStartPlacementRate(capacity) / subsetSize * s.recentAttempts.timeConstant.Seconds()
}

// slowStartDrawShare is the share of its draws that a cold server of the given capacity may keep within its
// budget: the slow start placement rate over the recent placement rate. The recent rate may be far above the
// usual one in a reconnect wave, whereas the slow start rate is based on first arrivals, which a wave does
// not change. It counts only first arrivals that were sent, as more may arrive than a full fleet can accept.
func (b *Balancer) slowStartDrawShare(capacity float64) float64 {
	recent := b.fleet.recentPlacements.rate(b.now)
	if recent <= 0 {
		return 1
	}
	return b.slowStartPlacementRate(capacity) / recent
}

// slowStartPlacementRate is the rate of this instance's placements, per second, at which an even share of
// them would be as many as a cold server of the given capacity may receive. At the usual rate the servers
// reach the fleet's mean load, so usualRate/load is the rate that would fill warm servers. A cold server can
// take capacity times its share of that, and fails beyond OverloadMultiple times as many. The result is
// slowStartBudgetFraction of this limit.
func (b *Balancer) slowStartPlacementRate(capacity float64) float64 {
	baseline := &b.fleet.baselinePlacements
	observedFraction := 1 - decayFactor(b.now-b.startedAt+time.Second, baseline.timeConstant)
	usualRate := baseline.rate(b.now) / observedFraction
	// If connections last longer than the slow start window, a server can accept them faster than the usual
	// rate: as fast as fills it within the window. An instance that has neither open connections nor a usual
	// rate yet assumes one connection: at a rate of 0 it would place no request.
	rules := &b.settings.Rules
	open := float64(max(b.requests.openConnections, 1))
	usualRate = max(usualRate, open/max(rules.SlowStartWindow, reportDelay).Seconds())
	load := max(b.fleet.meanLoad, minLowLoad)
	return slowStartBudgetFraction * rules.OverloadMultiple * capacity * usualRate / load
}

// capacityShare estimates the share of its capacity that a server has now; 1 once it is warm.
func (b *Balancer) capacityShare(s *server) float64 {
	age, window := b.now-s.StartedAt, b.settings.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= window {
		return 1
	}
	initial := b.settings.Rules.InitialCapacity
	return initial + (1-initial)*max(0, age.Seconds())/window.Seconds()
}
