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

func encodeHistogram(packed *hdr.PackedHistogram) Histogram {
	var encoded Histogram
	last := int64(0)
	packed.ForEachBucket(func(value, count int64) bool {
		encoded = binary.AppendUvarint(binary.AppendUvarint(encoded, uint64(value-last)), uint64(min(count, math.MaxUint32)))
		last = value
		return true
	})
	return encoded
}

// each calls f with every bucket's time in ms and count, and returns false where h is none.
func (h Histogram) forEachBucket(visit func(ms, count int64)) bool {
	ms := int64(0)
	for first := true; len(h) > 0; first = false {
		step, stepBytes := binary.Uvarint(h)
		if stepBytes <= 0 || step > uint64(highestMs) || step == 0 && !first {
			return false
		}
		count, countBytes := binary.Uvarint(h[stepBytes:])
		if ms += int64(step); countBytes <= 0 || count == 0 || count > math.MaxUint32 || ms > highestMs {
			return false
		}
		visit(ms, int64(count))
		h = h[stepBytes+countBytes:]
	}
	return true
}

// sound tells whether a histogram from outside can be true.
func (h Histogram) isPlausible() bool {
	plausible := len(h) > 0 && len(h) <= maxHistogramBytes
	return plausible && h.forEachBucket(func(_, count int64) { plausible = plausible && count <= maxBucketCount }) && plausible
}

// All is how many times are in it.
func (h Histogram) Count() (total int64) {
	h.forEachBucket(func(_, count int64) { total += count })
	return total
}

// Over is how many of them are above a bound. The bucket in which the bound lies counts as
// above it: a promise is never said to be kept that is not.
func (h Histogram) CountAbove(objective time.Duration) (total int64) {
	h.forEachBucket(func(ms, count int64) {
		if isAbove(ms, int64(objective/time.Millisecond)) {
			total += count
		}
	})
	return total
}

func isAbove(ms, objective int64) bool {
	return ms > objective || bucketLayout.ValuesAreEquivalent(ms, objective) && bucketLayout.ValuesAreEquivalent(objective, objective+1)
}

// into adds the histogram, scaled to weigh no more than most; the sum of what is added is
// exact, and a bucket's part off by less than one.
func (h Histogram) addTo(packed *hdr.PackedHistogram, limit int64) error {
	total, cumulative, added := h.Count(), int64(0), int64(0)
	var err error
	h.forEachBucket(func(ms, count int64) {
		cumulative += count
		if total > limit {
			count = cumulative*limit/total - added
		}
		if added += count; count > 0 && err == nil {
			err = packed.RecordValues(ms, count)
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
