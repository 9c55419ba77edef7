package slo

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Region is what is known of a region, or a zone, by the name that shares use.
type Region struct {
	Name           string
	UsableFraction float64 // the part of it that postures leave, 0 to 1
	Capacity       float64 // set-ups a second that it bears, were all of it usable
	OtherTraffic   float64 // set-ups a second that it serves under no contract
	Load           float64 // reported, over what it bears; negative where unknown
}

// Steer judges what was seen and decides where contracts go. It is not safe for concurrent
// use.
type Controller struct {
	cfg              Config
	contractsVersion uint64
	lastObserved     int64         // the last part that was taken
	lastMoveAt       time.Duration // when the last moves were proposed
	contracts        map[string]*contractState
	pools            map[regionKind][]pooledHistogram
	pooledCounts     map[pooledKey]responseCount
	DisabledGuards   Guards
}

// NewSteer returns one that has seen nothing: it goes on from the record's State.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, pools: map[regionKind][]pooledHistogram{}, pooledCounts: map[pooledKey]responseCount{}}
}

// mostSteers is how long what one entry steers may be, in bytes of JSON and reckoned
// amply; the others follow with the next.
const maxAllocationsBytes = 200_000

func (a *Allocation) encodedSize() int {
	size := 120 + len(a.Contract) + len(a.UnmetReason)
	for zone := range a.Shares {
		size += len(zone) + 10
	}
	return size
}

// Step takes what was seen since the last call and returns the change to propose, if there
// is one, and why in words. now is Unix time, demand is set-ups a second by contract. Only
// the leader proposes it; what it says is decided by the record's State and the evidence
// alone, so that a new leader goes on where the last one was.
func (c *Controller) Evaluate(now time.Duration, state State, observations []Observation, regions []Region, demand map[string]float64) (change Change, reason string, ok bool) {
	c.Observe(state, observations)
	clear(c.pooledCounts)
	interval := c.cfg.interval(now)
	if c.lastMoveAt == 0 || c.lastMoveAt > now { // the last leader may have moved some just now
		c.lastMoveAt = now
	}
	moveAllowed := now-c.lastMoveAt >= c.cfg.MoveInterval
	capacities := c.regionCapacities(regions)
	placements := make([]*placement, 0, len(state.Contracts))
	for i := range state.Contracts {
		p := c.newPlacement(now, interval, state, &state.Contracts[i], capacities, demand)
		p.isDue = p.isDue && moveAllowed
		placements = append(placements, p)
	}
	c.allocate(placements, capacities)
	c.explore(placements, capacities, interval)

	change = Change{BaseVersion: state.Version, BaseAllocationVersion: state.AllocationVersion}
	moved, explored, unkept, size := 0, 0, 0, 0
	slices.SortStableFunc(placements, func(allocation, b *placement) int {
		return cmp.Compare(allocation.contract.Priority, b.contract.Priority)
	})
	for _, p := range placements {
		allocation, changed := c.proposedAllocation(now, state, p, capacities)
		if !changed {
			continue
		}
		if size += allocation.encodedSize(); size > maxAllocationsBytes {
			break
		}
		change.Allocations = append(change.Allocations, allocation)
		if p.moved > 0 && p.isDue {
			c.lastMoveAt = now
		}
		if p.exploredRegion != "" {
			explored++
		} else if p.moved > 0 {
			moved++
		}
		if allocation.UnmetReason != "" {
			unkept++
		}
	}
	if len(change.Allocations) == 0 {
		return Change{}, "", false
	}
	return change, fmt.Sprintf("%d contracts moved, %d explore, %d of these can't be kept", moved, explored, unkept), true
}

func nonNegative(value float64) float64 {
	if value > 0 && value <= 1e12 {
		return value
	}
	return 0
}

// places returns the regions by name, empty but for what is served under no contract.
func (c *Controller) regionCapacities(regions []Region) []regionCapacity {
	byName := map[string]regionCapacity{}
	for _, region := range regions {
		if len(byName) >= maxZones || !isValidName(region.Name, 64) {
			continue
		}
		usable := min(nonNegative(region.UsableFraction), 1)
		capacity := regionCapacity{name: region.Name, usable: usable > 0, capacity: nonNegative(region.Capacity) * usable}
		capacity.spare = capacity.capacity - nonNegative(region.OtherTraffic)
		capacity.headroom, capacity.inflowLeft = capacity.capacity*c.cfg.MaxUtilization-nonNegative(region.OtherTraffic), capacity.capacity*c.cfg.MaxInflowFraction
		if region.Load > 1 { // its figure is too great, or others fill it
			capacity.headroom, capacity.inflowLeft = 0, 0
		}
		byName[region.Name] = capacity
	}
	return slices.SortedFunc(maps.Values(byName), func(x, y regionCapacity) int { return cmp.Compare(x.name, y.name) })
}

