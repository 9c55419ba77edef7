package slo

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const startTime = 1_000_000 * 5 * time.Second

func newTestAggregator(names ...string) *Aggregator {
	f := NewAggregator(DefaultConfig())
	var s State
	for _, n := range names {
		s.Contracts = append(s.Contracts, Contract{Name: n})
	}
	f.SetContracts(s, []Region{{Name: "a"}, {Name: "b"}})
	return f
}

// measured is a member's sample of n times in the part at begin.
func recordedSample(member string, boot int64, took time.Duration, n int) Sample {
	t := NewRecorder(DefaultConfig(), member, "z", boot)
	t.SetContracts(State{Contracts: []Contract{{Name: "k"}}})
	t.Rotate(startTime)
	for range n {
		t.Record(startTime, "k", "a", took)
	}
	return *t.Rotate(startTime + 5*time.Second)
}

// Merging is the same in any order, and as often as one likes.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var samples []Sample
		for range rapid.IntRange(1, 8).Draw(t, "samples") {
			member, boot, seq := rapid.IntRange(0, 3).Draw(t, "member"), rapid.IntRange(1, 2).Draw(t, "boot"), rapid.IntRange(1, 3).Draw(t, "seq")
			s := recordedSample(fmt.Sprint("n", member), int64(boot), time.Duration(member+7*boot+50*seq)*time.Millisecond, member+boot+seq) // one number, one word
			s.Seq = uint64(seq)
			samples = append(samples, s)
		}
		one, other := newTestAggregator("k"), newTestAggregator("k")
		for _, s := range samples {
			one.Merge(startTime, s)
		}
		for _, s := range rapid.Permutation(append(slices.Clone(samples), samples...)).Draw(t, "order") {
			other.Merge(startTime, s)
		}
		a, b := one.CloseIntervals(startTime+15*time.Second), other.CloseIntervals(startTime+15*time.Second)
		if len(a) == 0 || !reflect.DeepEqual(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
		if one.CloseIntervals(startTime+20*time.Second) != nil {
			t.Fatal("handed out twice")
		}
		if news, _ := one.Merge(startTime+15*time.Second, samples[0]); news {
			t.Fatal("taken after its part was handed out")
		}
	})
}

// A sound histogram comes out as it went in, a member that lies counts three times the
// median at most, and what can't be true is refused by name.
func TestClampsAndRejectsFalseSamples(t *testing.T) {
	f := newTestAggregator("k")
	for i := range 4 {
		f.Merge(startTime, recordedSample(fmt.Sprint("n", i), 1, 20*time.Millisecond, 10))
	}
	liar := recordedSample("liar", 1, time.Minute, 500)
	if news, err := f.Merge(startTime, liar); !news || err != nil {
		t.Fatal(news, err)
	}
	seen := f.CloseIntervals(startTime + 15*time.Second)
	if len(seen) != 1 || seen[0].Members != 5 || seen[0].Histogram.Count() != 70 || seen[0].Histogram.CountAbove(50*time.Millisecond) != 30 {
		t.Errorf("%+v", seen)
	}
	for want, f := range map[string]func(*Sample){
		"region 3":       func(s *Sample) { s.Measurements = []Measurement{{"k", 3, liar.Measurements[0].Histogram}} },
		"no histogram":   func(s *Sample) { s.Measurements = []Measurement{{"k", 0, Histogram{10, 0}}} },
		"or a second":    func(s *Sample) { s.Measurements = []Measurement{s.Measurements[0], s.Measurements[0]} },
		"cells, at most": func(s *Sample) { s.Measurements = slices.Repeat(s.Measurements, 1025) },
		"no histogram, ": func(s *Sample) { s.Measurements = []Measurement{{"k", 0, Histogram{10, 0xff, 0xff, 0xff, 0x7f}}} }, // absurd
		"contract \"k\"": func(s *Sample) { s.Measurements = []Measurement{{"k", 0, Histogram{0xff, 0xff, 0xff, 1, 1}}} },     // past the longest
	} {
		bad := recordedSample("n9", 1, time.Second, 1)
		f(&bad)
		if _, err := newTestAggregator("k").Merge(startTime, bad); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "n9") {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// What there is no room for is the least used of the least priority.
func TestDropsLeastUsedOfLowestPriority(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMeasurements = 3
	tally := NewRecorder(cfg, "n", "z", 1)
	tally.SetContracts(State{Contracts: []Contract{{Name: "high"}, {Name: "low", Priority: 9}}})
	tally.Rotate(startTime)
	for region, n := range map[string]int{"a": 2, "b": 5} {
		for range n {
			tally.Record(startTime, "low", region, time.Millisecond)
			tally.Record(startTime, "high", region, time.Millisecond)
			tally.Record(startTime, "unknown", region, time.Millisecond)
		}
	}
	s := tally.Rotate(startTime + cfg.SampleInterval)
	var got []string
	for _, c := range s.Measurements {
		got = append(got, c.Contract+s.Regions[c.RegionIndex])
	}
	if want := []string{"highb", "higha", "lowb"}; !slices.Equal(got, want) || s.Dropped != 1 {
		t.Errorf("%v, %d dropped", got, s.Dropped)
	}
}

// The bound's own bucket counts as over it, whatever the bound.
func TestObjectiveBucketCountsAsAbove(t *testing.T) {
	for _, ms := range []int{1, 20, 31, 32, 33, 47, 63, 64, 100, 1000} {
		bound := time.Duration(ms) * time.Millisecond
		if over := recordedSample("n", 1, bound+time.Microsecond, 3).Measurements[0].Histogram.CountAbove(bound); over != 3 {
			t.Errorf("just over %v: %d of 3 are over", bound, over)
		}
		if over := recordedSample("n", 1, bound*15/16-time.Millisecond, 3).Measurements[0].Histogram.CountAbove(bound); over != 0 {
			t.Errorf("a sixteenth and 1 ms under %v: %d of 3 are over", bound, over)
		}
	}
}
