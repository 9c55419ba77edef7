package slo

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// One hour with 1,000 contracts in 12 regions, two of which become slow, one is small, and one is
// evacuated for ten minutes. No region may be given more than its capacity, and less than 1 % may
// be moved per minute in the last 20 minutes. A contract whose objective no region meets must be
// marked as unmet.
func TestHourOfSlowRegions(t *testing.T) {
	sim := newSimulation(t, 1000, 12, 4, 0.4)
	sim.cfg.SampleInterval, sim.cfg.LateSampleTimeout, sim.cfg.EvidenceIntervals = 10*time.Second, 10*time.Second, 3
	sim.controller = NewController(sim.cfg)
	sim.regions[3].Capacity = 650
	unattainable := &sim.state.Contracts[500]
	unattainable.Objective = 2 * time.Millisecond
	sim.run(10 * time.Minute)
	sim.meanMs["r00"], sim.meanMs["r07"] = 60, 60
	sim.run(10 * time.Minute)
	sim.regions[10].UsableFraction = 0
	sim.run(5 * time.Minute)
	for _, allocation := range sim.state.Allocations {
		if allocation.Shares["r10"] > 0 {
			t.Fatalf("%s has a share of %.3f in an evacuated region", allocation.Contract, allocation.Shares["r10"])
		}
	}
	sim.run(5 * time.Minute)
	sim.regions[10].UsableFraction = 1
	sim.controller = NewController(sim.cfg) // a new leader without evidence
	sim.run(sim.cfg.MoveInterval)
	movedByNewLeader := sim.movedPerMinute[30]
	sim.run(30*time.Minute - sim.cfg.MoveInterval)
	t.Logf("moved in the busiest of the last 20 minutes %.4f; max load %.3f; windows met %v of %v",
		sim.busiestMinute(40), sim.maxLoad, sim.metWindows, sim.windows)
	if sim.maxLoad > 1 || sim.busiestMinute(40) >= 0.01 || movedByNewLeader > 0 {
		t.Errorf("max load %.3f; %.4f moved per minute; %.1f by a leader without evidence",
			sim.maxLoad, sim.busiestMinute(40), movedByNewLeader)
	}
	if allocation, _ := sim.state.Allocation(unattainable.Name); allocation.UnmetReason == "" {
		t.Errorf("%s can't be met but is not marked as unmet: %+v", unattainable.Name, allocation)
	}
}

// BenchmarkEvaluate measures one evaluation with 1,000 contracts that may use all of 12 regions, and
// all observations of one interval.
func BenchmarkEvaluate(b *testing.B) {
	sim := newSimulation(b, 1000, 12, 12, 0.4)
	sim.run(time.Minute)
	observations, interval := sim.observations, sim.cfg.interval(sim.now)
	b.ResetTimer()
	for i := range b.N {
		for j := range observations {
			observations[j].Interval = interval + int64(i)
		}
		now := sim.now + time.Duration(i)*sim.cfg.SampleInterval
		sim.controller.Evaluate(now, sim.state, observations, sim.regions, sim.demand)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// fullSample returns a member's sample with MaxMeasurements measurements of four response times
// each.
func fullSample(sim *simulation, member int) *Sample {
	zone := sim.regions[member%len(sim.regions)].Name
	recorder := NewRecorder(sim.cfg, fmt.Sprint("n", member), zone, 1)
	recorder.SetContracts(sim.state)
	recorder.Rotate(sim.now)
	for k := range 4 * sim.cfg.MaxMeasurements {
		k = k/4 + member*37
		contract, region := sim.state.Contracts[k%1000].Name, sim.regions[k/1000%12].Name
		recorder.Record(sim.now, contract, region, time.Duration(5+k*7%60)*time.Millisecond)
	}
	return recorder.Rotate(sim.now + sim.cfg.SampleInterval)
}

// BenchmarkAggregator measures the memory and the merge time of a member that receives samples of
// the maximum size from all other members.
func BenchmarkAggregator(b *testing.B) {
	for _, members := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			sim := newSimulation(b, 1000, 12, 12, 0.4)
			for i := range b.N {
				aggregator, controller := NewAggregator(sim.cfg), NewController(sim.cfg)
				before := heapBytes()
				aggregator.SetContracts(sim.state, sim.regions)
				for member := range members {
					if isNew, err := aggregator.Merge(sim.now, *fullSample(sim, member)); !isNew || err != nil {
						b.Fatal(isNew, err)
					}
				}
				heldBytes := heapBytes() - before
				start := time.Now()
				observations := aggregator.CloseIntervals(sim.now + 3*sim.cfg.SampleInterval)
				mergeTime, count := time.Since(start), len(observations)
				observeAllIntervals(sim, controller, observations)
				if i == 0 {
					b.ReportMetric(heldBytes, "B/part")
					b.ReportMetric(float64(mergeTime.Microseconds())/1000, "ms/fold")
					b.ReportMetric(float64(count), "seen/part")
					b.ReportMetric(heapBytes()-before, "B/steer")
				}
				runtime.KeepAlive(controller)
			}
		})
	}
}

// observeAllIntervals adds the same observations to a controller for every evidence interval.
func observeAllIntervals(sim *simulation, controller *Controller, observations []Observation) {
	for interval := range int64(sim.cfg.EvidenceIntervals) {
		for k := range observations {
			observations[k].Interval += min(interval, 1)
		}
		controller.Observe(sim.state, observations)
	}
}

// BenchmarkRecorder measures a node that records response times for every pair of contract and
// region.
func BenchmarkRecorder(b *testing.B) {
	sim := newSimulation(b, 1000, 12, 12, 0.4)
	sim.cfg.MaxMeasurements = maxMeasurementsLimit
	recorder := NewRecorder(sim.cfg, "n", "z", 1)
	recorder.SetContracts(sim.state)
	recorder.Rotate(sim.now)
	before := heapBytes()
	i := 0
	for ; i < 60000; i++ {
		contract, region := sim.state.Contracts[i%1000].Name, sim.regions[i/1000%12].Name
		recorder.Record(sim.now, contract, region, time.Duration(5+i*7%60)*time.Millisecond)
	}
	bytesPerPair := (heapBytes() - before) / float64(len(recorder.histograms))
	for b.Loop() {
		recorder.Record(sim.now, sim.state.Contracts[i%1000].Name, "r00", 20*time.Millisecond)
		i++
	}
	b.ReportMetric(bytesPerPair, "B/pair")
}
