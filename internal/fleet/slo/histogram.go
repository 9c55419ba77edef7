package slo

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// maxResponseTime is what longer times, and requests that got no answer, count as.
const maxResponseTime = time.Minute

// All histograms have the same buckets: 1 ms wide up to 32 ms, then 16 for each doubling, so
// none is wider than a sixteenth of its time. Equal buckets merge exactly.
const (
	lowestMs, highestMs = 1, int64(maxResponseTime / time.Millisecond)
	significantDigits   = 1

	maxBucketCount    = 1_000_000 // in a bucket of one sample
	maxHistogramBytes = 1024      // encoded
)

// bucketLayout only says where the buckets lie; nothing is recorded in it.
var bucketLayout = hdr.New(lowestMs, highestMs, significantDigits)

// Histogram is an encoded histogram: for each bucket that is not empty, by time, the distance
// in ms to the one before and the count, as varints.
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

// forEachBucket visits every bucket's time in ms and count, and returns false where the
// encoding is invalid.
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

// isPlausible reports whether a histogram from another member can be true.
func (h Histogram) isPlausible() bool {
	if len(h) == 0 || len(h) > maxHistogramBytes {
		return false
	}
	plausible := true
	isValid := h.forEachBucket(func(_, count int64) { plausible = plausible && count <= maxBucketCount })
	return isValid && plausible
}

// Count is how many response times are in the histogram.
func (h Histogram) Count() (total int64) {
	h.forEachBucket(func(_, count int64) { total += count })
	return total
}

// CountAbove is how many of them miss an objective. The bucket in which the objective lies
// counts as above it, so that no objective is said to be met that is not.
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
	// An objective at the end of its bucket is met by the whole bucket.
	return bucketLayout.ValuesAreEquivalent(ms, objectiveMs) &&
		bucketLayout.ValuesAreEquivalent(objectiveMs, objectiveMs+1)
}

// addTo adds the histogram, scaled down to limit response times if it holds more. The sum of
// what is added is exact, and a bucket's part off by less than one.
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
