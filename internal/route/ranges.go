package route

import (
	"cmp"
	"container/heap"
	"slices"

	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// maxHash is the last hash of all.
const maxHash = ^uint64(0)

// hashRange is a range of the groups' hashes and the route that takes it. The end is exclusive but
// for maxHash.
type hashRange struct {
	from, to uint64
	route    *Route
}

// rangeOf returns the range that an entry's match names.
func (b *bucket) rangeOf(entry *routeupdate.Entry, route *Route) hashRange {
	claim := hashRange{from: hashEdge(entry.Match.HashFrom), to: hashEdge(entry.Match.HashTo), route: route}
	if b.specificity&byRange == 0 || entry.Match.HashTo == 1 {
		claim.to = maxHash
	}
	return claim
}

// hashEdge returns the hash at a fraction of all hashes.
func hashEdge(fraction float64) uint64 { return uint64(fraction*(1<<53)) << 11 }

// lookup returns the route that takes a hash, nil if none does.
func (b *bucket) lookup(hash uint64) *Route {
	if b.specificity&byRange == 0 {
		return b.ranges[0].route
	}
	low, high := 0, len(b.ranges) // the first range that begins beyond the hash
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

// splitOverlaps cuts claims, which come by path, into ranges without overlaps: each hash is the
// first claim's that has it.
func splitOverlaps(claims []hashRange) []hashRange {
	if len(claims) == 1 {
		return claims
	}
	byFrom, edges := edgesOf(claims)
	var ranges []hashRange
	active := &indexHeap{} // the claims that have the hashes from this edge on
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

// edgesOf returns the claims' indices in the order of their beginnings, and all beginnings and ends
// in order.
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

// appendRange appends a range, or extends the last one if that is of the same route and ends where
// the new one begins.
func appendRange(ranges []hashRange, added hashRange) []hashRange {
	if last := len(ranges) - 1; last >= 0 && ranges[last].route == added.route && ranges[last].to == added.from {
		ranges[last].to = added.to
		return ranges
	}
	return append(ranges, added)
}

// indexHeap is a heap of the indices of claims.
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
