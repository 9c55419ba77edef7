package slo

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const simulationStartMinute = 1_000_000

// simulation runs the closed control loop in simulated time. A region's response times grow with
// its load as in an M/M/1 queue, so sessions that are moved into it slow it down for all contracts.
type simulation struct {
	t              testing.TB
	cfg            Config
	controller     *Controller
	state          State
	now            time.Duration
	regions        []Region
	meanMs         map[string]float64 // mean response time of a region without load
	demand         map[string]float64 // session set-ups per second, by contract
	rng            *rand.Rand
	observations   []Observation // of the previous interval
	frozen         bool          // changes are not applied
	movedPerMinute []float64     // moved session set-ups per second
	metWindows     [3]int        // windows that met the objective, by priority
	windows        [3]int
	maxLoad        float64 // largest load of any region over its capacity
}

// newSimulation returns a simulation of regions of equal capacity. The contracts fill a fraction of
// the capacity, and each may use as many regions as choices says.
func newSimulation(t testing.TB, contracts, regions, choices int, fill float64) *simulation {
	sim := &simulation{
		t:      t,
		cfg:    DefaultConfig(),
		now:    simulationStartMinute * time.Minute,
		meanMs: map[string]float64{},
		demand: map[string]float64{},
		rng:    rand.New(rand.NewPCG(7, 7)),
	}
	sim.controller = NewController(sim.cfg)
	for r := range regions {
		region := Region{Name: fmt.Sprintf("r%02d", r), UsableFraction: 1, Capacity: 1000, Load: -1}
		sim.regions = append(sim.regions, region)
		sim.meanMs[region.Name] = 10
	}
	for i := range contracts {
		contract := Contract{
			Name:      fmt.Sprintf("c%04d", i),
			Holder:    "a",
			Quantile:  0.95,
			Objective: 100 * time.Millisecond,
			Window:    10 * time.Second,
			Target:    0.9,
			Priority:  i % 3,
		}
		for r, region := range sim.regions {
			if (r-i%regions+regions)%regions < choices {
				contract.Zones = append(contract.Zones, region.Name)
			}
		}
		sim.demand[contract.Name] = fill * 1000 * float64(regions) / float64(contracts)
		sim.state.Contracts = append(sim.state.Contracts, contract)
	}
	return sim
}

// shares returns the distribution of a contract's sessions. A contract without an allocation is
// spread evenly over its zones.
func (s *simulation) shares(contract *Contract) Shares {
	if allocation, ok := s.state.Allocation(contract.Name); ok {
		return allocation.Shares
	}
	even := Shares{}
	for _, zone := range contract.Zones {
		even[zone] = 1 / float64(len(contract.Zones))
	}
	return even
}

// load returns the ratio of load to capacity by region.
func (s *simulation) load() map[string]float64 {
	load := map[string]float64{}
	for i := range s.state.Contracts {
		contract := &s.state.Contracts[i]
		for zone, share := range s.shares(contract) {
			load[zone] += share * s.demand[contract.Name]
		}
	}
	for _, region := range s.regions {
		load[region.Name] /= region.Capacity
	}
	return load
}

// steerAll allocates all contracts to the given shares, as if by an earlier leader.
func (s *simulation) steerAll(shares Shares) {
	for _, contract := range s.state.Contracts {
		allocation := Allocation{Contract: contract.Name, Shares: shares, SteeredAt: 1}
		s.state.Allocations = append(s.state.Allocations, allocation)
	}
}

func (s *simulation) totalDemand() (total float64) {
	for _, demand := range s.demand {
		total += demand
	}
	return total
}

// movedFraction returns the fraction of all session set-ups that was moved from a minute on.
func (s *simulation) movedFraction(fromMinute int) (sum float64) {
	for _, moved := range s.movedPerMinute[fromMinute:] {
		sum += moved / s.totalDemand()
	}
	return sum
}

// busiestMinute returns the fraction of all session set-ups that was moved in the busiest minute
// from the given one on.
func (s *simulation) busiestMinute(fromMinute int) float64 {
	busiest := 0.0
	for _, moved := range s.movedPerMinute[fromMinute:] {
		busiest = max(busiest, moved)
	}
	return busiest / s.totalDemand()
}

// metFraction returns the fraction of all windows that met the objective.
func (s *simulation) metFraction() float64 {
	met := s.metWindows[0] + s.metWindows[1] + s.metWindows[2]
	return float64(met) / float64(s.windows[0]+s.windows[1]+s.windows[2])
}

// run advances time by intervals. The observations of an interval are evaluated in the next one.
func (s *simulation) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += s.cfg.SampleInterval {
		load := s.load()
		lastObservations := s.observations
		s.observations = nil
		for i := range s.state.Contracts {
			s.measure(&s.state.Contracts[i], load)
		}
		s.step(lastObservations)
	}
}

// measure draws a contract's response times for one interval.
func (s *simulation) measure(contract *Contract, load map[string]float64) {
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
		missed, total = missed+expected*missRate, total+expected
		if responses == 0 {
			continue
		}
		s.observations = append(s.observations, Observation{
			Zone:      "z",
			Contract:  contract.Name,
			Region:    region.Name,
			Interval:  s.cfg.interval(s.now),
			Members:   3,
			Histogram: fastAndSlow(responses-slow, slow),
		})
	}
	s.windows[contract.Priority]++
	if missed <= 0.05*total {
		s.metWindows[contract.Priority]++
	}
}

// fastAndSlow returns a histogram of response times of 10 ms and 500 ms.
func fastAndSlow(fast, slow int) (histogram Histogram) {
	const fastMs, slowMs = 10, 500
	step := uint64(slowMs)
	if fast > 0 {
		histogram = binary.AppendUvarint(binary.AppendUvarint(histogram, fastMs), uint64(fast))
		step -= fastMs
	}
	if slow > 0 {
		histogram = binary.AppendUvarint(binary.AppendUvarint(histogram, step), uint64(slow))
	}
	return histogram
}

// step evaluates the observations and applies the proposed change.
func (s *simulation) step(observations []Observation) {
	minute := int(s.now/time.Minute) - simulationStartMinute
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
		for zone, share := range s.shares(&contract) {
			moved := max(share-allocation.Shares[zone], 0) * s.demand[allocation.Contract]
			s.movedPerMinute[minute] += moved
		}
	}
	s.state = next
	for _, load := range s.load() {
		s.maxLoad = max(s.maxLoad, load)
	}
}

// maxShare runs the simulation for 24 intervals, two minutes by default, and returns the largest
// share that any contract had in a region.
func (s *simulation) maxShare(region string) (largest float64) {
	for range 24 {
		s.run(s.cfg.SampleInterval)
		for _, allocation := range s.state.Allocations {
			largest = max(largest, allocation.Shares[region])
		}
	}
	return largest
}
