package slo

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// longest is what a longer time counts as, and what never came.
const maxResponseTime = time.Minute

// All histograms have these buckets: 1 ms wide up to 32 ms, then 16 for each doubling, so
// none is wider than a sixteenth of its time. Equal buckets merge exactly.
const (
	lowestMs, highestMs, significantFigures = 1, int64(maxResponseTime / time.Millisecond), 1
	maxBucketCount                          = 1_000_000 // in a bucket of one sample
	maxHistogramBytes                       = 1024      // of a histogram as it is told
)

// buckets only tells where they lie; nothing is recorded in it.
var bucketLayout = hdr.New(lowestMs, highestMs, significantFigures)

// Hist is a histogram as it is told and kept: for each bucket that holds something, by
// time, the distance in ms to the one before and the count, as varints.
type Histogram []byte

func encodeHistogram(p *hdr.PackedHistogram) Histogram {
	var h Histogram
	last := int64(0)
	p.ForEachBucket(func(value, count int64) bool {
		h = binary.AppendUvarint(binary.AppendUvarint(h, uint64(value-last)), uint64(min(count, math.MaxUint32)))
		last = value
		return true
	})
	return h
}

// each calls f with every bucket's time in ms and count, and returns false where h is none.
func (h Histogram) forEachBucket(f func(ms, count int64)) bool {
	ms := int64(0)
	for first := true; len(h) > 0; first = false {
		step, n := binary.Uvarint(h)
		if n <= 0 || step > uint64(highestMs) || step == 0 && !first {
			return false
		}
		count, m := binary.Uvarint(h[n:])
		if ms += int64(step); m <= 0 || count == 0 || count > math.MaxUint32 || ms > highestMs {
			return false
		}
		f(ms, int64(count))
		h = h[n+m:]
	}
	return true
}

// sound tells whether a histogram from outside can be true.
func (h Histogram) isPlausible() bool {
	good := len(h) > 0 && len(h) <= maxHistogramBytes
	return good && h.forEachBucket(func(_, count int64) { good = good && count <= maxBucketCount }) && good
}

// All is how many times are in it.
func (h Histogram) Count() (all int64) {
	h.forEachBucket(func(_, count int64) { all += count })
	return all
}

// Over is how many of them are above a bound. The bucket in which the bound lies counts as
// above it: a promise is never said to be kept that is not.
func (h Histogram) CountAbove(bound time.Duration) (over int64) {
	h.forEachBucket(func(ms, count int64) {
		if isAbove(ms, int64(bound/time.Millisecond)) {
			over += count
		}
	})
	return over
}

func isAbove(ms, bound int64) bool {
	return ms > bound || bucketLayout.ValuesAreEquivalent(ms, bound) && bucketLayout.ValuesAreEquivalent(bound, bound+1)
}

// into adds the histogram, scaled to weigh no more than most; the sum of what is added is
// exact, and a bucket's part off by less than one.
func (h Histogram) addTo(p *hdr.PackedHistogram, most int64) error {
	all, sum, added := h.Count(), int64(0), int64(0)
	var err error
	h.forEachBucket(func(ms, count int64) {
		sum += count
		if all > most {
			count = sum*most/all - added
		}
		if added += count; count > 0 && err == nil {
			err = p.RecordValues(ms, count)
		}
	})
	if err != nil {
		return fmt.Errorf("histogram: %w", err)
	}
	return nil
}

func newPackedHistogram() *hdr.PackedHistogram {
	return hdr.NewPacked(lowestMs, highestMs, significantFigures)
}
