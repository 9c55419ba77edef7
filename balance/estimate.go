package balance

// Sums that fade, small means, and the hash of the ring. Nothing is decided here.

import (
	"cmp"
	"math"
	"time"
)

// fading is a sum whose parts decay exponentially.
type decayingCounter struct {
	timeConstant time.Duration
	sum          float64
	updatedAt    time.Duration // when sum was right
}

func (c *decayingCounter) value(now time.Duration) float64 {
	return c.sum * decay(now-c.updatedAt, c.timeConstant)
}

func (c *decayingCounter) add(now time.Duration, amount float64) {
	c.sum, c.updatedAt = c.value(now)+amount, now
}

// perSecond brings the sum up to date and returns it as a rate.
func (c *decayingCounter) rate(now time.Duration) float64 {
	c.add(now, 0)
	return c.sum / c.timeConstant.Seconds()
}

func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}

// takeBack takes off what r weighs where it was sent: that attempt has come to nothing.
func (r *request) releasePlacedLoad(now time.Duration) (was *server) {
	was, r.server = r.server, nil
	if was != nil {
		was.placedLoad.add(now, -r.addedLoad*decay(now-r.startedAt, was.placedLoad.timeConstant))
	}
	return was
}

// learnTrip follows the usual time of a probe and its deviation.
func (b *Balancer) recordProbeRTT(rtt float64) {
	if b.probeRTT == 0 {
		b.probeRTT, b.probeRTTDeviation = rtt, rtt/2
		return
	}
	b.probeRTTDeviation += (math.Abs(rtt-b.probeRTT) - b.probeRTTDeviation) / 16
	b.probeRTT += (rtt - b.probeRTT) / 16
}

// fault holds a failure against s for a while.
func (b *Balancer) recordFault(s *server) {
	s.recentFaults.add(b.now, 1)
	s.observedFailures.add(b.now, 1)
}

// hash is FNV-1a with a final mix, which spreads short words that differ in
// their last letters only.
func ringHash(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

func compareRingHash(s *server, h uint64) int { return cmp.Compare(s.ringHash, h) }
