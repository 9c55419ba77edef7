package slo

import (
	"slices"
	"testing"
	"time"
)

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

// The bucket that contains the objective must count as above it, for every objective.
func TestObjectiveBucketCountsAsAbove(t *testing.T) {
	countAbove := func(responseTime, objective time.Duration) int64 {
		return recordedSample("n", 1, responseTime, 3).Measurements[0].Histogram.CountAbove(objective)
	}
	for _, ms := range []int{1, 20, 31, 32, 33, 47, 63, 64, 100, 1000} {
		objective := time.Duration(ms) * time.Millisecond
		if above := countAbove(objective+time.Microsecond, objective); above != 3 {
			t.Errorf("just above %v: %d of 3 are above", objective, above)
		}
		if above := countAbove(objective*15/16-time.Millisecond, objective); above != 0 {
			t.Errorf("a sixteenth and 1 ms below %v: %d of 3 are above", objective, above)
		}
	}
}
