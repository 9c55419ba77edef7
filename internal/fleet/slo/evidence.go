package slo

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// responseCount counts the response times of one interval, or the sum over several.
type responseCount struct {
	interval      int64
	total, missed float64 // response times, and those above the objective
	members       int
}

func (n *responseCount) add(other responseCount) {
	n.total += other.total
	n.missed += other.missed
	n.members = max(n.members, other.members)
}

// intervalRing is a ring buffer of the latest intervals. New intervals overwrite the oldest ones.
type intervalRing []responseCount

func (r intervalRing) add(added responseCount) {
	slot := &r[added.interval%int64(len(r))]
	switch {
	case slot.interval > added.interval:
		return
	case slot.interval < added.interval:
		*slot = responseCount{interval: added.interval}
	}
	slot.add(added)
}

// sum adds up the intervals from firstInterval on.
func (r intervalRing) sum(firstInterval int64) (sum responseCount) {
	for _, entry := range r {
		if entry.interval >= firstInterval && entry.total > 0 {
			sum.add(entry)
		}
	}
	return sum
}

// firstEvidenceInterval returns the first interval that still counts as evidence in the given
// interval.
func (c *Controller) firstEvidenceInterval(interval int64) int64 {
	if c.DisabledGuards.EvidenceExpiry {
		return 0
	}
	return interval - c.mergeLag() - int64(c.cfg.EvidenceIntervals) + 1
}

// mergeLag returns the number of intervals that have ended but are not merged yet.
func (c *Controller) mergeLag() int64 {
	return 1 + int64((c.cfg.LateSampleTimeout+c.cfg.SampleInterval-1)/c.cfg.SampleInterval)
}

// regionKind is a map key: a region and a kind of response time, session set-ups or messages.
type regionKind struct {
	region   string
	messages bool
}

// pooledHistogram merges the measurements of all contracts for one regionKind in one interval.
type pooledHistogram struct {
	interval int64
	hist     *hdr.PackedHistogram
	members  int
}

type pooledKey struct {
	regionKind
	objectiveMs int64
}

// pooledCount returns the response times of all contracts in a region, counted against the
// objective of one contract.
func (c *Controller) pooledCount(region string, contract *Contract, interval int64) responseCount {
	key := pooledKey{regionKind{region, contract.ForMessages}, contract.Objective.Milliseconds()}
	if sum, ok := c.pooledCounts[key]; ok {
		return sum
	}
	var sum responseCount
	for _, pool := range c.pools[key.regionKind] {
		if pool.hist == nil || pool.interval < c.firstEvidenceInterval(interval) {
			continue
		}
		sum.members = max(sum.members, pool.members)
		pool.hist.ForEachBucket(func(ms, count int64) bool {
			sum.total += float64(count)
			if isAbove(ms, key.objectiveMs) {
				sum.missed += float64(count)
			}
			return true
		})
	}
	c.pooledCounts[key] = sum
	return sum
}

// Observe adds observations. Followers add them too, so that a new leader has the same evidence as
// the previous one.
func (c *Controller) Observe(state State, observations []Observation) {
	if state.Version != c.contractsVersion || c.contracts == nil {
		c.syncContracts(state)
	}
	clear(c.pooledCounts)
	lastBefore := c.lastObserved
	for _, observation := range observations {
		tracked := c.contracts[observation.Contract]
		if tracked == nil || observation.Interval <= lastBefore {
			continue
		}
		c.lastObserved = max(c.lastObserved, observation.Interval)
		tracked.closeWindow(&c.cfg, observation.Interval)
		added := responseCount{
			interval: observation.Interval,
			total:    float64(observation.Histogram.Count()),
			missed:   float64(observation.Histogram.CountAbove(tracked.contract.Objective)),
			members:  observation.Members,
		}
		tracked.count += added.total
		tracked.missed += added.missed
		if tracked.regions[observation.Region] == nil {
			if len(tracked.regions) >= maxZones {
				continue
			}
			tracked.regions[observation.Region] = make(intervalRing, c.cfg.EvidenceIntervals)
		}
		tracked.regions[observation.Region].add(added)
		c.addToPool(regionKind{observation.Region, tracked.contract.ForMessages}, observation)
	}
}

func (c *Controller) addToPool(kind regionKind, observation Observation) {
	ring := c.pools[kind]
	if ring == nil {
		if len(c.pools) >= 2*maxZones {
			return
		}
		ring = make([]pooledHistogram, c.cfg.EvidenceIntervals)
		c.pools[kind] = ring
	}
	pool := &ring[observation.Interval%int64(len(ring))]
	if pool.interval > observation.Interval {
		return
	}
	if pool.interval < observation.Interval {
		*pool = pooledHistogram{interval: observation.Interval, hist: newPackedHistogram()}
	}
	pool.members = max(pool.members, observation.Members)
	_ = observation.Histogram.addTo(pool.hist, observation.Histogram.Count())
}

// syncContracts updates the tracked contracts from the replicated state. The evidence for a
// contract is dropped if its terms have changed.
func (c *Controller) syncContracts(state State) {
	previous := c.contracts
	c.contracts, c.contractsVersion = make(map[string]*contractState, len(state.Contracts)), state.Version
	for _, contract := range state.Contracts {
		tracked := previous[contract.Name]
		if tracked == nil || !hasSameTerms(&tracked.contract, &contract) {
			tracked = &contractState{contract: contract, regions: map[string]intervalRing{}}
		}
		tracked.contract = contract
		c.contracts[contract.Name] = tracked
	}
}

// hasSameTerms reports whether the evidence for one contract is valid for the other.
func hasSameTerms(a, b *Contract) bool {
	return a.Holder == b.Holder &&
		a.Quantile == b.Quantile &&
		a.Objective == b.Objective &&
		a.ForMessages == b.ForMessages &&
		a.Window == b.Window &&
		a.Target == b.Target &&
		slices.Equal(a.Zones, b.Zones)
}
