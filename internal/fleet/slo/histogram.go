package slo

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// maxResponseTime is the value recorded for longer times and for requests without a response.
const maxResponseTime = time.Minute

// All histograms have the same buckets, so they merge exactly: buckets are 1 ms wide up to 32 ms,
// and each further doubling is divided into 16 buckets, so no bucket is wider than a sixteenth of
// its time.
const (
	lowestMs, highestMs = 1, int64(maxResponseTime / time.Millisecond)
	significantDigits   = 1

	maxBucketCount    = 1_000_000 // per bucket of a sample
	maxHistogramBytes = 1024      // in encoded form
)

// bucketLayout defines the bucket boundaries. No values are recorded in it.
var bucketLayout = hdr.New(lowestMs, highestMs, significantDigits)

// Histogram is an encoded histogram. For each non-empty bucket, in ascending order, it contains two
// varints: the distance in ms from the previous bucket, and the count.
type Histogram []byte

func newPackedHistogram() *hdr.PackedHistogram {
	return hdr.NewPacked(lowestMs, highestMs, significantDigits)
}

func encodeHistogram(packed *hdr.PackedHistogram) Histogram {
	var encoded Histogram
	last := int64(0)
	packed.ForEachBucket(func(ms, count int64) bool {
		encoded = binary.AppendUvarint(encoded, uint64(ms-last))
		encoded = binary.AppendUvarint(encoded, uint64(min(count, math.MaxUint32)))
		last = ms
		return true
	})
	return encoded
}

// forEachBucket calls visit with the time in ms and the count of every bucket. It returns false if
// the encoding is invalid.
func (h Histogram) forEachBucket(visit func(ms, count int64)) bool {
	ms := int64(0)
	for first := true; len(h) > 0; first = false {
		step, stepBytes := binary.Uvarint(h)
		if stepBytes <= 0 || step > uint64(highestMs) || step == 0 && !first {
			return false
		}
		count, countBytes := binary.Uvarint(h[stepBytes:])
		ms += int64(step)
		if countBytes <= 0 || count == 0 || count > math.MaxUint32 || ms > highestMs {
			return false
		}
		visit(ms, int64(count))
		h = h[stepBytes+countBytes:]
	}
	return true
}

// isPlausible reports whether an untrusted histogram is validly encoded and within the limits.
func (h Histogram) isPlausible() bool {
	if len(h) == 0 || len(h) > maxHistogramBytes {
		return false
	}
	plausible := true
	isValid := h.forEachBucket(func(_, count int64) { plausible = plausible && count <= maxBucketCount })
	return isValid && plausible
}

// Count returns the number of response times in the histogram.
func (h Histogram) Count() (total int64) {
	h.forEachBucket(func(_, count int64) { total += count })
	return total
}

// CountAbove returns the number of response times above an objective. The bucket that contains the
// objective counts as above it, so that an objective is never reported as met by mistake.
func (h Histogram) CountAbove(objective time.Duration) (total int64) {
	h.forEachBucket(func(ms, count int64) {
		if isAbove(ms, int64(objective/time.Millisecond)) {
			total += count
		}
	})
	return total
}

func isAbove(ms, objectiveMs int64) bool {
	if ms > objectiveMs {
		return true
	}
	// If the objective is the end of its bucket, all times in the bucket meet it.
	return bucketLayout.ValuesAreEquivalent(ms, objectiveMs) &&
		bucketLayout.ValuesAreEquivalent(objectiveMs, objectiveMs+1)
}

// addTo adds the histogram to packed. A histogram of more than limit response times is scaled down
// to limit: the total is exact, and each bucket's count is off by less than one.
func (h Histogram) addTo(packed *hdr.PackedHistogram, limit int64) error {
	total, cumulative, added := h.Count(), int64(0), int64(0)
	var err error
	h.forEachBucket(func(ms, count int64) {
		cumulative += count
		if total > limit {
			count = cumulative*limit/total - added
		}
		added += count
		if count > 0 && err == nil {
			err = packed.RecordValues(ms, count)
		}
	})
	if err != nil {
		return fmt.Errorf("histogram: %w", err)
	}
	return nil
}
