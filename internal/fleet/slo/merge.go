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
func (f *Aggregator) SetContracts(s State, regions []Region) {
	clear(f.internedNames)
	for _, c := range s.Contracts {
		f.internedNames[c.Name] = c.Name
	}
	for _, r := range regions {
		f.internedNames[r.Name] = r.Name
	}
}

// Merge takes a sample of a member that membership knows, in any order and as often as one
// likes. The error tells what is wrong with a sample; news is false for one that came
// before, too late or too early.
func (f *Aggregator) Merge(now time.Duration, s Sample) (news bool, err error) {
	if err := s.validate(f.cfg.MaxMeasurements); err != nil {
		return false, err
	}
	if s.Interval <= f.lastClosed || s.Interval <= f.cfg.interval(now-f.cfg.LateSampleTimeout)-1 || s.Interval > f.cfg.interval(now+f.cfg.LateSampleTimeout) {
		return false, nil
	}
	members := f.samples[s.Interval]
	if members == nil {
		members = map[string]*Sample{}
		f.samples[s.Interval] = members
	}
	old := members[s.Member]
	if old != nil && !s.isNewerThan(old) {
		return false, nil
	}
	if old == nil && len(members) >= maxMembers {
		return false, fmt.Errorf("sample of member %q: %d members have told already", s.Member, len(members))
	}
	kept := make([]Measurement, 0, len(s.Measurements))
	for _, c := range s.Measurements {
		name, ok := f.internedNames[c.Contract]
		if _, known := f.internedNames[s.Regions[c.RegionIndex]]; ok && known {
			kept = append(kept, Measurement{name, c.RegionIndex, slices.Clip(c.Histogram)})
		}
	}
	s.Measurements = kept
	members[s.Member] = &s
	return true, nil
}

// Turn hands out, once, what was seen in the parts for which no more samples are taken,
// sorted by part, contract, region and zone.
func (f *Aggregator) CloseIntervals(now time.Duration) (seen []Observation) {
	due := f.cfg.interval(now-f.cfg.LateSampleTimeout) - 1
	if due <= f.lastClosed {
		return nil
	}
	f.lastClosed, f.Dropped = due, 0
	for _, slot := range slices.Sorted(maps.Keys(f.samples)) {
		if slot <= due {
			seen = append(seen, f.mergeInterval(slot)...)
			delete(f.samples, slot)
		}
	}
	return seen
}

func (f *Aggregator) mergeInterval(slot int64) (seen []Observation) {
	members := f.samples[slot]
	type told struct {
		from string
		hist Histogram
	}
	of := map[contractRegion][]told{}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		s := members[name]
		f.Dropped += s.Dropped
		for _, c := range s.Measurements {
			p := contractRegion{c.Contract, s.Regions[c.RegionIndex]}
			of[p] = append(of[p], told{s.Zone, c.Histogram})
		}
	}
	pairs := slices.SortedFunc(maps.Keys(of), func(a, b contractRegion) int {
		return cmp.Or(cmp.Compare(a.contract, b.contract), cmp.Compare(a.region, b.region))
	})
	for _, p := range pairs {
		all := make([]int64, len(of[p]))
		for i, t := range of[p] {
			all[i] = t.hist.Count()
		}
		slices.Sort(all)
		most := maxMedianMultiple * all[(len(all)-1)/2]
		from := map[string]*hdr.PackedHistogram{}
		for _, t := range of[p] {
			if from[t.from] == nil {
				from[t.from] = newPackedHistogram()
			}
			_ = t.hist.addTo(from[t.from], most) // sound ones lie within the buckets
		}
		for _, zone := range slices.Sorted(maps.Keys(from)) {
			if h := encodeHistogram(from[zone]); len(h) > 0 {
				seen = append(seen, Observation{zone, p.contract, f.intern(p.region), slot, len(all), h})
			}
		}
	}
	return seen
}

// name returns the one copy of a name, so that what is kept holds no sample's memory.
func (f *Aggregator) intern(s string) string {
	if one, ok := f.internedNames[s]; ok {
		return one
	}
	return s
}

// Cells is how many cells wait for their part's end.
func (f *Aggregator) PendingMeasurements() (n int) {
	for _, members := range f.samples {
		for _, s := range members {
			n += len(s.Measurements)
		}
	}
	return min(n, math.MaxInt32)
}
