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
func (s *Sample) isNewerThan(o *Sample) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Seq, o.Seq)) > 0
}

// sound says what makes a sample one that can't be true: it comes from outside.
func (s *Sample) validate(most int) error {
	switch {
	case !isValidName(s.Member, 64) || !isValidName(s.Zone, 64):
		return fmt.Errorf("sample of member %.64q: member and from are names of 1 to 64 bytes", s.Member)
	case len(s.Regions) > maxZones:
		return fmt.Errorf("sample of member %q: %d regions, at most %d", s.Member, len(s.Regions), maxZones)
	case s.Dropped < 0 || s.Dropped > 1e6:
		return fmt.Errorf("sample of member %q: %d cells dropped", s.Member, s.Dropped)
	case len(s.Measurements) > most:
		return fmt.Errorf("sample of member %q: %d cells, at most %d", s.Member, len(s.Measurements), most)
	}
	for i, r := range s.Regions {
		if !isValidName(r, 64) || slices.Contains(s.Regions[:i], r) {
			return fmt.Errorf("sample of member %q: region %.64q: names of 1 to 64 bytes, each once", s.Member, r)
		}
	}
	told := make(map[contractRegion]bool, len(s.Measurements))
	for _, c := range s.Measurements {
		if c.RegionIndex < 0 || c.RegionIndex >= len(s.Regions) {
			return fmt.Errorf("sample of member %q: contract %.64q: region %d is none of its own", s.Member, c.Contract, c.RegionIndex)
		}
		p := contractRegion{c.Contract, s.Regions[c.RegionIndex]}
		if told[p] || !isValidName(c.Contract, 64) || !c.Histogram.isPlausible() {
			return fmt.Errorf("sample of member %q: contract %.64q, region %q: no histogram, or a second one", s.Member, c.Contract, p.region)
		}
		told[p] = true
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
func NewRecorder(cfg Config, member, from string, boot int64) *Recorder {
	return &Recorder{cfg: cfg, member: member, zone: from, incarnation: boot, histograms: map[contractRegion]*hdr.PackedHistogram{}}
}

// Know takes the contracts that count from now on.
func (t *Recorder) SetContracts(s State) {
	t.priorities = make(map[string]int, len(s.Contracts))
	for _, c := range s.Contracts {
		t.priorities[c.Name] = c.Priority
	}
}

// Record takes a response time; a request that got no answer took longest. It returns the
// sample of the part before, once that is over.
func (t *Recorder) Record(now time.Duration, contract, region string, took time.Duration) *Sample {
	done := t.Rotate(now)
	if _, ok := t.priorities[contract]; !ok || !isValidName(region, 64) {
		return done
	}
	p := contractRegion{contract, region}
	h := t.histograms[p]
	if h == nil {
		// Twice of what is told: what goes first is known at the end only.
		if len(t.histograms) >= 2*t.cfg.MaxMeasurements {
			t.dropped++
			return done
		}
		h = newPackedHistogram()
		t.histograms[p] = h
	}
	ms := min(max(int64((took+time.Millisecond-1)/time.Millisecond), lowestMs), highestMs)
	if h.TotalCount() < maxBucketCount {
		_ = h.RecordValue(ms) // always within the buckets
	}
	return done
}

// Turn returns the sample of the part that was under way, if it is over and holds anything.
func (t *Recorder) Rotate(now time.Duration) *Sample {
	slot := t.cfg.interval(now)
	if slot <= t.interval { // a clock that went back adds to what is under way
		return nil
	}
	s := t.takeSample()
	t.interval, t.dropped = slot, 0
	clear(t.histograms)
	return s
}

// sample tells what is there. Where that is too much, the pairs of the least priority go
// first, and of these the least used.
func (t *Recorder) takeSample() *Sample {
	if len(t.histograms) == 0 {
		return nil
	}
	pairs := make([]contractRegion, 0, len(t.histograms))
	for p := range t.histograms {
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, func(a, b contractRegion) int {
		return cmp.Or(cmp.Compare(t.priorities[a.contract], t.priorities[b.contract]),
			cmp.Compare(t.histograms[b].TotalCount(), t.histograms[a].TotalCount()),
			cmp.Compare(a.contract, b.contract), cmp.Compare(a.region, b.region))
	})
	t.seq++
	s := &Sample{Member: t.member, Zone: t.zone, Incarnation: t.incarnation, Seq: t.seq, Interval: t.interval, Dropped: t.dropped}
	index := map[string]int{}
	for _, p := range pairs {
		i, ok := index[p.region]
		if !ok && len(s.Regions) < maxZones {
			i, ok = len(s.Regions), true
			index[p.region], s.Regions = i, append(s.Regions, p.region)
		}
		if len(s.Measurements) >= t.cfg.MaxMeasurements || !ok {
			s.Dropped++
			continue
		}
		s.Measurements = append(s.Measurements, Measurement{Contract: p.contract, RegionIndex: i, Histogram: encodeHistogram(t.histograms[p])})
	}
	return s
}
