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
	clamp       = 3
	mostMembers = 1024
)

// Fleet merges members' samples. It is not safe for concurrent use.
type Aggregator struct {
	cfg     Config
	slots   map[int64]map[string]*Sample // by part and member
	closed  int64                        // the last part that was handed out
	names   map[string]string            // one copy of each name
	Dropped int                          // cells that members had no room for, of the parts handed out last
}

// NewFleet returns a Fleet that has heard nobody.
func NewAggregator(cfg Config) *Aggregator {
	return &Aggregator{cfg: cfg, slots: map[int64]map[string]*Sample{}, names: map[string]string{}}
}

// Know takes the contracts and regions that count from now on: what else samples name is
// left out.
func (f *Aggregator) SetContracts(s State, regions []Region) {
	clear(f.names)
	for _, c := range s.Contracts {
		f.names[c.Name] = c.Name
	}
	for _, r := range regions {
		f.names[r.Name] = r.Name
	}
}

// Merge takes a sample of a member that membership knows, in any order and as often as one
// likes. The error tells what is wrong with a sample; news is false for one that came
// before, too late or too early.
func (f *Aggregator) Merge(now time.Duration, s Sample) (news bool, err error) {
	if err := s.sound(f.cfg.MaxMeasurements); err != nil {
		return false, err
	}
	if s.Interval <= f.closed || s.Interval <= f.cfg.slot(now-f.cfg.LateSampleTimeout)-1 || s.Interval > f.cfg.slot(now+f.cfg.LateSampleTimeout) {
		return false, nil
	}
	members := f.slots[s.Interval]
	if members == nil {
		members = map[string]*Sample{}
		f.slots[s.Interval] = members
	}
	old := members[s.Member]
	if old != nil && !s.newer(old) {
		return false, nil
	}
	if old == nil && len(members) >= mostMembers {
		return false, fmt.Errorf("sample of member %q: %d members have told already", s.Member, len(members))
	}
	kept := make([]Measurement, 0, len(s.Measurements))
	for _, c := range s.Measurements {
		name, ok := f.names[c.Contract]
		if _, known := f.names[s.Regions[c.RegionIndex]]; ok && known {
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
	due := f.cfg.slot(now-f.cfg.LateSampleTimeout) - 1
	if due <= f.closed {
		return nil
	}
	f.closed, f.Dropped = due, 0
	for _, slot := range slices.Sorted(maps.Keys(f.slots)) {
		if slot <= due {
			seen = append(seen, f.fold(slot)...)
			delete(f.slots, slot)
		}
	}
	return seen
}

func (f *Aggregator) fold(slot int64) (seen []Observation) {
	members := f.slots[slot]
	type told struct {
		from string
		hist Histogram
	}
	of := map[pair][]told{}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		s := members[name]
		f.Dropped += s.Dropped
		for _, c := range s.Measurements {
			p := pair{c.Contract, s.Regions[c.RegionIndex]}
			of[p] = append(of[p], told{s.Zone, c.Histogram})
		}
	}
	pairs := slices.SortedFunc(maps.Keys(of), func(a, b pair) int {
		return cmp.Or(cmp.Compare(a.contract, b.contract), cmp.Compare(a.region, b.region))
	})
	for _, p := range pairs {
		all := make([]int64, len(of[p]))
		for i, t := range of[p] {
			all[i] = t.hist.Count()
		}
		slices.Sort(all)
		most := clamp * all[(len(all)-1)/2]
		from := map[string]*hdr.PackedHistogram{}
		for _, t := range of[p] {
			if from[t.from] == nil {
				from[t.from] = newHist()
			}
			_ = t.hist.into(from[t.from], most) // sound ones lie within the buckets
		}
		for _, zone := range slices.Sorted(maps.Keys(from)) {
			if h := tell(from[zone]); len(h) > 0 {
				seen = append(seen, Observation{zone, p.contract, f.name(p.region), slot, len(all), h})
			}
		}
	}
	return seen
}

// name returns the one copy of a name, so that what is kept holds no sample's memory.
func (f *Aggregator) name(s string) string {
	if one, ok := f.names[s]; ok {
		return one
	}
	return s
}

// Cells is how many cells wait for their part's end.
func (f *Aggregator) PendingMeasurements() (n int) {
	for _, members := range f.slots {
		for _, s := range members {
			n += len(s.Measurements)
		}
	}
	return min(n, math.MaxInt32)
}