// want says what a contract has and what it sees.
func (c *Controller) newPlacement(now time.Duration, interval int64, state State, contract *Contract, regions []regionCapacity, demand map[string]float64) *placement {
	tracked := c.contracts[contract.Name]
	tracked.closeWindow(&c.cfg, max(interval-c.mergeLag(), 0))
	p := &placement{contract: contract, ratePerThousandth: nonNegative(demand[contract.Name]) / thousandths, maySteer: true, isDue: true, isBurning: tracked.isBurning(),
		current: make([]int, len(regions)), regionViews: make([]regionView, len(regions)), allowed: make([]bool, len(regions))}
	allocation, steered := state.Allocation(contract.Name)
	weights := make([]float64, len(regions))
	for i, region := range regions {
		p.allowed[i] = len(contract.Zones) == 0 || slices.Contains(contract.Zones, region.name)
		if p.allowed[i] {
			weights[i] = region.capacity
			p.regionViews[i] = c.viewRegion(tracked, region.name, interval)
			p.regionViews[i].breachConfirmed = c.isBreachConfirmed(now, tracked, region.name, p.regionViews[i].verdict)
		}
		p.current[i], _ = toThousandths(allocation.Shares[region.name])
	}
	if !steered {
		p.current = apportion(thousandths, c.initialWeights(tracked, interval, regions, weights))
		return p
	}
	nowMs := now.Milliseconds()
	p.lastUnmetReason = allocation.UnmetReason
	p.maySteer = allocation.PreviouslySteeredAt == 0 || nowMs >= allocation.PreviouslySteeredAt+minSteerIntervalMs
	p.isDue = nowMs >= allocation.SteeredAt+c.cfg.MoveInterval.Milliseconds()
	return p
}

// drawn are the weights by which a contract that was never steered is spread: as it was
// measured or, where that is too little, by what the regions bear, as the module draws
// evenly among the servers that it may use.
func (c *Controller) initialWeights(tracked *contractState, interval int64, regions []regionCapacity, capacities []float64) []float64 {
	measured, sum := make([]float64, len(regions)), 0.0
	for r, region := range regions {
		if capacities[r] > 0 {
			measured[r], _, _ = tracked.regions[region.name].sum(c.firstEvidenceInterval(interval))
			sum += measured[r]
		}
	}
	if sum < c.cfg.MinSamples {
		return capacities
	}
	return measured
}

// ripe tells whether a region has broken a promise for longer than the patience.
func (c *Controller) isBreachConfirmed(now time.Duration, tracked *contractState, region string, result verdict) bool {
	if result != breaches {
		delete(tracked.breachedSince, region)
		return false
	}
	if tracked.breachedSince == nil {
		tracked.breachedSince = map[string]time.Duration{}
	}
	since, ok := tracked.breachedSince[region]
	if !ok {
		since = now
		tracked.breachedSince[region] = now
	}
	return now-since >= c.cfg.MinBreachInterval || c.DisabledGuards.Hysteresis
}

const (
	minMoveThousandths     = 5  // thousandths: less is not worth an entry
	minOverflowThousandths = 20 // so much more or less that has no room is told
)

// outcome is what the record is to hold of a contract, and whether that is news.
func (c *Controller) proposedAllocation(now time.Duration, state State, p *placement, regions []regionCapacity) (Allocation, bool) {
	tracked := c.contracts[p.contract.Name]
	previous, _ := state.Allocation(p.contract.Name)
	overflow, moved, shares := 0, 0, make(map[string]float64, len(regions))
	for r, region := range regions {
		share := p.next[r] + p.overflow[r]
		overflow += p.overflow[r]
		if moved += max(share-p.current[r], 0); share > 0 {
			shares[region.name] = float64(share) / thousandths
		}
	}
	allocation := Allocation{Contract: p.contract.Name, Shares: shares, Overflow: float64(overflow) / thousandths, UnmetReason: c.currentUnmetReason(now, tracked, p)}
	previousOverflow, _ := toThousandths(previous.Overflow)
	isNews := moved >= minMoveThousandths || (allocation.UnmetReason == "") != (previous.UnmetReason == "") || max(overflow-previousOverflow, previousOverflow-overflow) >= minOverflowThousandths || overflow == 0 && previousOverflow > 0
	sum := 0
	for r := range regions {
		sum += p.next[r] + p.overflow[r]
	}
	return allocation, isNews && p.maySteer && sum == thousandths
}

// unkept says why a contract can't be kept: what is so for longer than the patience. It
// is taken back when its budget is no longer spent.
func (c *Controller) currentUnmetReason(now time.Duration, tracked *contractState, p *placement) string {
	if p.unmetReason == "" && !p.isDue { // not asked to move, so nothing is known of it
		return p.lastUnmetReason
	}
	if p.unmetReason == "" {
		tracked.unmetSince = 0
		if p.isBurning {
			return p.lastUnmetReason
		}
		return ""
	}
	if tracked.unmetSince == 0 {
		tracked.unmetSince = now
	}
	if p.lastUnmetReason == "" && now-tracked.unmetSince < c.cfg.MinBreachInterval {
		return ""
	}
	return p.unmetReason
}
