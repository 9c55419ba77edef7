package slo

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Region is what is known of a region, or a zone, by the name that shares use.
type Region struct {
	Name           string
	UsableFraction float64 // the part that zone statuses leave, 0 to 1
	Capacity       float64 // session set-ups a second, were all of it usable
	OtherTraffic   float64 // session set-ups a second under no contract
	Load           float64 // as reported, over capacity; negative if unknown
}

// Demand is session set-ups a second by contract.
type Demand map[string]float64

// Controller weighs observations and decides where contracts go. It is not safe for concurrent
// use.
type Controller struct {
	DisabledGuards Guards

	cfg              Config
	contractsVersion uint64                    // of contracts
	contracts        map[string]*contractState // by name
	lastObserved     int64                     // interval
	lastMoveAt       time.Duration             // when moves were proposed last
	pools            map[regionKind][]pooledHistogram
	pooledCounts     map[pooledKey]responseCount // a cache of pools, for one evaluation
}

// NewController returns a controller without evidence: it goes on from the replicated state.
func NewController(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg,
		pools:        map[regionKind][]pooledHistogram{},
		pooledCounts: map[pooledKey]responseCount{},
	}
}

// maxAllocationsBytes bounds the JSON of one change's allocations; the others follow with the
// next change.
const maxAllocationsBytes = 200_000

// Evaluate takes the observations since the last call and returns the change to propose and the
// reason in words; ok is false if there is none. now is Unix time. The change depends on the
// replicated state and the evidence alone, so a new leader goes on where the last one was.
func (c *Controller) Evaluate(
	now time.Duration, state State, observations []Observation, regions []Region, demand Demand,
) (change Change, reason string, ok bool) {
	c.Observe(state, observations)
	clear(c.pooledCounts)
	interval := c.cfg.interval(now)
	if c.lastMoveAt == 0 || c.lastMoveAt > now { // the last leader may have moved contracts just now
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
	return c.proposeChange(now, state, placements, capacities)
}

// proposeChange puts the allocations that changed into one change, by priority, as many as
// maxAllocationsBytes takes.
func (c *Controller) proposeChange(
	now time.Duration, state State, placements []*placement, capacities []regionCapacity,
) (change Change, reason string, ok bool) {
	change = Change{BaseVersion: state.Version, BaseAllocationVersion: state.AllocationVersion}
	moved, explored, unmet, size := 0, 0, 0, 0
	slices.SortStableFunc(placements, func(a, b *placement) int {
		return cmp.Compare(a.contract.Priority, b.contract.Priority)
	})
	for _, p := range placements {
		allocation, isChanged := c.proposedAllocation(now, state, p, capacities)
		if !isChanged {
			continue
		}
		if size += allocation.encodedSize(); size > maxAllocationsBytes {
			break
		}
		change.Allocations = append(change.Allocations, allocation)
		if p.moved > 0 && p.isDue {
			c.lastMoveAt = now
		}
		switch {
		case p.exploredRegion != "":
			explored++
		case p.moved > 0:
			moved++
		}
		if allocation.UnmetReason != "" {
			unmet++
		}
	}
	if len(change.Allocations) == 0 {
		return Change{}, "", false
	}
	return change, fmt.Sprintf("%d contracts moved, %d explore, %d of these can't be kept", moved, explored, unmet), true
}

const (
	minMoveThousandths     = 5  // smaller moves are not worth a log entry
	minOverflowThousandths = 20 // nor smaller changes of the overflow
)

// proposedAllocation is a contract's allocation as placed, and whether it differs enough from
// the replicated one to be proposed.
func (c *Controller) proposedAllocation(
	now time.Duration, state State, p *placement, regions []regionCapacity,
) (allocation Allocation, isChanged bool) {
	total, overflow, moved, shares := 0, 0, 0, make(Shares, len(regions))
	for r, region := range regions {
		share := p.next[r] + p.overflow[r]
		total += share
		overflow += p.overflow[r]
		moved += max(share-p.current[r], 0)
		if share > 0 {
			shares[region.name] = float64(share) / thousandths
		}
	}
	allocation = Allocation{
		Contract:    p.contract.Name,
		Shares:      shares,
		Overflow:    float64(overflow) / thousandths,
		UnmetReason: c.currentUnmetReason(now, c.contracts[p.contract.Name], p),
	}
	previous, _ := state.Allocation(p.contract.Name)
	previousOverflow, _ := toThousandths(previous.Overflow)
	overflowChange := max(overflow-previousOverflow, previousOverflow-overflow)
	isChanged = moved >= minMoveThousandths ||
		(allocation.UnmetReason == "") != (previous.UnmetReason == "") ||
		overflowChange >= minOverflowThousandths ||
		overflow == 0 && previousOverflow > 0
	return allocation, isChanged && p.maySteer && total == thousandths
}

// currentUnmetReason says why an objective can't be met, once that has been so for the
// MinBreachInterval. It is taken back when the error budget is no longer spent.
func (c *Controller) currentUnmetReason(now time.Duration, tracked *contractState, p *placement) string {
	if p.unmetReason == "" && !p.isDue { // no move was tried, so nothing is known
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
