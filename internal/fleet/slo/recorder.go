package slo

import (
	"cmp"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Recorder counts what one member measures in the current interval. It is not safe for
// concurrent use.
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

// NewRecorder returns an empty recorder of a member in a zone. incarnation tells its process
// from earlier ones; a later process has a greater one.
func NewRecorder(cfg Config, member, zone string, incarnation int64) *Recorder {
	return &Recorder{
		cfg:         cfg,
		member:      member,
		zone:        zone,
		incarnation: incarnation,
		histograms:  map[contractRegion]*hdr.PackedHistogram{},
	}
}

// SetContracts takes the contracts that count from now on.
func (r *Recorder) SetContracts(state State) {
	r.priorities = make(map[string]int, len(state.Contracts))
	for _, contract := range state.Contracts {
		r.priorities[contract.Name] = contract.Priority
	}
}

// Record counts a response time; for a request that got no answer any long time will do. It
// returns the sample of the interval before, once that is over, and else nil.
func (r *Recorder) Record(now time.Duration, contract, region string, responseTime time.Duration) *Sample {
	finished := r.Rotate(now)
	if _, ok := r.priorities[contract]; !ok || !isValidName(region, maxNameBytes) {
		return finished
	}
	key := contractRegion{contract, region}
	histogram := r.histograms[key]
	if histogram == nil {
		// Twice as many as are reported: which ones are dropped is known at the end only.
		if len(r.histograms) >= 2*r.cfg.MaxMeasurements {
			r.dropped++
			return finished
		}
		histogram = newPackedHistogram()
		r.histograms[key] = histogram
	}
	roundedUpMs := int64((responseTime + time.Millisecond - 1) / time.Millisecond)
	if histogram.TotalCount() < maxBucketCount {
		_ = histogram.RecordValue(min(max(roundedUpMs, lowestMs), highestMs)) // always within the buckets
	}
	return finished
}

// Rotate returns the sample of the interval that was current, if it is over and holds anything.
func (r *Recorder) Rotate(now time.Duration) *Sample {
	interval := r.cfg.interval(now)
	if interval <= r.interval { // a clock that went back adds to the current interval
		return nil
	}
	sample := r.takeSample()
	r.interval, r.dropped = interval, 0
	clear(r.histograms)
	return sample
}

// takeSample returns what was counted. Beyond MaxMeasurements, the pairs with the lowest
// priority are dropped first, and of these the least used.
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

// keysByImportance returns the pairs with the most important contract first, of equal ones the
// most used.
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
