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

const mostCells = 4096

// newer tells whether a sample replaces another of its member and part.
func (s *Sample) newer(o *Sample) bool {
	return cmp.Or(cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Seq, o.Seq)) > 0
}

// sound says what makes a sample one that can't be true: it comes from outside.
func (s *Sample) sound(most int) error {
	switch {
	case !word(s.Member, 64) || !word(s.Zone, 64):
		return fmt.Errorf("sample of member %.64q: member and from are names of 1 to 64 bytes", s.Member)
	case len(s.Regions) > mostZones:
		return fmt.Errorf("sample of member %q: %d regions, at most %d", s.Member, len(s.Regions), mostZones)
	case s.Dropped < 0 || s.Dropped > 1e6:
		return fmt.Errorf("sample of member %q: %d cells dropped", s.Member, s.Dropped)
	case len(s.Measurements) > most:
		return fmt.Errorf("sample of member %q: %d cells, at most %d", s.Member, len(s.Measurements), most)
	}
	for i, r := range s.Regions {
		if !word(r, 64) || slices.Contains(s.Regions[:i], r) {
			return fmt.Errorf("sample of member %q: region %.64q: names of 1 to 64 bytes, each once", s.Member, r)
		}
	}
	told := make(map[pair]bool, len(s.Measurements))
	for _, c := range s.Measurements {
		if c.RegionIndex < 0 || c.RegionIndex >= len(s.Regions) {
			return fmt.Errorf("sample of member %q: contract %.64q: region %d is none of its own", s.Member, c.Contract, c.RegionIndex)
		}
		p := pair{c.Contract, s.Regions[c.RegionIndex]}
		if told[p] || !word(c.Contract, 64) || !c.Histogram.sound() {
			return fmt.Errorf("sample of member %q: contract %.64q, region %q: no histogram, or a second one", s.Member, c.Contract, p.region)
		}
		told[p] = true
	}
	return nil
}

type pair struct{ contract, region string }

// Tally is what one member measures in the part of time that runs. It is not safe for
// concurrent use.
type Recorder struct {
	cfg          Config
	member, from string
	boot         int64
	seq          uint64
	slot         int64
	cells        map[pair]*hdr.PackedHistogram
	priority     map[string]int // of the contracts that the record has
	dropped      int
}

// NewTally returns an empty tally of a member in a zone, of a process started at boot.
func NewRecorder(cfg Config, member, from string, boot int64) *Recorder {
	return &Recorder{cfg: cfg, member: member, from: from, boot: boot, cells: map[pair]*hdr.PackedHistogram{}}
}

// Know takes the contracts that count from now on.
func (t *Recorder) SetContracts(s State) {
	t.priority = make(map[string]int, len(s.Contracts))
	for _, c := range s.Contracts {
		t.priority[c.Name] = c.Priority
	}
}

// Record takes a response time; a request that got no answer took longest. It returns the
// sample of the part before, once that is over.
func (t *Recorder) Record(now time.Duration, contract, region string, took time.Duration) *Sample {
	done := t.Rotate(now)
	if _, ok := t.priority[contract]; !ok || !word(region, 64) {
		return done
	}
	p := pair{contract, region}
	h := t.cells[p]
	if h == nil {
		// Twice of what is told: what goes first is known at the end only.
		if len(t.cells) >= 2*t.cfg.MaxMeasurements {
			t.dropped++
			return done
		}
		h = newHist()
		t.cells[p] = h
	}
	ms := min(max(int64((took+time.Millisecond-1)/time.Millisecond), lowest), highest)
	if h.TotalCount() < mostCount {
		_ = h.RecordValue(ms) // always within the buckets
	}
	return done
}

// Turn returns the sample of the part that was under way, if it is over and holds anything.
func (t *Recorder) Rotate(now time.Duration) *Sample {
	slot := t.cfg.slot(now)
	if slot <= t.slot { // a clock that went back adds to what is under way
		return nil
	}
	s := t.sample()
	t.slot, t.dropped = slot, 0
	clear(t.cells)
	return s
}

// sample tells what is there. Where that is too much, the pairs of the least priority go
// first, and of these the least used.
func (t *Recorder) sample() *Sample {
	if len(t.cells) == 0 {
		return nil
	}
	pairs := make([]pair, 0, len(t.cells))
	for p := range t.cells {
		pairs = append(pairs, p)
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(cmp.Compare(t.priority[a.contract], t.priority[b.contract]),
			cmp.Compare(t.cells[b].TotalCount(), t.cells[a].TotalCount()),
			cmp.Compare(a.contract, b.contract), cmp.Compare(a.region, b.region))
	})
	t.seq++
	s := &Sample{Member: t.member, Zone: t.from, Incarnation: t.boot, Seq: t.seq, Interval: t.slot, Dropped: t.dropped}
	index := map[string]int{}
	for _, p := range pairs {
		i, ok := index[p.region]
		if !ok && len(s.Regions) < mostZones {
			i, ok = len(s.Regions), true
			index[p.region], s.Regions = i, append(s.Regions, p.region)
		}
		if len(s.Measurements) >= t.cfg.MaxMeasurements || !ok {
			s.Dropped++
			continue
		}
		s.Measurements = append(s.Measurements, Measurement{Contract: p.contract, RegionIndex: i, Histogram: tell(t.cells[p])})
	}
	return s
}
