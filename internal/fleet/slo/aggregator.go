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

// Observation is what all members of a zone measured for a contract in a region in one
// interval that is over.
type Observation struct {
	Zone      string
	Contract  string
	Region    string
	Interval  int64 // its number
	Members   int   // of all zones, that measured it
	Histogram Histogram
}

const (
	// maxMedianMultiple is how many times the median of all members' counts of a pair one
	// member counts at most.
	maxMedianMultiple = 3
	maxMembers        = 1024
)

// Aggregator merges members' samples. It is not safe for concurrent use.
type Aggregator struct {
	// Dropped is how many measurements members dropped in the intervals closed last.
	Dropped int

	cfg           Config
	samples       map[int64]map[string]*Sample // by interval and member
	lastClosed    int64                        // interval
	internedNames map[string]string            // one copy of each known name
}

// NewAggregator returns an aggregator without samples.
func NewAggregator(cfg Config) *Aggregator {
	return &Aggregator{cfg: cfg, samples: map[int64]map[string]*Sample{}, internedNames: map[string]string{}}
}

// SetContracts takes the contracts and regions that count from now on. Measurements of others
// are ignored.
func (a *Aggregator) SetContracts(state State, regions []Region) {
	clear(a.internedNames)
	for _, contract := range state.Contracts {
		a.internedNames[contract.Name] = contract.Name
	}
	for _, region := range regions {
		a.internedNames[region.Name] = region.Name
	}
}

// Merge takes a sample of a member that membership knows, in any order and repeatedly. The
// error says why a sample is rejected; isNew is false for one that came before, too late or
// too early.
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
		return false, fmt.Errorf("sample of member %q: %d members have told already", sample.Member, len(members))
	}
	sample.Measurements = a.knownMeasurements(&sample)
	members[sample.Member] = &sample
	return true, nil
}

// lastDue is the last interval for which no more samples are waited for.
func (a *Aggregator) lastDue(now time.Duration) int64 {
	return a.cfg.interval(now-a.cfg.LateSampleTimeout) - 1
}

// knownMeasurements returns a sample's measurements of known contracts and regions.
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

// CloseIntervals returns, once, the observations of the intervals for which no more samples
// are taken, sorted by interval, contract, region and zone.
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

// zoneHistogram is one member's histogram, with the member's zone.
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

// mergeByZone adds up members' histograms by zone, each limited to a multiple of the median.
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
		_ = member.histogram.addTo(merged[member.zone], limit) // plausible ones lie within the buckets
	}
	return merged
}

// intern returns the one copy of a name, so that what is kept holds no sample's memory.
func (a *Aggregator) intern(name string) string {
	if interned, ok := a.internedNames[name]; ok {
		return interned
	}
	return name
}

// PendingMeasurements is how many measurements wait for their interval's end.
func (a *Aggregator) PendingMeasurements() (count int) {
	for _, members := range a.samples {
		for _, sample := range members {
			count += len(sample.Measurements)
		}
	}
	return min(count, math.MaxInt32)
}
