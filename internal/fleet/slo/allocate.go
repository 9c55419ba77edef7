package slo

import (
	"cmp"
	"math"
	"slices"
)

// place is a region as it fills up, in set-ups a second.
type place struct {
	name               string
	usable             bool
	all                float64 // that it bears
	room, fill, inflow float64 // left of it, of the part up to which it may be moved to, of this period's moves
	pressed            float64 // was moved in, and those of less priority have not made way for it
}

// want is a contract as it is placed, in thousandths of its set-ups, by region.
type want struct {
	contract   *Contract
	unit       float64 // set-ups a second in a thousandth
	allowed    []bool
	views      []view
	cur, next  []int
	over       []int // of next, what the region has no room for
	homeless   int
	moved      int
	free, due  bool // the record takes a step of it; its period is over
	burning    bool
	why        string // it can't be kept, if it can't
	explored   string
	lastUnkept string
}

// fit is how many of most thousandths there is room for.
func fit(room, unit float64, most int) int {
	if unit <= 0 {
		return most
	}
	return int(min(max(math.Floor(room/unit+1e-9), 0), float64(most)))
}

func (p *place) take(w *want, k int) {
	p.room, p.fill = p.room-float64(k)*w.unit, p.fill-float64(k)*w.unit
}

// allocate places all contracts: those that can be kept by priority, then those that
// can't. Within a priority all who are somewhere stay first, so that few are moved; what
// comes later never takes from what came before.
func (st *Controller) allocate(wants []*want, places []place) {
	order := slices.Clone(wants)
	rank := func(w *want) int {
		if w.lastUnkept != "" {
			return math.MaxInt32 + w.contract.Priority
		}
		return w.contract.Priority
	}
	choices := func(w *want) (n int) {
		for _, ok := range w.allowed {
			if ok {
				n++
			}
		}
		return n
	}
	slices.SortFunc(order, func(a, b *want) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(choices(a), choices(b)),
			cmp.Compare(a.contract.Name, b.contract.Name))
	})
	for len(order) > 0 {
		n := 1
		for n < len(order) && rank(order[n]) == rank(order[0]) {
			n++
		}
		for _, w := range order[:n] {
			st.stay(w, places)
		}
		for _, w := range order[:n] {
			st.house(w, places)
		}
		for _, w := range order[:n] {
			st.move(w, places)
		}
		order = order[n:]
	}
}

// bears is how many thousandths of a contract still fit. One that can't be kept gets what
// lies below the full mark only, so that it makes no region slow for the others.
func (p *place) bears(w *want, k int) int {
	if w.lastUnkept != "" {
		return fit(min(p.room, p.fill), w.unit, k)
	}
	return fit(p.room, w.unit, k)
}

// stays is how many of k thousandths a contract keeps in a region. Who is there may stay
// above the full mark, but makes way for those of more priority who are moved in.
func (p *place) stays(w *want, k int) int {
	k = p.bears(w, k)
	if way := min(float64(k)*w.unit-max(p.fill, 0), p.pressed); way > 0 {
		p.pressed -= way
		k -= min(k, int(math.Ceil(way/w.unit-1e-9)))
	}
	return k
}

// stay keeps what a contract has where the region bears it; the rest is homeless.
func (st *Controller) stay(w *want, places []place) {
	w.next, w.over = make([]int, len(places)), make([]int, len(places))
	w.homeless = mille
	for r := range places {
		k := 0
		if !w.free {
			k = w.cur[r] // it goes there whatever is said here
		} else if w.allowed[r] && places[r].usable {
			k = w.cur[r]
			if !st.DisabledGuards.CapacityLimits {
				k = places[r].stays(w, k)
			}
		}
		w.next[r] = k
		w.homeless -= k
		places[r].take(w, k)
	}
	if !w.free && w.homeless > 0 { // its allocation names regions that are no more
		w.homeless = 0
	}
}

// by lists the regions that a contract may use, the best first.
func (w *want) by(places []place) []int {
	var list []int
	for r := range places {
		if w.allowed[r] && places[r].usable {
			list = append(list, r)
		}
	}
	merit := [...]int{unknown: 1, keeps: 0, breaks: 2}
	slices.SortStableFunc(list, func(a, b int) int {
		return cmp.Or(cmp.Compare(merit[w.views[a].verdict], merit[w.views[b].verdict]), cmp.Compare(w.views[b].score, w.views[a].score))
	})
	return list
}

// house finds room for what is homeless. It is on its way already, as its region is left
// or full, so no step bounds it. What fits nowhere goes where it was, or else by what the
// regions bear, and is told as over: whoever refuses, refuses these first.
func (st *Controller) house(w *want, places []place) {
	list := w.by(places)
	for _, full := range []bool{false, true} { // to the full mark everywhere before above it anywhere
		for _, r := range list {
			k := places[r].bears(w, w.homeless)
			if !full {
				k = fit(min(places[r].room, places[r].fill), w.unit, k)
			}
			if st.DisabledGuards.CapacityLimits {
				k = w.homeless
			}
			w.next[r] += k
			w.homeless -= k
			w.moved += k
			places[r].take(w, k)
		}
	}
	if w.homeless == 0 {
		return
	}
	if len(list) == 0 {
		w.why, w.over, w.homeless = "zones: none that it may use is usable", slices.Clone(w.cur), 0
		return
	}
	w.why = "limit: " + names(places, list) + " have no room for all of it"
	for _, r := range list {
		k := min(max(w.cur[r]-w.next[r], 0), w.homeless)
		w.over[r], w.homeless = k, w.homeless-k
	}
	weights := make([]float64, len(places))
	for _, r := range list {
		weights[r] = places[r].all + 1e-6 // one that bears nothing is a place too
	}
	for r, k := range spread(w.homeless, weights) {
		w.over[r] += k
	}
	w.homeless = 0
}

// spread cuts a whole into parts by weights; the rest goes to the greatest remainders.
func spread(whole int, weights []float64) []int {
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

func names(places []place, list []int) (s string) {
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
