package slo

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Cell is what a member measured for a contract in a region.
type Measurement struct {
	Contract    string    `json:"c"`
	RegionIndex int       `json:"r"` // in the sample's Regions
	Histogram   Histogram `json:"h"`
}

// Sample is a member's word on one part of time. A later one on the same part replaces it.
type Sample struct {
	Member       string        `json:"member"`
	Zone         string        `json:"from"` // the member's zone
	Incarnation  int64         `json:"boot"` // of its process; a later one replaces all
	Seq          uint64        `json:"seq"`
	Interval     int64         `json:"slot"` // the number of the part
	Regions      []string      `json:"regions"`
	Measurements []Measurement `json:"cells"`
	Dropped      int           `json:"dropped,omitempty"` // cells that there was no room for
}

const maxMeasurementsLimit = 4096

// newer tells whether a sample replaces another of its member and part.
func (s *Sample) isNewerThan(other *Sample) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, other.Incarnation), cmp.Compare(s.Seq, other.Seq)) > 0
}

// sound says what makes a sample one that can't be true: it comes from outside.
func (s *Sample) validate(maxMeasurements int) error {
	switch {
	case !isValidName(s.Member, 64) || !isValidName(s.Zone, 64):
		return fmt.Errorf("sample of member %.64q: member and from are names of 1 to 64 bytes", s.Member)
	case len(s.Regions) > maxZones:
		return fmt.Errorf("sample of member %q: %d regions, at most %d", s.Member, len(s.Regions), maxZones)
	case s.Dropped < 0 || s.Dropped > 1e6:
		return fmt.Errorf("sample of member %q: %d cells dropped", s.Member, s.Dropped)
	case len(s.Measurements) > maxMeasurements:
		return fmt.Errorf("sample of member %q: %d cells, at most %d", s.Member, len(s.Measurements), maxMeasurements)
	}
	for i, region := range s.Regions {
		if !isValidName(region, 64) || slices.Contains(s.Regions[:i], region) {
			return fmt.Errorf("sample of member %q: region %.64q: names of 1 to 64 bytes, each once", s.Member, region)
		}
	}
	seen := make(map[contractRegion]bool, len(s.Measurements))
	for _, measurement := range s.Measurements {
		if measurement.RegionIndex < 0 || measurement.RegionIndex >= len(s.Regions) {
			return fmt.Errorf("sample of member %q: contract %.64q: region %d is none of its own", s.Member, measurement.Contract, measurement.RegionIndex)
		}
		pair := contractRegion{measurement.Contract, s.Regions[measurement.RegionIndex]}
		if seen[pair] || !isValidName(measurement.Contract, 64) || !measurement.Histogram.isPlausible() {
			return fmt.Errorf("sample of member %q: contract %.64q, region %q: no histogram, or a second one", s.Member, measurement.Contract, pair.region)
		}
		seen[pair] = true
	}
	return nil
}

type contractRegion struct{ contract, region string }

// Tally is what one member measures in the part of time that runs. It is not safe for
// concurrent use.
type Recorder struct {
	cfg          Config
	member, zone string
	incarnation  int64
	seq          uint64
	interval     int64
	histograms   map[contractRegion]*hdr.PackedHistogram
	priorities   map[string]int // of the contracts that the record has
	dropped      int
}

// NewTally returns an empty tally of a member in a zone, of a process started at boot.
func NewRecorder(cfg Config, member, zone string, incarnation int64) *Recorder {
	return &Recorder{cfg: cfg, member: member, zone: zone, incarnation: incarnation, histograms: map[contractRegion]*hdr.PackedHistogram{}}
}

// Know takes the contracts that count from now on.
func (r *Recorder) SetContracts(state State) {
	r.priorities = make(map[string]int, len(state.Contracts))
	for _, contract := range state.Contracts {
		r.priorities[contract.Name] = contract.Priority
	}
}

// Record takes a response time; a request that got no answer took longest. It returns the
// sample of the part before, once that is over.
func (r *Recorder) Record(now time.Duration, contract, region string, responseTime time.Duration) *Sample {
	finished := r.Rotate(now)
	if _, ok := r.priorities[contract]; !ok || !isValidName(region, 64) {
		return finished
	}
	pair := contractRegion{contract, region}
	histogram := r.histograms[pair]
	if histogram == nil {
		// Twice of what is told: what goes first is known at the end only.
		if len(r.histograms) >= 2*r.cfg.MaxMeasurements {
			r.dropped++
			return finished
		}
		histogram = newPackedHistogram()
		r.histograms[pair] = histogram
	}
	ms := min(max(int64((responseTime+time.Millisecond-1)/time.Millisecond), lowestMs), highestMs)
	if histogram.TotalCount() < maxBucketCount {
		_ = histogram.RecordValue(ms) // always within the buckets
	}
	return finished
}

// Turn returns the sample of the part that was under way, if it is over and holds anything.
func (r *Recorder) Rotate(now time.Duration) *Sample {
	interval := r.cfg.interval(now)
	if interval <= r.interval { // a clock that went back adds to what is under way
		return nil
	}
	sample := r.takeSample()
	r.interval, r.dropped = interval, 0
	clear(r.histograms)
	return sample
}

// sample tells what is there. Where that is too much, the pairs of the least priority go
// first, and of these the least used.
func (r *Recorder) takeSample() *Sample {
	if len(r.histograms) == 0 {
		return nil
	}
	pairs := make([]contractRegion, 0, len(r.histograms))
	for pair := range r.histograms {
		pairs = append(pairs, pair)
	}
	slices.SortFunc(pairs, func(x, y contractRegion) int {
		return cmp.Or(cmp.Compare(r.priorities[x.contract], r.priorities[y.contract]),
			cmp.Compare(r.histograms[y].TotalCount(), r.histograms[x].TotalCount()),
			cmp.Compare(x.contract, y.contract), cmp.Compare(x.region, y.region))
	})
	r.seq++
	sample := &Sample{Member: r.member, Zone: r.zone, Incarnation: r.incarnation, Seq: r.seq, Interval: r.interval, Dropped: r.dropped}
	regionIndex := map[string]int{}
	for _, pair := range pairs {
		index, ok := regionIndex[pair.region]
		if !ok && len(sample.Regions) < maxZones {
			index, ok = len(sample.Regions), true
			regionIndex[pair.region], sample.Regions = index, append(sample.Regions, pair.region)
		}
		if len(sample.Measurements) >= r.cfg.MaxMeasurements || !ok {
			sample.Dropped++
			continue
		}
		sample.Measurements = append(sample.Measurements, Measurement{Contract: pair.contract, RegionIndex: index, Histogram: encodeHistogram(r.histograms[pair])})
	}
	return sample
}
