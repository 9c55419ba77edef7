package route

import (
	"cmp"
	"container/heap"
	"slices"
)

// span is a range of the groups' places, to not among them but for the last place of all,
// and the route that takes it.
type hashRange struct {
	from, to uint64
	route    *Route
}

// at finds the route that takes a place.
func (b *bucket) lookup(hash uint64) *Route {
	if b.specificity&byRange == 0 {
		return b.ranges[0].route
	}
	low, high := 0, len(b.ranges) // the first that begins beyond the place
	for low < high {
		if mid := int(uint(low+high) >> 1); b.ranges[mid].from > hash {
			high = mid
		} else {
			low = mid + 1
		}
	}
	if low == 0 {
		return nil
	}
	if candidate := &b.ranges[low-1]; hash < candidate.to || candidate.to == ^uint64(0) {
		return candidate.route
	}
	return nil
}

// apart cuts claims, which come by path, so that each place is the first path's that claims
// it.
func splitOverlaps(claims []hashRange) (ranges []hashRange) {
	if len(claims) == 1 {
		return claims
	}
	byFrom := make([]int, len(claims))
	edges := make([]uint64, 0, 2*len(claims))
	for i, c := range claims {
		byFrom[i] = i
		edges = append(edges, c.from, c.to)
	}
	slices.SortFunc(byFrom, func(i, j int) int { return cmp.Compare(claims[i].from, claims[j].from) })
	slices.Sort(edges)
	edges = slices.Compact(edges)
	active := &indexHeap{}
	for i, from := range edges[:len(edges)-1] {
		for len(byFrom) > 0 && claims[byFrom[0]].from == from {
			heap.Push(active, byFrom[0])
			byFrom = byFrom[1:]
		}
		for len(*active) > 0 && claims[(*active)[0]].to <= from {
			heap.Pop(active)
		}
		if len(*active) == 0 {
			continue
		}
		owner, last := claims[(*active)[0]].route, len(ranges)-1
		if last >= 0 && ranges[last].route == owner && ranges[last].to == from {
			ranges[last].to = edges[i+1]
		} else {
			ranges = append(ranges, hashRange{from, edges[i+1], owner})
		}
	}
	return ranges
}

// first is a heap of claims' numbers.
type indexHeap []int

func (h indexHeap) Len() int           { return len(h) }
func (h indexHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h indexHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *indexHeap) Push(x any)        { *h = append(*h, x.(int)) }
func (h *indexHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}
