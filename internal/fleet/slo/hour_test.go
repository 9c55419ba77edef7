package slo

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// An hour of 1,000 contracts in 12 regions, two of which grow slow, one small, one left for
// ten minutes: no region is given more than it bears, and the last 20 minutes are calm. The
// contract that nobody can keep says so and stays.
func TestHourOfSlowRegions(t *testing.T) {
	w := newSimulation(t, 1000, 12, 4, 0.4)
	w.cfg.SampleInterval, w.cfg.LateSampleTimeout, w.cfg.EvidenceIntervals = 10*time.Second, 10*time.Second, 3
	w.controller = NewController(w.cfg)
	w.regions[3].Capacity = 650
	hopeless := &w.state.Contracts[500]
	hopeless.Objective = 2 * time.Millisecond
	w.run(10 * time.Minute)
	w.meanMs["r00"], w.meanMs["r07"] = 60, 60
	w.run(10 * time.Minute)
	w.regions[10].UsableFraction = 0
	w.run(5 * time.Minute)
	for _, a := range w.state.Allocations {
		if a.Shares["r10"] > 0 {
			t.Fatalf("%s has %.3f of itself in a region that is left", a.Contract, a.Shares["r10"])
		}
	}
	w.run(5 * time.Minute)
	w.regions[10].UsableFraction = 1
	w.controller = NewController(w.cfg) // a new leader that has seen nothing
	w.run(w.cfg.MoveInterval)
	calm := w.movedPerMinute[30]
	w.run(30*time.Minute - w.cfg.MoveInterval)
	t.Logf("moved in the busiest of the last 20 minutes %.4f, of all; most load %.3f; kept %v of %v", w.busiestMinute(40), w.maxLoad, w.keptWindows, w.windows)
	if w.maxLoad > 1 || w.busiestMinute(40) >= 0.01 || calm > 0 {
		t.Errorf("most load %.3f; %.4f moved a minute; %.1f by a leader that knew nothing", w.maxLoad, w.busiestMinute(40), calm)
	}
	if a, _ := w.state.Allocation(hopeless.Name); a.UnmetReason == "" {
		t.Errorf("%s can't be kept and is not said to be: %+v", hopeless.Name, a)
	}
}

// One step with 1,000 contracts that may use all of 12 regions, and all that was seen in a
// part of time.
func BenchmarkEvaluate(b *testing.B) {
	w := newSimulation(b, 1000, 12, 12, 0.4)
	w.run(time.Minute)
	seen, part := w.observations, w.cfg.interval(w.now)
	b.ResetTimer()
	for i := range b.N {
		for k := range seen {
			seen[k].Interval = part + int64(i)
		}
		w.controller.Evaluate(w.now+time.Duration(i)*w.cfg.SampleInterval, w.state, seen, w.regions, w.demand)
	}
}

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// What a member holds that hears all others tell as much as they may of a part.
func BenchmarkAggregator(b *testing.B) {
	for _, members := range []int{10, 100, 300} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			w := newSimulation(b, 1000, 12, 12, 0.4)
			for i := range b.N {
				f, st := NewAggregator(w.cfg), NewController(w.cfg)
				before := heapBytes()
				f.SetContracts(w.state, w.regions)
				for m := range members {
					t := NewRecorder(w.cfg, fmt.Sprint("n", m), w.regions[m%12].Name, 1)
					t.SetContracts(w.state)
					t.Rotate(w.now)
					for k := range 4 * w.cfg.MaxMeasurements { // four times in each of as many pairs as may be told
						k = k/4 + m*37
						t.Record(w.now, w.state.Contracts[k%1000].Name, w.regions[k/1000%12].Name, time.Duration(5+k*7%60)*time.Millisecond)
					}
					if news, err := f.Merge(w.now, *t.Rotate(w.now + w.cfg.SampleInterval)); !news || err != nil {
						b.Fatal(news, err)
					}
				}
				held := heapBytes() - before
				start := time.Now()
				seen := f.CloseIntervals(w.now + 3*w.cfg.SampleInterval)
				fold := time.Since(start)
				for slot := range int64(w.cfg.EvidenceIntervals) {
					for k := range seen {
						seen[k].Interval += min(slot, 1)
					}
					st.Observe(w.state, seen)
				}
				if i == 0 {
					b.ReportMetric(held, "B/part")
					b.ReportMetric(float64(fold.Microseconds())/1000, "ms/fold")
					n := len(seen)
					seen = nil
					b.ReportMetric(float64(n), "seen/part")
					b.ReportMetric(heapBytes()-before, "B/steer")
				}
				runtime.KeepAlive(st)
			}
		})
	}
}

// A node that measures every pair there is.
func BenchmarkRecorder(b *testing.B) {
	w := newSimulation(b, 1000, 12, 12, 0.4)
	w.cfg.MaxMeasurements = maxMeasurementsLimit
	t := NewRecorder(w.cfg, "n", "z", 1)
	t.SetContracts(w.state)
	t.Rotate(w.now)
	before := heapBytes()
	i := 0
	for ; i < 60000; i++ {
		t.Record(w.now, w.state.Contracts[i%1000].Name, w.regions[i/1000%12].Name, time.Duration(5+i*7%60)*time.Millisecond)
	}
	pair := (heapBytes() - before) / float64(len(t.histograms))
	for b.Loop() {
		t.Record(w.now, w.state.Contracts[i%1000].Name, "r00", 20*time.Millisecond)
		i++
	}
	b.ReportMetric(pair, "B/pair")
}
