package slo

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Region describes a region, or a single zone, under the name that Shares use.
type Region struct {
	Name           string
	UsableFraction float64 // fraction that zone statuses leave usable, 0 to 1
	Capacity       float64 // session set-ups per second if the whole region were usable
	OtherTraffic   float64 // session set-ups per second that belong to no contract
	Load           float64 // reported ratio of load to capacity; negative if unknown
}

// Demand is the number of session set-ups per second by contract.
type Demand map[string]float64

// Controller evaluates observations and proposes allocations of contracts to regions. It is not
// safe for concurrent use.
type Controller struct {
	DisabledGuards Guards

	cfg              Config
	contractsVersion uint64                    // State.Version that contracts was made from
	contracts        map[string]*contractState // by name
	lastObserved     int64                     // number of the interval
	lastMoveAt       time.Duration             // time of the last proposed moves
	pools            map[regionKind][]pooledHistogram
	pooledCounts     map[pooledKey]responseCount // cache of sums over pools, valid for one evaluation
}

// NewController returns a controller without evidence. It continues from the replicated state.
func NewController(cfg Config) *Controller {
	return &Controller{
		cfg:          cfg,
		pools:        map[regionKind][]pooledHistogram{},
		pooledCounts: map[pooledKey]responseCount{},
	}
}

// maxAllocationsBytes limits the JSON size of the allocations in one change. Further allocations
// follow in the next change.
const maxAllocationsBytes = 200_000

// Evaluate adds the observations since the last call. It returns the change to propose and the
// reason for it in words; ok is false if there is nothing to propose. now is Unix time. The change
// depends only on the replicated state and the evidence, so a new leader continues where the
// previous one stopped.
func (c *Controller) Evaluate(
	now time.Duration, state State, observations []Observation, regions []Region, demand Demand,
) (change Change, reason string, ok bool) {
	c.Observe(state, observations)
	clear(c.pooledCounts)
	interval := c.cfg.interval(now)
	if c.lastMoveAt == 0 || c.lastMoveAt > now { // the previous leader may just have moved contracts
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

// proposeChange collects the changed allocations into one change, in the order of priority and up
// to maxAllocationsBytes.
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
	minMoveThousandths     = 5  // smaller moves do not justify a log entry
	minOverflowThousandths = 20 // smaller changes of the overflow do not either
)

// proposedAllocation returns a contract's allocation according to its placement, and whether it
// differs enough from the replicated one to be proposed.
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

// currentUnmetReason returns the reason why an objective can't be met, after that has been the case
// for the MinBreachInterval. The reason is cleared once the objective can be met and its error
// budget is no longer burning.
func (c *Controller) currentUnmetReason(now time.Duration, tracked *contractState, p *placement) string {
	if p.unmetReason == "" && !p.isDue { // no move was tried, so there is no new result
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
