package route

import (
	"cmp"
	"container/heap"
	"slices"
)

// span is a range of the groups' places, to not among them but for the last place of all,
// and the route that takes it.
type span struct {
	from, to uint64
	route    *Route
}

// at finds the route that takes a place.
func (c *cell) at(place uint64) *Route {
	if c.rank&byRange == 0 {
		return c.spans[0].route
	}
	low, high := 0, len(c.spans) // the first that begins beyond the place
	for low < high {
		if mid := int(uint(low+high) >> 1); c.spans[mid].from > place {
			high = mid
		} else {
			low = mid + 1
		}
	}
	if low == 0 {
		return nil
	}
	if s := &c.spans[low-1]; place < s.to || s.to == ^uint64(0) {
		return s.route
	}
	return nil
}

// apart cuts claims, which come by path, so that each place is the first path's that claims
// it.
func apart(claims []span) (spans []span) {
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
	open := &first{}
	for i, from := range edges[:len(edges)-1] {
		for len(byFrom) > 0 && claims[byFrom[0]].from == from {
			heap.Push(open, byFrom[0])
			byFrom = byFrom[1:]
		}
		for len(*open) > 0 && claims[(*open)[0]].to <= from {
			heap.Pop(open)
		}
		if len(*open) == 0 {
			continue
		}
		owner, last := claims[(*open)[0]].route, len(spans)-1
		if last >= 0 && spans[last].route == owner && spans[last].to == from {
			spans[last].to = edges[i+1]
		} else {
			spans = append(spans, span{from, edges[i+1], owner})
		}
	}
	return spans
}

// first is a heap of claims' numbers.
type first []int

func (f first) Len() int           { return len(f) }
func (f first) Less(i, j int) bool { return f[i] < f[j] }
func (f first) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *first) Push(x any)        { *f = append(*f, x.(int)) }
func (f *first) Pop() any {
	last := len(*f) - 1
	x := (*f)[last]
	*f = (*f)[:last]
	return x
}
