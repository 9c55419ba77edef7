package slo

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Observation is the merged measurement of all members of a zone for one contract in one region
// and one completed interval.
type Observation struct {
	Zone      string
	Contract  string
	Region    string
	Interval  int64 // number of the interval
	Members   int   // number of members, in all zones, that measured the contract in the region
	Histogram Histogram
}

const (
	// maxMedianMultiple limits the weight of one member: its count for a pair of contract and
	// region is capped at this multiple of the median of all members' counts.
	maxMedianMultiple = 3
	maxMembers        = 1024
)

// Aggregator merges members' samples. It is not safe for concurrent use.
type Aggregator struct {
	// Dropped is the number of measurements that members dropped in the last closed intervals.
	Dropped int

	cfg           Config
	samples       map[int64]map[string]*Sample // by interval and member name
	lastClosed    int64                        // number of the interval
	internedNames map[string]string            // one shared copy of each known name
}

// NewAggregator returns an aggregator without samples.
func NewAggregator(cfg Config) *Aggregator {
	return &Aggregator{cfg: cfg, samples: map[int64]map[string]*Sample{}, internedNames: map[string]string{}}
}

// SetContracts sets the known contracts and regions. Measurements of others are ignored.
func (a *Aggregator) SetContracts(state State, regions []Region) {
	clear(a.internedNames)
	for _, contract := range state.Contracts {
		a.internedNames[contract.Name] = contract.Name
	}
	for _, region := range regions {
		a.internedNames[region.Name] = region.Name
	}
}

// Merge adds a sample of a member in the membership list. Samples may arrive in any order and more
// than once; isNew is false for a sample that is a duplicate, outdated, too late or too early. An
// invalid sample is rejected with an error.
func (a *Aggregator) Merge(now time.Duration, sample Sample) (isNew bool, err error) {
	if err := sample.validate(a.cfg.MaxMeasurements); err != nil {
		return false, err
	}
	isTooLate := sample.Interval <= max(a.lastClosed, a.lastDue(now))
	isTooEarly := sample.Interval > a.cfg.interval(now+a.cfg.LateSampleTimeout)
	if isTooLate || isTooEarly {
		return false, nil
	}
	members := a.samples[sample.Interval]
	if members == nil {
		members = map[string]*Sample{}
		a.samples[sample.Interval] = members
	}
	previous := members[sample.Member]
	if previous != nil && !sample.isNewerThan(previous) {
		return false, nil
	}
	if previous == nil && len(members) >= maxMembers {
		return false, fmt.Errorf("sample of member %q: %d members have reported already",
			sample.Member, len(members))
	}
	sample.Measurements = a.knownMeasurements(&sample)
	members[sample.Member] = &sample
	return true, nil
}

// lastDue returns the last interval for which the LateSampleTimeout is over.
func (a *Aggregator) lastDue(now time.Duration) int64 {
	return a.cfg.interval(now-a.cfg.LateSampleTimeout) - 1
}

// knownMeasurements returns the measurements of a sample whose contract and region are known.
func (a *Aggregator) knownMeasurements(sample *Sample) []Measurement {
	kept := make([]Measurement, 0, len(sample.Measurements))
	for _, measurement := range sample.Measurements {
		contract, contractKnown := a.internedNames[measurement.Contract]
		_, regionKnown := a.internedNames[sample.Regions[measurement.RegionIndex]]
		if contractKnown && regionKnown {
			kept = append(kept, Measurement{contract, measurement.RegionIndex, slices.Clip(measurement.Histogram)})
		}
	}
	return kept
}

// CloseIntervals closes the intervals for which the LateSampleTimeout is over. It returns their
// observations, sorted by interval, contract, region and zone, and returns each of them only once.
func (a *Aggregator) CloseIntervals(now time.Duration) (observations []Observation) {
	lastDue := a.lastDue(now)
	if lastDue <= a.lastClosed {
		return nil
	}
	a.lastClosed, a.Dropped = lastDue, 0
	for _, interval := range slices.Sorted(maps.Keys(a.samples)) {
		if interval <= lastDue {
			observations = append(observations, a.mergeInterval(interval)...)
			delete(a.samples, interval)
		}
	}
	return observations
}

// zoneHistogram is one member's histogram together with the member's zone.
type zoneHistogram struct {
	zone      string
	histogram Histogram
}

func (a *Aggregator) mergeInterval(interval int64) (observations []Observation) {
	members := a.samples[interval]
	reported := map[contractRegion][]zoneHistogram{}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		sample := members[name]
		a.Dropped += sample.Dropped
		for _, measurement := range sample.Measurements {
			key := sample.key(measurement)
			reported[key] = append(reported[key], zoneHistogram{sample.Zone, measurement.Histogram})
		}
	}
	keys := slices.SortedFunc(maps.Keys(reported), func(x, y contractRegion) int {
		return cmp.Or(cmp.Compare(x.contract, y.contract), cmp.Compare(x.region, y.region))
	})
	for _, key := range keys {
		merged := mergeByZone(reported[key])
		for _, zone := range slices.Sorted(maps.Keys(merged)) {
			histogram := encodeHistogram(merged[zone])
			if len(histogram) == 0 {
				continue
			}
			observations = append(observations, Observation{
				Zone:      zone,
				Contract:  key.contract,
				Region:    a.intern(key.region),
				Interval:  interval,
				Members:   len(reported[key]),
				Histogram: histogram,
			})
		}
	}
	return observations
}

// mergeByZone merges the members' histograms by zone. Each one's count is limited to
// maxMedianMultiple times the median of all counts.
func mergeByZone(reported []zoneHistogram) map[string]*hdr.PackedHistogram {
	counts := make([]int64, len(reported))
	for i, member := range reported {
		counts[i] = member.histogram.Count()
	}
	slices.Sort(counts)
	limit := maxMedianMultiple * counts[(len(counts)-1)/2]
	merged := map[string]*hdr.PackedHistogram{}
	for _, member := range reported {
		if merged[member.zone] == nil {
			merged[member.zone] = newPackedHistogram()
		}
		_ = member.histogram.addTo(merged[member.zone], limit) // plausible values lie within the buckets
	}
	return merged
}

// intern returns the shared copy of a name, so that observations do not keep a sample's memory
// alive.
func (a *Aggregator) intern(name string) string {
	if interned, ok := a.internedNames[name]; ok {
		return interned
	}
	return name
}

// PendingMeasurements returns the number of measurements in intervals that are not closed yet.
func (a *Aggregator) PendingMeasurements() (count int) {
	for _, members := range a.samples {
		for _, sample := range members {
			count += len(sample.Measurements)
		}
	}
	return min(count, math.MaxInt32)
}
