package slo

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// count is what was measured in one part of time.
type responseCount struct {
	interval      int64
	total, missed float64
	members       int
}

// ring holds the last parts; what is older falls out as new ones come.
type intervalRing []responseCount

func (r intervalRing) add(added responseCount) {
	slot := &r[added.interval%int64(len(r))]
	switch {
	case slot.interval > added.interval:
		return
	case slot.interval < added.interval:
		*slot = responseCount{interval: added.interval}
	}
	slot.total, slot.missed, slot.members = slot.total+added.total, slot.missed+added.missed, max(slot.members, added.members)
}

func (r intervalRing) sum(since int64) (total, missed float64, members int) {
	for _, entry := range r {
		if entry.interval >= since && entry.total > 0 {
			total, missed, members = total+entry.total, missed+entry.missed, max(members, entry.members)
		}
	}
	return total, missed, members
}

// since is the first part that is evidence at a slot.
func (c *Controller) firstEvidenceInterval(interval int64) int64 {
	if c.DisabledGuards.EvidenceExpiry {
		return 0
	}
	return interval - c.mergeLag() - int64(c.cfg.EvidenceIntervals) + 1
}

// lag is how many parts are over and not yet merged.
func (c *Controller) mergeLag() int64 {
	return 1 + int64((c.cfg.LateSampleTimeout+c.cfg.SampleInterval-1)/c.cfg.SampleInterval)
}

// kind is what all contracts of a region measure alike.
type regionKind struct {
	region   string
	messages bool
}

// pool is all that was measured of a kind in one part.
type pooledHistogram struct {
	interval int64
	hist     *hdr.PackedHistogram
	members  int
}

type pooledKey struct {
	regionKind
	objectiveMs int64
}

// pooled is what all contracts together measured in a region, against one's bound.
func (c *Controller) pooledCount(region string, contract *Contract, interval int64) (total, missed float64, members int) {
	key := pooledKey{regionKind{region, contract.ForMessages}, contract.Objective.Milliseconds()}
	sum, ok := c.pooledCounts[key]
	if !ok {
		for _, pool := range c.pools[key.regionKind] {
			if pool.hist == nil || pool.interval < c.firstEvidenceInterval(interval) {
				continue
			}
			sum.members = max(sum.members, pool.members)
			pool.hist.ForEachBucket(func(ms, responses int64) bool {
				if sum.total += float64(responses); isAbove(ms, key.objectiveMs) {
					sum.missed += float64(responses)
				}
				return true
			})
		}
		c.pooledCounts[key] = sum
	}
	return sum.total, sum.missed, sum.members
}

// Take takes what was seen. Members that do not lead take it too, so that one that begins
// to lead knows as much as the last one did.
func (c *Controller) Observe(state State, observations []Observation) {
	if state.Version != c.contractsVersion || c.contracts == nil {
		c.syncContracts(state)
	}
	clear(c.pooledCounts)
	previous := c.lastObserved
	for _, observation := range observations {
		tracked := c.contracts[observation.Contract]
		if tracked == nil || observation.Interval <= previous {
			continue
		}
		c.lastObserved = max(c.lastObserved, observation.Interval)
		tracked.closeWindow(&c.cfg, observation.Interval)
		added := responseCount{observation.Interval, float64(observation.Histogram.Count()), float64(observation.Histogram.CountAbove(tracked.contract.Objective)), observation.Members}
		tracked.count, tracked.missed = tracked.count+added.total, tracked.missed+added.missed
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

// follow brings the tracks in line with the record's contracts: who has a new promise
// starts anew.
func (c *Controller) syncContracts(state State) {
	previous := c.contracts
	c.contracts, c.contractsVersion = make(map[string]*contractState, len(state.Contracts)), state.Version
	for _, contract := range state.Contracts {
		tracked := previous[contract.Name]
		if tracked == nil || !measuresAlike(&tracked.contract, &contract) {
			tracked = &contractState{contract: contract, regions: map[string]intervalRing{}}
		}
		tracked.contract = contract
		c.contracts[contract.Name] = tracked
	}
}

// same tells whether what was measured for one contract counts for the other.
func measuresAlike(a, b *Contract) bool {
	return a.Holder == b.Holder && a.Quantile == b.Quantile && a.Objective == b.Objective && a.ForMessages == b.ForMessages &&
		a.Window == b.Window && a.Target == b.Target && slices.Equal(a.Zones, b.Zones)
}
