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

// startTime is the start of an interval.
const startTime = 1_000_000 * 5 * time.Second

func newTestAggregator(contracts ...string) *Aggregator {
	aggregator := NewAggregator(DefaultConfig())
	var state State
	for _, name := range contracts {
		state.Contracts = append(state.Contracts, Contract{Name: name})
	}
	aggregator.SetContracts(state, []Region{{Name: "a"}, {Name: "b"}})
	return aggregator
}

// recordedSample returns a member's sample of the interval at startTime, with count equal response
// times.
func recordedSample(member string, incarnation int64, responseTime time.Duration, count int) Sample {
	recorder := NewRecorder(DefaultConfig(), member, "z", incarnation)
	recorder.SetContracts(State{Contracts: []Contract{{Name: "k"}}})
	recorder.Rotate(startTime)
	for range count {
		recorder.Record(startTime, "k", "a", responseTime)
	}
	return *recorder.Rotate(startTime + 5*time.Second)
}

// merge merges a valid sample at startTime.
func merge(t testing.TB, aggregator *Aggregator, sample Sample) (isNew bool) {
	t.Helper()
	isNew, err := aggregator.Merge(startTime, sample)
	if err != nil {
		t.Fatal(err)
	}
	return isNew
}

func TestMergeConvergesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var samples []Sample
		for range rapid.IntRange(1, 8).Draw(rt, "samples") {
			member := rapid.IntRange(0, 3).Draw(rt, "member")
			incarnation := rapid.IntRange(1, 2).Draw(rt, "boot")
			seq := rapid.IntRange(1, 3).Draw(rt, "seq")
			// Equal numbers always yield an equal sample.
			responseTime := time.Duration(member+7*incarnation+50*seq) * time.Millisecond
			sample := recordedSample(fmt.Sprint("n", member), int64(incarnation), responseTime, member+incarnation+seq)
			sample.Seq = uint64(seq)
			samples = append(samples, sample)
		}
		first, second := newTestAggregator("k"), newTestAggregator("k")
		for _, sample := range samples {
			merge(t, first, sample)
		}
		for _, sample := range rapid.Permutation(append(slices.Clone(samples), samples...)).Draw(rt, "order") {
			merge(t, second, sample)
		}
		firstMerged := first.CloseIntervals(startTime + 15*time.Second)
		secondMerged := second.CloseIntervals(startTime + 15*time.Second)
		if len(firstMerged) == 0 || !reflect.DeepEqual(firstMerged, secondMerged) {
			rt.Fatalf("%v and %v", firstMerged, secondMerged)
		}
		if first.CloseIntervals(startTime+20*time.Second) != nil {
			rt.Fatal("closed twice")
		}
		if isNew, _ := first.Merge(startTime+15*time.Second, samples[0]); isNew {
			rt.Fatal("accepted after its interval was closed")
		}
	})
}

// Valid histograms must be merged unchanged, and the count of a member with a false sample must be
// limited to three times the median.
func TestClampsFalseSamples(t *testing.T) {
	aggregator := newTestAggregator("k")
	for i := range 4 {
		merge(t, aggregator, recordedSample(fmt.Sprint("n", i), 1, 20*time.Millisecond, 10))
	}
	if !merge(t, aggregator, recordedSample("liar", 1, time.Minute, 500)) {
		t.Fatal("the false sample is not new")
	}
	observations := aggregator.CloseIntervals(startTime + 15*time.Second)
	if len(observations) != 1 {
		t.Fatalf("%+v", observations)
	}
	histogram := observations[0].Histogram
	if observations[0].Members != 5 || histogram.Count() != 70 || histogram.CountAbove(50*time.Millisecond) != 30 {
		t.Errorf("%+v", observations)
	}
}

// Invalid samples must be rejected with an error that names the member.
func TestRejectsInvalidSamples(t *testing.T) {
	valid := recordedSample("liar", 1, time.Minute, 500).Measurements[0].Histogram
	one := func(regionIndex int, histogram Histogram) func(*Sample) {
		return func(s *Sample) { s.Measurements = []Measurement{{"k", regionIndex, histogram}} }
	}
	for want, edit := range map[string]func(*Sample){
		"region index 3":       one(3, valid),
		"invalid or duplicate": one(0, Histogram{10, 0}),
		"or duplicate": func(s *Sample) {
			s.Measurements = []Measurement{s.Measurements[0], s.Measurements[0]}
		},
		"measurements, at most": func(s *Sample) { s.Measurements = slices.Repeat(s.Measurements, 1025) },
		"duplicate histogram":   one(0, Histogram{10, 0xff, 0xff, 0xff, 0x7f}), // count above the limit
		"contract \"k\"":        one(0, Histogram{0xff, 0xff, 0xff, 1, 1}),     // above maxResponseTime
	} {
		sample := recordedSample("n9", 1, time.Second, 1)
		edit(&sample)
		_, err := newTestAggregator("k").Merge(startTime, sample)
		if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), "n9") {
			t.Errorf("%v, want %q", err, want)
		}
	}
}
