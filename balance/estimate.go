package balance

// Decaying counters, and estimates for the whole fleet that are based on them. This file contains no
// decision logic.

import (
	"math"
	"time"
)

// decayingCounter is a sum whose terms decay exponentially with their age, as in an EWMA.
type decayingCounter struct {
	timeConstant time.Duration // the time in which a term decays to 1/e of itself
	sum          float64       // at updatedAt
	updatedAt    time.Duration
}

// value is the sum, decayed to now.
func (c *decayingCounter) value(now time.Duration) float64 {
	if c.sum == 0 {
		return 0 // avoids the exponential: in a large fleet most counters are 0
	}
	return c.sum * decayFactor(now-c.updatedAt, c.timeConstant)
}

// add decays the sum to now and adds amount.
func (c *decayingCounter) add(now time.Duration, amount float64) {
	c.sum = c.value(now) + amount
	c.updatedAt = now
}

// rate decays the sum to now and returns it as a rate per second.
func (c *decayingCounter) rate(now time.Duration) float64 {
	c.add(now, 0)
	return c.sum / c.timeConstant.Seconds()
}

// decayFactor is the part of a term that remains at the given age.
func decayFactor(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// recordProbeRTT updates the averages of a probe's round-trip time and of its deviation, in seconds.
func (f *fleetEstimate) recordProbeRTT(rtt float64) {
	if f.probeRTT == 0 {
		f.probeRTT, f.probeRTTDeviation = rtt, rtt/2
		return
	}
	f.probeRTTDeviation += (math.Abs(rtt-f.probeRTT) - f.probeRTTDeviation) / 16
	f.probeRTT += (rtt - f.probeRTT) / 16
}

// maxHintSamples is the number of load hints that their running mean averages.
const maxHintSamples = 64

// loadFactor returns the ratio of a hint to the mean of all hints, and adds the hint to the mean. The ratio
// is bounded, so that one client's extreme hint cannot reduce the weight of all other connections to nothing.
// It is 1 for a hint that is not a finite number above 0.
func (f *fleetEstimate) loadFactor(hint float64) float64 {
	if !(hint > 0) || math.IsInf(hint, 1) {
		return 1
	}
	if f.hintSamples == 0 {
		f.meanHint = hint
	}
	f.hintSamples = min(f.hintSamples+1, maxHintSamples)
	factor := min(max(hint/f.meanHint, 1/maxLoadFactor), maxLoadFactor)
	f.meanHint += (factor - 1) * f.meanHint / f.hintSamples
	return factor
}

// recordFault counts a failure of s that this instance has observed.
func (b *Balancer) recordFault(s *server) {
	s.recentFaults.add(b.now, 1)
	s.observedFailures.add(b.now, 1)
}

// updateFewestFaults updates fleet.fewestFaults, the smallest number of recent faults of any ready server.
func (b *Balancer) updateFewestFaults() {
	b.fleet.fewestFaults = 0
	for i, s := range b.servers.ready {
		if faults := s.recentFaults.value(b.now); i == 0 || faults < b.fleet.fewestFaults {
			b.fleet.fewestFaults = faults
		}
	}
}
