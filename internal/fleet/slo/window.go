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

func (r intervalRing) add(n responseCount) {
	at := &r[n.interval%int64(len(r))]
	switch {
	case at.interval > n.interval:
		return
	case at.interval < n.interval:
		*at = responseCount{interval: n.interval}
	}
	at.total, at.missed, at.members = at.total+n.total, at.missed+n.missed, max(at.members, n.members)
}

func (r intervalRing) sum(since int64) (all, over float64, members int) {
	for _, n := range r {
		if n.interval >= since && n.total > 0 {
			all, over, members = all+n.total, over+n.missed, max(members, n.members)
		}
	}
	return all, over, members
}

// since is the first part that is evidence at a slot.
func (st *Controller) firstEvidenceInterval(slot int64) int64 {
	if st.DisabledGuards.EvidenceExpiry {
		return 0
	}
	return slot - st.mergeLag() - int64(st.cfg.EvidenceIntervals) + 1
}

// lag is how many parts are over and not yet merged.
func (st *Controller) mergeLag() int64 {
	return 1 + int64((st.cfg.LateSampleTimeout+st.cfg.SampleInterval-1)/st.cfg.SampleInterval)
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
func (st *Controller) pooledCount(region string, k *Contract, slot int64) (all, over float64, members int) {
	b := pooledKey{regionKind{region, k.ForMessages}, k.Objective.Milliseconds()}
	n, ok := st.pooledCounts[b]
	if !ok {
		for _, p := range st.pools[b.regionKind] {
			if p.hist == nil || p.interval < st.firstEvidenceInterval(slot) {
				continue
			}
			n.members = max(n.members, p.members)
			p.hist.ForEachBucket(func(ms, times int64) bool {
				if n.total += float64(times); isAbove(ms, b.objectiveMs) {
					n.missed += float64(times)
				}
				return true
			})
		}
		st.pooledCounts[b] = n
	}
	return n.total, n.missed, n.members
}

// Take takes what was seen. Members that do not lead take it too, so that one that begins
// to lead knows as much as the last one did.
func (st *Controller) Observe(s State, seen []Observation) {
	if s.Version != st.contractsVersion || st.contracts == nil {
		st.syncContracts(s)
	}
	clear(st.pooledCounts)
	before := st.lastObserved
	for _, w := range seen {
		t := st.contracts[w.Contract]
		if t == nil || w.Interval <= before {
			continue
		}
		st.lastObserved = max(st.lastObserved, w.Interval)
		t.closeWindow(&st.cfg, w.Interval)
		n := responseCount{w.Interval, float64(w.Histogram.Count()), float64(w.Histogram.CountAbove(t.contract.Objective)), w.Members}
		t.count, t.missed = t.count+n.total, t.missed+n.missed
		if t.regions[w.Region] == nil {
			if len(t.regions) >= maxZones {
				continue
			}
			t.regions[w.Region] = make(intervalRing, st.cfg.EvidenceIntervals)
		}
		t.regions[w.Region].add(n)
		st.addToPool(regionKind{w.Region, t.contract.ForMessages}, w)
	}
}

func (st *Controller) addToPool(k regionKind, w Observation) {
	parts := st.pools[k]
	if parts == nil {
		if len(st.pools) >= 2*maxZones {
			return
		}
		parts = make([]pooledHistogram, st.cfg.EvidenceIntervals)
		st.pools[k] = parts
	}
	p := &parts[w.Interval%int64(len(parts))]
	if p.interval > w.Interval {
		return
	}
	if p.interval < w.Interval {
		*p = pooledHistogram{interval: w.Interval, hist: newPackedHistogram()}
	}
	p.members = max(p.members, w.Members)
	_ = w.Histogram.addTo(p.hist, w.Histogram.Count())
}

// follow brings the tracks in line with the record's contracts: who has a new promise
// starts anew.
func (st *Controller) syncContracts(s State) {
	old := st.contracts
	st.contracts, st.contractsVersion = make(map[string]*contractState, len(s.Contracts)), s.Version
	for _, c := range s.Contracts {
		t := old[c.Name]
		if t == nil || !measuresAlike(&t.contract, &c) {
			t = &contractState{contract: c, regions: map[string]intervalRing{}}
		}
		t.contract = c
		st.contracts[c.Name] = t
	}
}

// same tells whether what was measured for one contract counts for the other.
func measuresAlike(a, b *Contract) bool {
	return a.Holder == b.Holder && a.Quantile == b.Quantile && a.Objective == b.Objective && a.ForMessages == b.ForMessages &&
		a.Window == b.Window && a.Target == b.Target && slices.Equal(a.Zones, b.Zones)
}
