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
	n := 120 + len(a.Contract) + len(a.UnmetReason)
	for zone := range a.Shares {
		n += len(zone) + 10
	}
	return n
}

// Step takes what was seen since the last call and returns the change to propose, if there
// is one, and why in words. now is Unix time, demand is set-ups a second by contract. Only
// the leader proposes it; what it says is decided by the record's State and the evidence
// alone, so that a new leader goes on where the last one was.
func (st *Controller) Evaluate(now time.Duration, s State, seen []Observation, regions []Region, demand map[string]float64) (c Change, why string, ok bool) {
	st.Observe(s, seen)
	clear(st.pooledCounts)
	slot := st.cfg.interval(now)
	if st.lastMoveAt == 0 || st.lastMoveAt > now { // the last leader may have moved some just now
		st.lastMoveAt = now
	}
	open := now-st.lastMoveAt >= st.cfg.MoveInterval
	places := st.regionCapacities(regions)
	wants := make([]*placement, 0, len(s.Contracts))
	for i := range s.Contracts {
		w := st.newPlacement(now, slot, s, &s.Contracts[i], places, demand)
		w.isDue = w.isDue && open
		wants = append(wants, w)
	}
	st.allocate(wants, places)
	st.explore(wants, places, slot)

	c = Change{BaseVersion: s.Version, BaseAllocationVersion: s.AllocationVersion}
	moved, explored, unkept, size := 0, 0, 0, 0
	slices.SortStableFunc(wants, func(a, b *placement) int { return cmp.Compare(a.contract.Priority, b.contract.Priority) })
	for _, w := range wants {
		a, changed := st.proposedAllocation(now, s, w, places)
		if !changed {
			continue
		}
		if size += a.encodedSize(); size > maxAllocationsBytes {
			break
		}
		c.Allocations = append(c.Allocations, a)
		if w.moved > 0 && w.isDue {
			st.lastMoveAt = now
		}
		if w.exploredRegion != "" {
			explored++
		} else if w.moved > 0 {
			moved++
		}
		if a.UnmetReason != "" {
			unkept++
		}
	}
	if len(c.Allocations) == 0 {
		return Change{}, "", false
	}
	return c, fmt.Sprintf("%d contracts moved, %d explore, %d of these can't be kept", moved, explored, unkept), true
}

func nonNegative(x float64) float64 {
	if x > 0 && x <= 1e12 {
		return x
	}
	return 0
}

// places returns the regions by name, empty but for what is served under no contract.
func (st *Controller) regionCapacities(regions []Region) []regionCapacity {
	of := map[string]regionCapacity{}
	for _, r := range regions {
		if len(of) >= maxZones || !isValidName(r.Name, 64) {
			continue
		}
		usable := min(nonNegative(r.UsableFraction), 1)
		p := regionCapacity{name: r.Name, usable: usable > 0, capacity: nonNegative(r.Capacity) * usable}
		p.spare = p.capacity - nonNegative(r.OtherTraffic)
		p.headroom, p.inflowLeft = p.capacity*st.cfg.MaxUtilization-nonNegative(r.OtherTraffic), p.capacity*st.cfg.MaxInflowFraction
		if r.Load > 1 { // its figure is too great, or others fill it
			p.headroom, p.inflowLeft = 0, 0
		}
		of[r.Name] = p
	}
	return slices.SortedFunc(maps.Values(of), func(a, b regionCapacity) int { return cmp.Compare(a.name, b.name) })
}

