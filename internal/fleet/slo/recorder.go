package slo

import (
	"cmp"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder records the response times that one member measures in the current interval. It is not
// safe for concurrent use.
type Recorder struct {
	cfg          Config
	member, zone string
	incarnation  int64
	seq          uint64
	interval     int64
	histograms   map[contractRegion]*hdr.PackedHistogram
	priorities   map[string]int // of the contracts in the replicated state
	dropped      int
}

// NewRecorder returns an empty recorder for a member in a zone. incarnation identifies the member's
// process and must be greater for a later process.
func NewRecorder(cfg Config, member, zone string, incarnation int64) *Recorder {
	return &Recorder{
		cfg:         cfg,
		member:      member,
		zone:        zone,
		incarnation: incarnation,
		histograms:  map[contractRegion]*hdr.PackedHistogram{},
	}
}

// SetContracts sets the known contracts. Response times of others are ignored.
func (r *Recorder) SetContracts(state State) {
	r.priorities = make(map[string]int, len(state.Contracts))
	for _, contract := range state.Contracts {
		r.priorities[contract.Name] = contract.Priority
	}
}

// Record records a response time. A request without a response is recorded with any time of at
// least maxResponseTime. Record returns the sample of the previous interval if that has ended, and
// nil otherwise.
func (r *Recorder) Record(now time.Duration, contract, region string, responseTime time.Duration) *Sample {
	finished := r.Rotate(now)
	if _, ok := r.priorities[contract]; !ok || !isValidName(region, maxNameBytes) {
		return finished
	}
	key := contractRegion{contract, region}
	histogram := r.histograms[key]
	if histogram == nil {
		// Up to twice MaxMeasurements are kept, as takeSample selects the pairs to report by
		// their counts at the end of the interval.
		if len(r.histograms) >= 2*r.cfg.MaxMeasurements {
			r.dropped++
			return finished
		}
		histogram = newPackedHistogram()
		r.histograms[key] = histogram
	}
	roundedUpMs := int64((responseTime + time.Millisecond - 1) / time.Millisecond)
	if histogram.TotalCount() < maxBucketCount {
		_ = histogram.RecordValue(min(max(roundedUpMs, lowestMs), highestMs)) // can't fail within the buckets
	}
	return finished
}

// Rotate starts a new interval if the current one has ended. It returns the sample of the ended
// interval, or nil if none has ended or nothing was recorded.
func (r *Recorder) Rotate(now time.Duration) *Sample {
	interval := r.cfg.interval(now)
	if interval <= r.interval { // if the clock went back, the current interval continues
		return nil
	}
	sample := r.takeSample()
	r.interval, r.dropped = interval, 0
	clear(r.histograms)
	return sample
}

// takeSample returns the sample of the current interval. Beyond MaxMeasurements it drops the pairs
// of the lowest priority first, and among these the ones with the fewest response times.
func (r *Recorder) takeSample() *Sample {
	if len(r.histograms) == 0 {
		return nil
	}
	r.seq++
	sample := &Sample{
		Member:      r.member,
		Zone:        r.zone,
		Incarnation: r.incarnation,
		Seq:         r.seq,
		Interval:    r.interval,
		Dropped:     r.dropped,
	}
	regionIndex := map[string]int{}
	for _, key := range r.keysByImportance() {
		index, ok := regionIndex[key.region]
		if !ok && len(sample.Regions) < maxZones {
			index, ok = len(sample.Regions), true
			regionIndex[key.region] = index
			sample.Regions = append(sample.Regions, key.region)
		}
		if len(sample.Measurements) >= r.cfg.MaxMeasurements || !ok {
			sample.Dropped++
			continue
		}
		sample.Measurements = append(sample.Measurements, Measurement{
			Contract:    key.contract,
			RegionIndex: index,
			Histogram:   encodeHistogram(r.histograms[key]),
		})
	}
	return sample
}

// keysByImportance returns the pairs sorted by the contract's priority. Within a priority, the pairs
// with the most response times come first.
func (r *Recorder) keysByImportance() []contractRegion {
	keys := make([]contractRegion, 0, len(r.histograms))
	for key := range r.histograms {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b contractRegion) int {
		return cmp.Or(
			cmp.Compare(r.priorities[a.contract], r.priorities[b.contract]),
			cmp.Compare(r.histograms[b].TotalCount(), r.histograms[a].TotalCount()),
			cmp.Compare(a.contract, b.contract),
			cmp.Compare(a.region, b.region),
		)
	})
	return keys
}
