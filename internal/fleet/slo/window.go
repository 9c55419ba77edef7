package slo

import (
	"slices"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// count is what was measured in one part of time.
type count struct {
	slot      int64
	all, over float64
	members   int
}

// ring holds the last parts; what is older falls out as new ones come.
type ring []count

func (r ring) add(n count) {
	at := &r[n.slot%int64(len(r))]
	switch {
	case at.slot > n.slot:
		return
	case at.slot < n.slot:
		*at = count{slot: n.slot}
	}
	at.all, at.over, at.members = at.all+n.all, at.over+n.over, max(at.members, n.members)
}

func (r ring) sum(since int64) (all, over float64, members int) {
	for _, n := range r {
		if n.slot >= since && n.all > 0 {
			all, over, members = all+n.all, over+n.over, max(members, n.members)
		}
	}
	return all, over, members
}

// since is the first part that is evidence at a slot.
func (st *Controller) since(slot int64) int64 {
	if st.DisabledGuards.EvidenceExpiry {
		return 0
	}
	return slot - st.lag() - int64(st.cfg.EvidenceIntervals) + 1
}

// lag is how many parts are over and not yet merged.
func (st *Controller) lag() int64 {
	return 1 + int64((st.cfg.LateSampleTimeout+st.cfg.SampleInterval-1)/st.cfg.SampleInterval)
}

// kind is what all contracts of a region measure alike.
type kind struct {
	region   string
	messages bool
}

// pool is all that was measured of a kind in one part.
type pool struct {
	slot    int64
	hist    *hdr.PackedHistogram
	members int
}

type bound struct {
	kind
	ms int64
}

// pooled is what all contracts together measured in a region, against one's bound.
func (st *Controller) pooled(region string, k *Contract, slot int64) (all, over float64, members int) {
	b := bound{kind{region, k.ForMessages}, k.Objective.Milliseconds()}
	n, ok := st.cache[b]
	if !ok {
		for _, p := range st.pools[b.kind] {
			if p.hist == nil || p.slot < st.since(slot) {
				continue
			}
			n.members = max(n.members, p.members)
			p.hist.ForEachBucket(func(ms, times int64) bool {
				if n.all += float64(times); above(ms, b.ms) {
					n.over += float64(times)
				}
				return true
			})
		}
		st.cache[b] = n
	}
	return n.all, n.over, n.members
}

// Take takes what was seen. Members that do not lead take it too, so that one that begins
// to lead knows as much as the last one did.
func (st *Controller) Observe(s State, seen []Observation) {
	if s.Version != st.version || st.tracks == nil {
		st.follow(s)
	}
	clear(st.cache)
	before := st.taken
	for _, w := range seen {
		t := st.tracks[w.Contract]
		if t == nil || w.Interval <= before {
			continue
		}
		st.taken = max(st.taken, w.Interval)
		t.turn(&st.cfg, w.Interval)
		n := count{w.Interval, float64(w.Histogram.Count()), float64(w.Histogram.CountAbove(t.contract.Objective)), w.Members}
		t.all, t.over = t.all+n.all, t.over+n.over
		if t.regions[w.Region] == nil {
			if len(t.regions) >= mostZones {
				continue
			}
			t.regions[w.Region] = make(ring, st.cfg.EvidenceIntervals)
		}
		t.regions[w.Region].add(n)
		st.pool(kind{w.Region, t.contract.ForMessages}, w)
	}
}

func (st *Controller) pool(k kind, w Observation) {
	parts := st.pools[k]
	if parts == nil {
		if len(st.pools) >= 2*mostZones {
			return
		}
		parts = make([]pool, st.cfg.EvidenceIntervals)
		st.pools[k] = parts
	}
	p := &parts[w.Interval%int64(len(parts))]
	if p.slot > w.Interval {
		return
	}
	if p.slot < w.Interval {
		*p = pool{slot: w.Interval, hist: newHist()}
	}
	p.members = max(p.members, w.Members)
	_ = w.Histogram.into(p.hist, w.Histogram.Count())
}

// follow brings the tracks in line with the record's contracts: who has a new promise
// starts anew.
func (st *Controller) follow(s State) {
	old := st.tracks
	st.tracks, st.version = make(map[string]*track, len(s.Contracts)), s.Version
	for _, c := range s.Contracts {
		t := old[c.Name]
		if t == nil || !same(&t.contract, &c) {
			t = &track{contract: c, regions: map[string]ring{}}
		}
		t.contract = c
		st.tracks[c.Name] = t
	}
}

// same tells whether what was measured for one contract counts for the other.
func same(a, b *Contract) bool {
	return a.Holder == b.Holder && a.Quantile == b.Quantile && a.Objective == b.Objective && a.ForMessages == b.ForMessages &&
		a.Window == b.Window && a.Target == b.Target && slices.Equal(a.Zones, b.Zones)
}
