package balance

// Sums that fade, small means, and the hash of the ring. Nothing is decided here.

import (
	"cmp"
	"math"
	"time"
)

// fading is a sum whose parts decay exponentially.
type fading struct {
	span time.Duration
	sum  float64
	at   time.Duration // when sum was right
}

func (f *fading) left(now time.Duration) float64 { return f.sum * decay(now-f.at, f.span) }

func (f *fading) add(now time.Duration, n float64) { f.sum, f.at = f.left(now)+n, now }

// perSecond brings the sum up to date and returns it as a rate.
func (f *fading) perSecond(now time.Duration) float64 {
	f.add(now, 0)
	return f.sum / f.span.Seconds()
}

func decay(age, span time.Duration) float64 { return math.Exp(-float64(age) / float64(span)) }

// takeBack takes off what r weighs where it was sent: that attempt has come to nothing.
func (r *request) takeBack(now time.Duration) (was *server) {
	was, r.at = r.at, nil
	if was != nil {
		was.placed.add(now, -r.weight*decay(now-r.since, was.placed.span))
	}
	return was
}

// learnTrip follows the usual time of a probe and its deviation.
func (b *Balancer) learnTrip(t float64) {
	if b.rtt == 0 {
		b.rtt, b.rttDev = t, t/2
		return
	}
	b.rttDev += (math.Abs(t-b.rtt) - b.rttDev) / 16
	b.rtt += (t - b.rtt) / 16
}

// fault holds a failure against s for a while.
func (b *Balancer) fault(s *server) {
	s.faults.add(b.now, 1)
	s.failed.add(b.now, 1)
}

// hash is FNV-1a with a final mix, which spreads short words that differ in
// their last letters only.
func hash(word string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(word) {
		h = (h ^ uint64(word[i])) * 1099511628211
	}
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	return h ^ h>>33
}

func byHash(s *server, h uint64) int { return cmp.Compare(s.hash, h) }
