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

// Seen is what all members of a zone measured for a contract in a region in one part of
// time that is over.
type Observation struct {
	Zone      string
	Contract  string
	Region    string
	Interval  int64
	Members   int // of all zones, that measured it
	Histogram Histogram
}

// clamp is how many times the median of all members' samples of a pair one counts at most,
// as in share.
const (
	maxMedianMultiple = 3
	maxMembers        = 1024
)

// Fleet merges members' samples. It is not safe for concurrent use.
type Aggregator struct {
	cfg           Config
	samples       map[int64]map[string]*Sample // by part and member
	lastClosed    int64                        // the last part that was handed out
	internedNames map[string]string            // one copy of each name
	Dropped       int                          // cells that members had no room for, of the parts handed out last
}

// NewFleet returns a Fleet that has heard nobody.
func NewAggregator(cfg Config) *Aggregator {
	return &Aggregator{cfg: cfg, samples: map[int64]map[string]*Sample{}, internedNames: map[string]string{}}
}

// Know takes the contracts and regions that count from now on: what else samples name is
// left out.
func (a *Aggregator) SetContracts(state State, regions []Region) {
	clear(a.internedNames)
	for _, contract := range state.Contracts {
		a.internedNames[contract.Name] = contract.Name
	}
	for _, region := range regions {
		a.internedNames[region.Name] = region.Name
	}
}

// Merge takes a sample of a member that membership knows, in any order and as often as one
// likes. The error tells what is wrong with a sample; news is false for one that came
// before, too late or too early.
func (a *Aggregator) Merge(now time.Duration, sample Sample) (isNew bool, err error) {
	if err := sample.validate(a.cfg.MaxMeasurements); err != nil {
		return false, err
	}
	if sample.Interval <= a.lastClosed || sample.Interval <= a.cfg.interval(now-a.cfg.LateSampleTimeout)-1 || sample.Interval > a.cfg.interval(now+a.cfg.LateSampleTimeout) {
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
	kept := make([]Measurement, 0, len(sample.Measurements))
	for _, measurement := range sample.Measurements {
		name, ok := a.internedNames[measurement.Contract]
		if _, known := a.internedNames[sample.Regions[measurement.RegionIndex]]; ok && known {
			kept = append(kept, Measurement{name, measurement.RegionIndex, slices.Clip(measurement.Histogram)})
		}
	}
	sample.Measurements = kept
	members[sample.Member] = &sample
	return true, nil
}

// Turn hands out, once, what was seen in the parts for which no more samples are taken,
// sorted by part, contract, region and zone.
func (a *Aggregator) CloseIntervals(now time.Duration) (observations []Observation) {
	lastDue := a.cfg.interval(now-a.cfg.LateSampleTimeout) - 1
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

func (a *Aggregator) mergeInterval(interval int64) (observations []Observation) {
	members := a.samples[interval]
	type told struct {
		from string
		hist Histogram
	}
	histogramsByPair := map[contractRegion][]told{}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		sample := members[name]
		a.Dropped += sample.Dropped
		for _, measurement := range sample.Measurements {
			pair := contractRegion{measurement.Contract, sample.Regions[measurement.RegionIndex]}
			histogramsByPair[pair] = append(histogramsByPair[pair], told{sample.Zone, measurement.Histogram})
		}
	}
	pairs := slices.SortedFunc(maps.Keys(histogramsByPair), func(x, y contractRegion) int {
		return cmp.Or(cmp.Compare(x.contract, y.contract), cmp.Compare(x.region, y.region))
	})
	for _, pair := range pairs {
		counts := make([]int64, len(histogramsByPair[pair]))
		for i, zoneHist := range histogramsByPair[pair] {
			counts[i] = zoneHist.hist.Count()
		}
		slices.Sort(counts)
		limit := maxMedianMultiple * counts[(len(counts)-1)/2]
		merged := map[string]*hdr.PackedHistogram{}
		for _, zoneHist := range histogramsByPair[pair] {
			if merged[zoneHist.from] == nil {
				merged[zoneHist.from] = newPackedHistogram()
			}
			_ = zoneHist.hist.addTo(merged[zoneHist.from], limit) // sound ones lie within the buckets
		}
		for _, zone := range slices.Sorted(maps.Keys(merged)) {
			if histogram := encodeHistogram(merged[zone]); len(histogram) > 0 {
				observations = append(observations, Observation{zone, pair.contract, a.intern(pair.region), interval, len(counts), histogram})
			}
		}
	}
	return observations
}

// name returns the one copy of a name, so that what is kept holds no sample's memory.
func (a *Aggregator) intern(name string) string {
	if interned, ok := a.internedNames[name]; ok {
		return interned
	}
	return name
}

// Cells is how many cells wait for their part's end.
func (a *Aggregator) PendingMeasurements() (count int) {
	for _, members := range a.samples {
		for _, sample := range members {
			count += len(sample.Measurements)
		}
	}
	return min(count, math.MaxInt32)
}
