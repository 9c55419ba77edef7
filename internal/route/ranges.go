package route

import (
	"cmp"
	"container/heap"
	"slices"

	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// maxHash is the greatest hash.
const maxHash = ^uint64(0)

// hashRange is a range of group hashes and its route. The end of the range is exclusive, except for
// maxHash.
type hashRange struct {
	from, to uint64
	route    *Route
}

// rangeOf returns the hash range of an entry's match.
func (b *bucket) rangeOf(entry *routeupdate.Entry, route *Route) hashRange {
	claim := hashRange{from: hashAt(entry.Match.HashFrom), to: hashAt(entry.Match.HashTo), route: route}
	if b.specificity&fieldRange == 0 || entry.Match.HashTo == 1 {
		claim.to = maxHash
	}
	return claim
}

// hashAt returns the hash at a fraction, from 0 up to below 1, of the range of all hashes.
func hashAt(fraction float64) uint64 { return uint64(fraction*(1<<53)) << 11 }

// lookup returns the route of the range that contains a hash, or nil if there is none.
func (b *bucket) lookup(hash uint64) *Route {
	if b.specificity&fieldRange == 0 {
		return b.ranges[0].route
	}
	low, high := 0, len(b.ranges) // binary search for the first range that begins after the hash
	for low < high {
		middle := int(uint(low+high) >> 1)
		if b.ranges[middle].from > hash {
			high = middle
		} else {
			low = middle + 1
		}
	}
	if low == 0 {
		return nil
	}
	if candidate := &b.ranges[low-1]; hash < candidate.to || candidate.to == maxHash {
		return candidate.route
	}
	return nil
}

// splitOverlaps splits claims, which are ordered by path and may overlap, into ranges without overlaps.
// Each hash is assigned to the first claim that contains it.
func splitOverlaps(claims []hashRange) []hashRange {
	if len(claims) == 1 {
		return claims
	}
	byFrom, edges := edgesOf(claims)
	var ranges []hashRange
	active := &indexHeap{} // claims that contain the hashes from this edge on
	for i, from := range edges[:len(edges)-1] {
		for len(byFrom) > 0 && claims[byFrom[0]].from == from {
			heap.Push(active, byFrom[0])
			byFrom = byFrom[1:]
		}
		for len(*active) > 0 && claims[(*active)[0]].to <= from {
			heap.Pop(active)
		}
		if len(*active) > 0 {
			ranges = appendRange(ranges, hashRange{from, edges[i+1], claims[(*active)[0]].route})
		}
	}
	return ranges
}

// edgesOf returns the indices of the claims in the order of their beginnings, and all beginnings and ends
// in ascending order, without duplicates.
func edgesOf(claims []hashRange) (byFrom []int, edges []uint64) {
	byFrom = make([]int, len(claims))
	edges = make([]uint64, 0, 2*len(claims))
	for i, claim := range claims {
		byFrom[i] = i
		edges = append(edges, claim.from, claim.to)
	}
	slices.SortFunc(byFrom, func(i, j int) int { return cmp.Compare(claims[i].from, claims[j].from) })
	slices.Sort(edges)
	return byFrom, slices.Compact(edges)
}

// appendRange appends a range, or extends the last range if that has the same route and ends where the new
// one begins.
func appendRange(ranges []hashRange, added hashRange) []hashRange {
	if last := len(ranges) - 1; last >= 0 && ranges[last].route == added.route && ranges[last].to == added.from {
		ranges[last].to = added.to
		return ranges
	}
	return append(ranges, added)
}

// indexHeap is a heap of indices of claims, with the smallest first.
type indexHeap []int

func (h indexHeap) Len() int           { return len(h) }
func (h indexHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h indexHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *indexHeap) Push(x any) { *h = append(*h, x.(int)) }

// Pop implements heap.Interface.
func (h *indexHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
