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
	sim := &simulation{t: t, cfg: DefaultConfig(), now: 1_000_000 * time.Minute, meanMs: map[string]float64{}, demand: map[string]float64{}, rng: rand.New(rand.NewPCG(7, 7))}
	sim.controller = NewController(sim.cfg)
	for r := range regions {
		sim.regions = append(sim.regions, Region{Name: fmt.Sprintf("r%02d", r), UsableFraction: 1, Capacity: 1000, Load: -1})
		sim.meanMs[sim.regions[r].Name] = 10
	}
	for i := range contracts {
		c := Contract{Name: fmt.Sprintf("c%04d", i), Holder: "a", Quantile: 0.95, Objective: 100 * time.Millisecond, Window: 10 * time.Second, Target: 0.9, Priority: i % 3}
		for k := range regions {
			if (k-i%regions+regions)%regions < choices {
				c.Zones = append(c.Zones, sim.regions[k].Name)
			}
		}
		sim.demand[c.Name] = fill * 1000 * float64(regions) / float64(contracts)
		sim.state.Contracts = append(sim.state.Contracts, c)
	}
	return sim
}

func (s *simulation) shares(contract *Contract) map[string]float64 {
	if allocation, ok := s.state.Allocation(contract.Name); ok {
		return allocation.Shares
	}
	even := map[string]float64{}
	for _, z := range contract.Zones {
		even[z] = 1 / float64(len(contract.Zones))
	}
	return even
}

func (s *simulation) load() map[string]float64 {
	load := map[string]float64{}
	for i := range s.state.Contracts {
		contract := &s.state.Contracts[i]
		for z, x := range s.shares(contract) {
			load[z] += x * s.demand[contract.Name]
		}
	}
	for _, r := range s.regions {
		load[r.Name] /= r.Capacity
	}
	return load
}

// steer sends all contracts to some regions, as a leader before had it.
func (s *simulation) steerAll(shares map[string]float64) {
	for _, c := range s.state.Contracts {
		s.state.Allocations = append(s.state.Allocations, Allocation{Contract: c.Name, Shares: shares, SteeredAt: 1})
	}
}

// total is the share of all set-ups that was moved from a minute on.
func (s *simulation) movedFraction(from int) (sum float64) {
	total := 0.0
	for _, moved := range s.demand {
		total += moved
	}
	for _, moved := range s.movedPerMinute[from:] {
		sum += moved / total
	}
	return sum
}

// run lets time pass, part by part; the evidence of a part comes with the next.
func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += s.cfg.SampleInterval {
		load := s.load()
		lastObservations := s.observations
		s.observations = nil
		for i := range s.state.Contracts {
			contract := &s.state.Contracts[i]
			missed, total := 0.0, 0.0
			shares := s.shares(contract)
			for _, region := range s.regions {
				expected := shares[region.Name] * s.demand[contract.Name] * s.cfg.SampleInterval.Seconds()
				responses := int(expected + s.rng.Float64())
				missRate := math.Exp(-100 / s.meanMs[region.Name] * max(1-load[region.Name], 0.001))
				slow := 0
				for range responses {
					if s.rng.Float64() < missRate {
						slow++
					}
				}
				var histogram Histogram
				if responses > slow {
					histogram = binary.AppendUvarint(binary.AppendUvarint(histogram, 10), uint64(responses-slow))
				}
				if slow > 0 {
					ms := uint64(500)
					if len(histogram) > 0 {
						ms -= 10
					}
					histogram = binary.AppendUvarint(binary.AppendUvarint(histogram, ms), uint64(slow))
				}
				missed, total = missed+expected*missRate, total+expected
				if len(histogram) > 0 {
					s.observations = append(s.observations, Observation{"z", contract.Name, region.Name, s.cfg.interval(s.now), 3, histogram})
				}
			}
			s.windows[contract.Priority]++
			if missed <= 0.05*total {
				s.keptWindows[contract.Priority]++
			}
		}
		s.step(lastObservations)
	}
}

func (s *simulation) step(observations []Observation) {
	minute := int(s.now/time.Minute) - 1_000_000
	for len(s.movedPerMinute) <= minute {
		s.movedPerMinute = append(s.movedPerMinute, 0)
	}
	change, _, ok := s.controller.Evaluate(s.now, s.state, observations, s.regions, s.demand)
	if !ok || s.frozen {
		return
	}
	next, err := s.state.Apply(change, s.now.Milliseconds(), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, allocation := range change.Allocations {
		contract, _ := s.state.Contract(allocation.Contract)
		for z, x := range s.shares(&contract) {
			s.movedPerMinute[minute] += max(x-allocation.Shares[z], 0) * s.demand[allocation.Contract]
		}
	}
	s.state = next
	for _, x := range s.load() {
		s.maxLoad = max(s.maxLoad, x)
	}
}

// restless is the share of all set-ups that was moved in the busiest minute from one on.
func (s *simulation) busiestMinute(from int) float64 {
	total, busiest := 0.0, 0.0
	for _, moved := range s.demand {
		total += moved
	}
	for _, moved := range s.movedPerMinute[from:] {
		busiest = max(busiest, moved)
	}
	return busiest / total
}
