package slo

import (
	"cmp"
	"math"
	"slices"
)

// place is a region as it fills up, in set-ups a second.
type regionCapacity struct {
	name                        string
	usable                      bool
	capacity                    float64 // that it bears
	spare, headroom, inflowLeft float64 // left of it, of the part up to which it may be moved to, of this period's moves
	displaced                   float64 // was moved in, and those of less priority have not made way for it
}

// want is a contract as it is placed, in thousandths of its set-ups, by region.
type placement struct {
	contract          *Contract
	ratePerThousandth float64 // set-ups a second in a thousandth
	allowed           []bool
	regionViews       []regionView
	current, next     []int
	overflow          []int // of next, what the region has no room for
	unplaced          int
	moved             int
	maySteer, isDue   bool // the record takes a step of it; its period is over
	isBurning         bool
	unmetReason       string // it can't be kept, if it can't
	exploredRegion    string
	lastUnmetReason   string
}

// fit is how many of most thousandths there is room for.
func fitting(room, unit float64, most int) int {
	if unit <= 0 {
		return most
	}
	return int(min(max(math.Floor(room/unit+1e-9), 0), float64(most)))
}

func (p *regionCapacity) reserve(w *placement, k int) {
	p.spare, p.headroom = p.spare-float64(k)*w.ratePerThousandth, p.headroom-float64(k)*w.ratePerThousandth
}

// allocate places all contracts: those that can be kept by priority, then those that
// can't. Within a priority all who are somewhere stay first, so that few are moved; what
// comes later never takes from what came before.
func (st *Controller) allocate(wants []*placement, places []regionCapacity) {
	order := slices.Clone(wants)
	rank := func(w *placement) int {
		if w.lastUnmetReason != "" {
			return math.MaxInt32 + w.contract.Priority
		}
		return w.contract.Priority
	}
	choices := func(w *placement) (n int) {
		for _, ok := range w.allowed {
			if ok {
				n++
			}
		}
		return n
	}
	slices.SortFunc(order, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(choices(a), choices(b)),
			cmp.Compare(a.contract.Name, b.contract.Name))
	})
	for len(order) > 0 {
		n := 1
		for n < len(order) && rank(order[n]) == rank(order[0]) {
			n++
		}
		for _, w := range order[:n] {
			st.retain(w, places)
		}
		for _, w := range order[:n] {
			st.placeRemainder(w, places)
		}
		for _, w := range order[:n] {
			st.moveFromBreaches(w, places)
		}
		order = order[n:]
	}
}

// bears is how many thousandths of a contract still fit. One that can't be kept gets what
// lies below the full mark only, so that it makes no region slow for the others.
func (p *regionCapacity) fits(w *placement, k int) int {
	if w.lastUnmetReason != "" {
		return fitting(min(p.spare, p.headroom), w.ratePerThousandth, k)
	}
	return fitting(p.spare, w.ratePerThousandth, k)
}

// stays is how many of k thousandths a contract keeps in a region. Who is there may stay
// above the full mark, but makes way for those of more priority who are moved in.
func (p *regionCapacity) retained(w *placement, k int) int {
	k = p.fits(w, k)
	if way := min(float64(k)*w.ratePerThousandth-max(p.headroom, 0), p.displaced); way > 0 {
		p.displaced -= way
		k -= min(k, int(math.Ceil(way/w.ratePerThousandth-1e-9)))
	}
	return k
}

// stay keeps what a contract has where the region bears it; the rest is homeless.
func (st *Controller) retain(w *placement, places []regionCapacity) {
	w.next, w.overflow = make([]int, len(places)), make([]int, len(places))
	w.unplaced = thousandths
	for r := range places {
		k := 0
		if !w.maySteer {
			k = w.current[r] // it goes there whatever is said here
		} else if w.allowed[r] && places[r].usable {
			k = w.current[r]
			if !st.DisabledGuards.CapacityLimits {
				k = places[r].retained(w, k)
			}
		}
		w.next[r] = k
		w.unplaced -= k
		places[r].reserve(w, k)
	}
	if !w.maySteer && w.unplaced > 0 { // its allocation names regions that are no more
		w.unplaced = 0
	}
}

// by lists the regions that a contract may use, the best first.
func (w *placement) rankedRegions(places []regionCapacity) []int {
	var list []int
	for r := range places {
		if w.allowed[r] && places[r].usable {
			list = append(list, r)
		}
	}
	merit := [...]int{unknown: 1, meets: 0, breaches: 2}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(merit[w.regionViews[a].verdict], merit[w.regionViews[b].verdict]), cmp.Compare(w.regionViews[b].score, w.regionViews[a].score))
	})
	return list
}

// house finds room for what is homeless. It is on its way already, as its region is left
// or full, so no step bounds it. What fits nowhere goes where it was, or else by what the
// regions bear, and is told as over: whoever refuses, refuses these first.
func (st *Controller) placeRemainder(w *placement, places []regionCapacity) {
	list := w.rankedRegions(places)
	for _, full := range []bool{false, true} { // to the full mark everywhere before above it anywhere
		for _, r := range list {
			k := places[r].fits(w, w.unplaced)
			if !full {
				k = fitting(min(places[r].spare, places[r].headroom), w.ratePerThousandth, k)
			}
			if st.DisabledGuards.CapacityLimits {
				k = w.unplaced
			}
			w.next[r] += k
			w.unplaced -= k
			w.moved += k
			places[r].reserve(w, k)
		}
	}
	if w.unplaced == 0 {
		return
	}
	if len(list) == 0 {
		w.unmetReason, w.overflow, w.unplaced = "zones: none that it may use is usable", slices.Clone(w.current), 0
		return
	}
	w.unmetReason = "limit: " + joinRegionNames(places, list) + " have no room for all of it"
	for _, r := range list {
		k := min(max(w.current[r]-w.next[r], 0), w.unplaced)
		w.overflow[r], w.unplaced = k, w.unplaced-k
	}
	weights := make([]float64, len(places))
	for _, r := range list {
		weights[r] = places[r].capacity + 1e-6 // one that bears nothing is a place too
	}
	for r, k := range apportion(w.unplaced, weights) {
		w.overflow[r] += k
	}
	w.unplaced = 0
}

// spread cuts a whole into parts by weights; the rest goes to the greatest remainders.
func apportion(whole int, weights []float64) []int {
	parts, sum, left := make([]int, len(weights)), 0.0, whole
	for _, x := range weights {
		sum += x
	}
	if sum <= 0 {
		return parts
	}
	order, rest := make([]int, len(weights)), make([]float64, len(weights))
	for i, x := range weights {
		exact := float64(whole) * x / sum
		parts[i], order[i] = int(exact), i
		rest[i], left = exact-float64(parts[i]), left-parts[i]
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(rest[b], rest[a]) })
	for i := 0; left > 0; i, left = i+1, left-1 {
		parts[order[i%len(order)]]++
	}
	return parts
}

func joinRegionNames(places []regionCapacity, list []int) (s string) {
	for i, r := range slices.Sorted(slices.Values(list)) {
		if i == 4 {
			return s + " and others"
		}
		if i > 0 {
			s += ", "
		}
		s += places[r].name
	}
	return s
}
