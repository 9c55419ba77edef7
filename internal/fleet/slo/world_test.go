package slo

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// world closes the loop in simulated time: a region's times grow with its load as those of
// an M/M/1 queue, so whoever is steered there makes it slower for all.
type simulation struct {
	t              testing.TB
	cfg            Config
	controller     *Controller
	state          State
	now            time.Duration
	regions        []Region
	meanMs         map[string]float64 // ms, of a region without load
	demand         map[string]float64
	rng            *rand.Rand
	observations   []Observation
	movedPerMinute []float64 // set-ups a second moved, over all, by minute
	frozen         bool      // steer nobody
	keptWindows    [3]int    // windows kept, by priority
	windows        [3]int
	maxLoad        float64 // the greatest sum of a region's set-ups over what it bears
}

func newSimulation(t testing.TB, contracts, regions, choices int, fill float64) *simulation {
	w := &simulation{t: t, cfg: DefaultConfig(), now: 1_000_000 * time.Minute, meanMs: map[string]float64{}, demand: map[string]float64{}, rng: rand.New(rand.NewPCG(7, 7))}
	w.controller = NewController(w.cfg)
	for r := range regions {
		w.regions = append(w.regions, Region{Name: fmt.Sprintf("r%02d", r), UsableFraction: 1, Capacity: 1000, Load: -1})
		w.meanMs[w.regions[r].Name] = 10
	}
	for i := range contracts {
		c := Contract{Name: fmt.Sprintf("c%04d", i), Holder: "a", Quantile: 0.95, Objective: 100 * time.Millisecond, Window: 10 * time.Second, Target: 0.9, Priority: i % 3}
		for k := range regions {
			if (k-i%regions+regions)%regions < choices {
				c.Zones = append(c.Zones, w.regions[k].Name)
			}
		}
		w.demand[c.Name] = fill * 1000 * float64(regions) / float64(contracts)
		w.state.Contracts = append(w.state.Contracts, c)
	}
	return w
}

func (w *simulation) shares(c *Contract) map[string]float64 {
	if a, ok := w.state.Allocation(c.Name); ok {
		return a.Shares
	}
	m := map[string]float64{}
	for _, z := range c.Zones {
		m[z] = 1 / float64(len(c.Zones))
	}
	return m
}

func (w *simulation) load() map[string]float64 {
	load := map[string]float64{}
	for i := range w.state.Contracts {
		c := &w.state.Contracts[i]
		for z, x := range w.shares(c) {
			load[z] += x * w.demand[c.Name]
		}
	}
	for _, r := range w.regions {
		load[r.Name] /= r.Capacity
	}
	return load
}

// steer sends all contracts to some regions, as a leader before had it.
func (w *simulation) steerAll(shares map[string]float64) {
	for _, c := range w.state.Contracts {
		w.state.Allocations = append(w.state.Allocations, Allocation{Contract: c.Name, Shares: shares, SteeredAt: 1})
	}
}

// total is the share of all set-ups that was moved from a minute on.
func (w *simulation) movedFraction(from int) (sum float64) {
	all := 0.0
	for _, x := range w.demand {
		all += x
	}
	for _, x := range w.movedPerMinute[from:] {
		sum += x / all
	}
	return sum
}

// run lets time pass, part by part; the evidence of a part comes with the next.
func (w *simulation) run(long time.Duration) {
	for end := w.now + long; w.now < end; w.now += w.cfg.SampleInterval {
		load := w.load()
		late := w.observations
		w.observations = nil
		for i := range w.state.Contracts {
			c := &w.state.Contracts[i]
			missed, n := 0.0, 0.0
			shares := w.shares(c)
			for _, r := range w.regions {
				x := shares[r.Name] * w.demand[c.Name] * w.cfg.SampleInterval.Seconds()
				all := int(x + w.rng.Float64())
				miss := math.Exp(-100 / w.meanMs[r.Name] * max(1-load[r.Name], 0.001))
				over := 0
				for range all {
					if w.rng.Float64() < miss {
						over++
					}
				}
				var h Histogram
				if all > over {
					h = binary.AppendUvarint(binary.AppendUvarint(h, 10), uint64(all-over))
				}
				if over > 0 {
					ms := uint64(500)
					if len(h) > 0 {
						ms -= 10
					}
					h = binary.AppendUvarint(binary.AppendUvarint(h, ms), uint64(over))
				}
				missed, n = missed+x*miss, n+x
				if len(h) > 0 {
					w.observations = append(w.observations, Observation{"z", c.Name, r.Name, w.cfg.interval(w.now), 3, h})
				}
			}
			w.windows[c.Priority]++
			if missed <= 0.05*n {
				w.keptWindows[c.Priority]++
			}
		}
		w.step(late)
	}
}

func (w *simulation) step(seen []Observation) {
	minute := int(w.now/time.Minute) - 1_000_000
	for len(w.movedPerMinute) <= minute {
		w.movedPerMinute = append(w.movedPerMinute, 0)
	}
	c, _, ok := w.controller.Evaluate(w.now, w.state, seen, w.regions, w.demand)
	if !ok || w.frozen {
		return
	}
	next, err := w.state.Apply(c, w.now.Milliseconds(), nil)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, a := range c.Allocations {
		k, _ := w.state.Contract(a.Contract)
		for z, x := range w.shares(&k) {
			w.movedPerMinute[minute] += max(x-a.Shares[z], 0) * w.demand[a.Contract]
		}
	}
	w.state = next
	for _, x := range w.load() {
		w.maxLoad = max(w.maxLoad, x)
	}
}

// restless is the share of all set-ups that was moved in the busiest minute from one on.
func (w *simulation) busiestMinute(from int) float64 {
	all, most := 0.0, 0.0
	for _, x := range w.demand {
		all += x
	}
	for _, x := range w.movedPerMinute[from:] {
		most = max(most, x)
	}
	return most / all
}
