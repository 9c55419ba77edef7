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

func (f *decayingCounter) value(now time.Duration) float64 {
	return f.sum * decay(now-f.updatedAt, f.timeConstant)
}

func (f *decayingCounter) add(now time.Duration, n float64) { f.sum, f.updatedAt = f.value(now)+n, now }

// perSecond brings the sum up to date and returns it as a rate.
func (f *decayingCounter) rate(now time.Duration) float64 {
	f.add(now, 0)
	return f.sum / f.timeConstant.Seconds()
}

func decay(age, span time.Duration) float64 { return math.Exp(-float64(age) / float64(span)) }

// takeBack takes off what r weighs where it was sent: that attempt has come to nothing.
func (r *request) releasePlacedLoad(now time.Duration) (was *server) {
	was, r.server = r.server, nil
	if was != nil {
		was.placedLoad.add(now, -r.placedWeight*decay(now-r.startedAt, was.placedLoad.timeConstant))
	}
	return was
}

// learnTrip follows the usual time of a probe and its deviation.
func (b *Balancer) recordProbeRTT(t float64) {
	if b.probeRTT == 0 {
		b.probeRTT, b.probeRTTDeviation = t, t/2
		return
	}
	b.probeRTTDeviation += (math.Abs(t-b.probeRTT) - b.probeRTTDeviation) / 16
	b.probeRTT += (t - b.probeRTT) / 16
}

// fault holds a failure against s for a while.
func (b *Balancer) recordFault(s *server) {
	s.recentFaults.add(b.now, 1)
	s.observedFailures.add(b.now, 1)
}

// hash is FNV-1a with a final mix, which spreads short words that differ in
// their last letters only.
func ringHash(word string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(word) {
		h = (h ^ uint64(word[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

func compareRingHash(s *server, h uint64) int { return cmp.Compare(s.ringHash, h) }