// want says what a contract has and what it sees.
func (st *Controller) newPlacement(now time.Duration, slot int64, s State, c *Contract, places []regionCapacity, demand map[string]float64) *placement {
	t := st.contracts[c.Name]
	t.closeWindow(&st.cfg, max(slot-st.mergeLag(), 0))
	w := &placement{contract: c, ratePerThousandth: nonNegative(demand[c.Name]) / thousandths, maySteer: true, isDue: true, isBurning: t.isBurning(),
		current: make([]int, len(places)), regionViews: make([]regionView, len(places)), allowed: make([]bool, len(places))}
	a, steered := s.Allocation(c.Name)
	weights := make([]float64, len(places))
	for i, p := range places {
		w.allowed[i] = len(c.Zones) == 0 || slices.Contains(c.Zones, p.name)
		if w.allowed[i] {
			weights[i] = p.capacity
			w.regionViews[i] = st.viewRegion(t, p.name, slot)
			w.regionViews[i].breachConfirmed = st.isBreachConfirmed(now, t, p.name, w.regionViews[i].verdict)
		}
		w.current[i], _ = toThousandths(a.Shares[p.name])
	}
	if !steered {
		w.current = apportion(thousandths, st.initialWeights(t, slot, places, weights))
		return w
	}
	ms := now.Milliseconds()
	w.lastUnmetReason = a.UnmetReason
	w.maySteer = a.PreviouslySteeredAt == 0 || ms >= a.PreviouslySteeredAt+minSteerIntervalMs
	w.isDue = ms >= a.SteeredAt+st.cfg.MoveInterval.Milliseconds()
	return w
}

// drawn are the weights by which a contract that was never steered is spread: as it was
// measured or, where that is too little, by what the regions bear, as the module draws
// evenly among the servers that it may use.
func (st *Controller) initialWeights(t *contractState, slot int64, places []regionCapacity, bears []float64) []float64 {
	measured, sum := make([]float64, len(places)), 0.0
	for r, p := range places {
		if bears[r] > 0 {
			measured[r], _, _ = t.regions[p.name].sum(st.firstEvidenceInterval(slot))
			sum += measured[r]
		}
	}
	if sum < st.cfg.MinSamples {
		return bears
	}
	return measured
}

// ripe tells whether a region has broken a promise for longer than the patience.
func (st *Controller) isBreachConfirmed(now time.Duration, t *contractState, region string, v verdict) bool {
	if v != breaches {
		delete(t.breachedSince, region)
		return false
	}
	if t.breachedSince == nil {
		t.breachedSince = map[string]time.Duration{}
	}
	since, ok := t.breachedSince[region]
	if !ok {
		since = now
		t.breachedSince[region] = now
	}
	return now-since >= st.cfg.MinBreachInterval || st.DisabledGuards.Hysteresis
}

const (
	minMoveThousandths     = 5  // thousandths: less is not worth an entry
	minOverflowThousandths = 20 // so much more or less that has no room is told
)

// outcome is what the record is to hold of a contract, and whether that is news.
func (st *Controller) proposedAllocation(now time.Duration, s State, w *placement, places []regionCapacity) (Allocation, bool) {
	t := st.contracts[w.contract.Name]
	old, _ := s.Allocation(w.contract.Name)
	over, moved, shares := 0, 0, make(map[string]float64, len(places))
	for r, p := range places {
		k := w.next[r] + w.overflow[r]
		over += w.overflow[r]
		if moved += max(k-w.current[r], 0); k > 0 {
			shares[p.name] = float64(k) / thousandths
		}
	}
	a := Allocation{Contract: w.contract.Name, Shares: shares, Overflow: float64(over) / thousandths, UnmetReason: st.currentUnmetReason(now, t, w)}
	was, _ := toThousandths(old.Overflow)
	news := moved >= minMoveThousandths || (a.UnmetReason == "") != (old.UnmetReason == "") || max(over-was, was-over) >= minOverflowThousandths || over == 0 && was > 0
	sum := 0
	for r := range places {
		sum += w.next[r] + w.overflow[r]
	}
	return a, news && w.maySteer && sum == thousandths
}

// unkept says why a contract can't be kept: what is so for longer than the patience. It
// is taken back when its budget is no longer spent.
func (st *Controller) currentUnmetReason(now time.Duration, t *contractState, w *placement) string {
	if w.unmetReason == "" && !w.isDue { // not asked to move, so nothing is known of it
		return w.lastUnmetReason
	}
	if w.unmetReason == "" {
		t.unmetSince = 0
		if w.isBurning {
			return w.lastUnmetReason
		}
		return ""
	}
	if t.unmetSince == 0 {
		t.unmetSince = now
	}
	if w.lastUnmetReason == "" && now-t.unmetSince < st.cfg.MinBreachInterval {
		return ""
	}
	return w.unmetReason
}
