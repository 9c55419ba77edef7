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
	aggregator := NewAggregator(DefaultConfig())
	var state State
	for _, name := range names {
		state.Contracts = append(state.Contracts, Contract{Name: name})
	}
	aggregator.SetContracts(state, []Region{{Name: "a"}, {Name: "b"}})
	return aggregator
}

// measured is a member's sample of n times in the part at begin.
func recordedSample(member string, incarnation int64, took time.Duration, count int) Sample {
	recorder := NewRecorder(DefaultConfig(), member, "z", incarnation)
	recorder.SetContracts(State{Contracts: []Contract{{Name: "k"}}})
	recorder.Rotate(startTime)
	for range count {
		recorder.Record(startTime, "k", "a", took)
	}
	return *recorder.Rotate(startTime + 5*time.Second)
}

// Merging is the same in any order, and as often as one likes.
func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var samples []Sample
		for range rapid.IntRange(1, 8).Draw(t, "samples") {
			member, incarnation, seq := rapid.IntRange(0, 3).Draw(t, "member"), rapid.IntRange(1, 2).Draw(t, "boot"), rapid.IntRange(1, 3).Draw(t, "seq")
			sample := recordedSample(fmt.Sprint("n", member), int64(incarnation), time.Duration(member+7*incarnation+50*seq)*time.Millisecond, member+incarnation+seq) // one number, one word
			sample.Seq = uint64(seq)
			samples = append(samples, sample)
		}
		first, second := newTestAggregator("k"), newTestAggregator("k")
		for _, sample := range samples {
			first.Merge(startTime, sample)
		}
		for _, sample := range rapid.Permutation(append(slices.Clone(samples), samples...)).Draw(t, "order") {
			second.Merge(startTime, sample)
		}
		firstMerged, secondMerged := first.CloseIntervals(startTime+15*time.Second), second.CloseIntervals(startTime+15*time.Second)
		if len(firstMerged) == 0 || !reflect.DeepEqual(firstMerged, secondMerged) {
			t.Fatalf("%v and %v", firstMerged, secondMerged)
		}
		if first.CloseIntervals(startTime+20*time.Second) != nil {
			t.Fatal("handed out twice")
		}
		if isNew, _ := first.Merge(startTime+15*time.Second, samples[0]); isNew {
			t.Fatal("taken after its part was handed out")
		}
	})
}

// A sound histogram comes out as it went in, a member that lies counts three times the
// median at most, and what can't be true is refused by name.
func TestClampsAndRejectsFalseSamples(t *testing.T) {
	aggregator := newTestAggregator("k")
	for i := range 4 {
		aggregator.Merge(startTime, recordedSample(fmt.Sprint("n", i), 1, 20*time.Millisecond, 10))
	}
	liar := recordedSample("liar", 1, time.Minute, 500)
	if isNew, err := aggregator.Merge(startTime, liar); !isNew || err != nil {
		t.Fatal(isNew, err)
	}
	observations := aggregator.CloseIntervals(startTime + 15*time.Second)
	if len(observations) != 1 || observations[0].Members != 5 || observations[0].Histogram.Count() != 70 || observations[0].Histogram.CountAbove(50*time.Millisecond) != 30 {
		t.Errorf("%+v", observations)
	}
	for want, aggregator := range map[string]func(*Sample){
		"region 3":     func(sample *Sample) { sample.Measurements = []Measurement{{"k", 3, liar.Measurements[0].Histogram}} },
		"no histogram": func(sample *Sample) { sample.Measurements = []Measurement{{"k", 0, Histogram{10, 0}}} },
		"or a second": func(sample *Sample) {
			sample.Measurements = []Measurement{sample.Measurements[0], sample.Measurements[0]}
		},
		"cells, at most": func(sample *Sample) { sample.Measurements = slices.Repeat(sample.Measurements, 1025) },
		"no histogram, ": func(sample *Sample) {
			sample.Measurements = []Measurement{{"k", 0, Histogram{10, 0xff, 0xff, 0xff, 0x7f}}}
		}, // absurd
		"contract \"k\"": func(sample *Sample) { sample.Measurements = []Measurement{{"k", 0, Histogram{0xff, 0xff, 0xff, 1, 1}}} }, // past the longest
	} {
		bad := recordedSample("n9", 1, time.Second, 1)
		aggregator(&bad)
		if _, err := newTestAggregator("k").Merge(startTime, bad); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "n9") {
			t.Errorf("%v, want %q", err, want)
		}
	}
}

// What there is no room for is the least used of the least priority.
func TestDropsLeastUsedOfLowestPriority(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxMeasurements = 3
	recorder := NewRecorder(cfg, "n", "z", 1)
	recorder.SetContracts(State{Contracts: []Contract{{Name: "high"}, {Name: "low", Priority: 9}}})
	recorder.Rotate(startTime)
	for region, count := range map[string]int{"a": 2, "b": 5} {
		for range count {
			recorder.Record(startTime, "low", region, time.Millisecond)
			recorder.Record(startTime, "high", region, time.Millisecond)
			recorder.Record(startTime, "unknown", region, time.Millisecond)
		}
	}
	sample := recorder.Rotate(startTime + cfg.SampleInterval)
	var got []string
	for _, measurement := range sample.Measurements {
		got = append(got, measurement.Contract+sample.Regions[measurement.RegionIndex])
	}
	if want := []string{"highb", "higha", "lowb"}; !slices.Equal(got, want) || sample.Dropped != 1 {
		t.Errorf("%v, %d dropped", got, sample.Dropped)
	}
}

// The bound's own bucket counts as over it, whatever the bound.
func TestObjectiveBucketCountsAsAbove(t *testing.T) {
	for _, ms := range []int{1, 20, 31, 32, 33, 47, 63, 64, 100, 1000} {
		objective := time.Duration(ms) * time.Millisecond
		if above := recordedSample("n", 1, objective+time.Microsecond, 3).Measurements[0].Histogram.CountAbove(objective); above != 3 {
			t.Errorf("just over %v: %d of 3 are over", objective, above)
		}
		if above := recordedSample("n", 1, objective*15/16-time.Millisecond, 3).Measurements[0].Histogram.CountAbove(objective); above != 0 {
			t.Errorf("a sixteenth and 1 ms under %v: %d of 3 are over", objective, above)
		}
	}
}
