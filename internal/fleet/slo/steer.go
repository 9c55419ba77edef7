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
	cfg            Config
	version        uint64
	taken          int64         // the last part that was taken
	period         time.Duration // when the last moves were proposed
	tracks         map[string]*track
	pools          map[kind][]pool
	cache          map[bound]count
	DisabledGuards Guards
}

// NewSteer returns one that has seen nothing: it goes on from the record's State.
func NewController(cfg Config) *Controller {
	return &Controller{cfg: cfg, pools: map[kind][]pool{}, cache: map[bound]count{}}
}

// mostSteers is how long what one entry steers may be, in bytes of JSON and reckoned
// amply; the others follow with the next.
const mostSteers = 200_000

func (a *Allocation) size() int {
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
	clear(st.cache)
	slot := st.cfg.slot(now)
	if st.period == 0 || st.period > now { // the last leader may have moved some just now
		st.period = now
	}
	open := now-st.period >= st.cfg.MoveInterval
	places := st.places(regions)
	wants := make([]*want, 0, len(s.Contracts))
	for i := range s.Contracts {
		w := st.want(now, slot, s, &s.Contracts[i], places, demand)
		w.due = w.due && open
		wants = append(wants, w)
	}
	st.allocate(wants, places)
	st.explore(wants, places, slot)

	c = Change{BaseVersion: s.Version, BaseAllocationVersion: s.AllocationVersion}
	moved, explored, unkept, size := 0, 0, 0, 0
	slices.SortStableFunc(wants, func(a, b *want) int { return cmp.Compare(a.contract.Priority, b.contract.Priority) })
	for _, w := range wants {
		a, changed := st.outcome(now, s, w, places)
		if !changed {
			continue
		}
		if size += a.size(); size > mostSteers {
			break
		}
		c.Allocations = append(c.Allocations, a)
		if w.moved > 0 && w.due {
			st.period = now
		}
		if w.explored != "" {
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

func positive(x float64) float64 {
	if x > 0 && x <= 1e12 {
		return x
	}
	return 0
}

// places returns the regions by name, empty but for what is served under no contract.
func (st *Controller) places(regions []Region) []place {
	of := map[string]place{}
	for _, r := range regions {
		if len(of) >= mostZones || !word(r.Name, 64) {
			continue
		}
		usable := min(positive(r.UsableFraction), 1)
		p := place{name: r.Name, usable: usable > 0, all: positive(r.Capacity) * usable}
		p.room = p.all - positive(r.OtherTraffic)
		p.fill, p.inflow = p.all*st.cfg.MaxUtilization-positive(r.OtherTraffic), p.all*st.cfg.MaxInflowFraction
		if r.Load > 1 { // its figure is too great, or others fill it
			p.fill, p.inflow = 0, 0
		}
		of[r.Name] = p
	}
	return slices.SortedFunc(maps.Values(of), func(a, b place) int { return cmp.Compare(a.name, b.name) })
}

// want says what a contract has and what it sees.
func (st *Controller) want(now time.Duration, slot int64, s State, c *Contract, places []place, demand map[string]float64) *want {
	t := st.tracks[c.Name]
	t.turn(&st.cfg, max(slot-st.lag(), 0))
	w := &want{contract: c, unit: positive(demand[c.Name]) / mille, free: true, due: true, burning: t.burning(),
		cur: make([]int, len(places)), views: make([]view, len(places)), allowed: make([]bool, len(places))}
	a, steered := s.Allocation(c.Name)
	weights := make([]float64, len(places))
	for i, p := range places {
		w.allowed[i] = len(c.Zones) == 0 || slices.Contains(c.Zones, p.name)
		if w.allowed[i] {
			weights[i] = p.all
			w.views[i] = st.look(t, p.name, slot)
			w.views[i].ripe = st.ripe(now, t, p.name, w.views[i].verdict)
		}
		w.cur[i], _ = round(a.Shares[p.name])
	}
	if !steered {
		w.cur = spread(mille, st.drawn(t, slot, places, weights))
		return w
	}
	ms := now.Milliseconds()
	w.lastUnkept = a.UnmetReason
	w.free = a.PreviouslySteeredAt == 0 || ms >= a.PreviouslySteeredAt+spell
	w.due = ms >= a.SteeredAt+st.cfg.MoveInterval.Milliseconds()
	return w
}

// drawn are the weights by which a contract that was never steered is spread: as it was
// measured or, where that is too little, by what the regions bear, as the module draws
// evenly among the servers that it may use.
func (st *Controller) drawn(t *track, slot int64, places []place, bears []float64) []float64 {
	measured, sum := make([]float64, len(places)), 0.0
	for r, p := range places {
		if bears[r] > 0 {
			measured[r], _, _ = t.regions[p.name].sum(st.since(slot))
			sum += measured[r]
		}
	}
	if sum < st.cfg.MinSamples {
		return bears
	}
	return measured
}

// ripe tells whether a region has broken a promise for longer than the patience.
func (st *Controller) ripe(now time.Duration, t *track, region string, v verdict) bool {
	if v != breaks {
		delete(t.broken, region)
		return false
	}
	if t.broken == nil {
		t.broken = map[string]time.Duration{}
	}
	since, ok := t.broken[region]
	if !ok {
		since = now
		t.broken[region] = now
	}
	return now-since >= st.cfg.MinBreachInterval || st.DisabledGuards.Hysteresis
}

const (
	leastMove = 5  // thousandths: less is not worth an entry
	leastOver = 20 // so much more or less that has no room is told
)

// outcome is what the record is to hold of a contract, and whether that is news.
func (st *Controller) outcome(now time.Duration, s State, w *want, places []place) (Allocation, bool) {
	t := st.tracks[w.contract.Name]
	old, _ := s.Allocation(w.contract.Name)
	over, moved, shares := 0, 0, make(map[string]float64, len(places))
	for r, p := range places {
		k := w.next[r] + w.over[r]
		over += w.over[r]
		if moved += max(k-w.cur[r], 0); k > 0 {
			shares[p.name] = float64(k) / mille
		}
	}
	a := Allocation{Contract: w.contract.Name, Shares: shares, Overflow: float64(over) / mille, UnmetReason: st.unkept(now, t, w)}
	was, _ := round(old.Overflow)
	news := moved >= leastMove || (a.UnmetReason == "") != (old.UnmetReason == "") || max(over-was, was-over) >= leastOver || over == 0 && was > 0
	sum := 0
	for r := range places {
		sum += w.next[r] + w.over[r]
	}
	return a, news && w.free && sum == mille
}

// unkept says why a contract can't be kept: what is so for longer than the patience. It
// is taken back when its budget is no longer spent.
func (st *Controller) unkept(now time.Duration, t *track, w *want) string {
	if w.why == "" && !w.due { // not asked to move, so nothing is known of it
		return w.lastUnkept
	}
	if w.why == "" {
		t.stuck = 0
		if w.burning {
			return w.lastUnkept
		}
		return ""
	}
	if t.stuck == 0 {
		t.stuck = now
	}
	if w.lastUnkept == "" && now-t.stuck < st.cfg.MinBreachInterval {
		return ""
	}
	return w.why
}
