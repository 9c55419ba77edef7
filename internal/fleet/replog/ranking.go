package replog

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// fan is how many followers a member serves; voters are served beside them.
const maxFollowers = 8

func hashWeight(parts ...string) uint64 {
	hasher := fnv.New64a()
	for _, part := range parts {
		_, _ = hasher.Write([]byte(part))
		_, _ = hasher.Write([]byte{0})
	}
	mixed := hasher.Sum64() // FNV's low bits are poor for names that differ in their last digit
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// order says whom a member asks for the record, the best first. The fleet stands in layers:
// voters, then so many members as the voters that don't lead can serve, then so many as
// these can, by a hash of the name. A member asks the layer above its own, in an order that
// is its own (rendezvous), then those nearer to the leader, then the leader, and in need its
// own layer and those below, where the word's path tells of a circle. The first so many suit
// it; whom it asks behind them it leaves again when it can.
func rankUpstreams(self string, voters []Voter, peers []Peer, leader string) (candidates []Peer, preferred int) {
	isVoter := map[string]bool{}
	var above []Peer
	var leaders []Peer
	for _, v := range voters {
		isVoter[v.Name] = true
		switch {
		case v.Name == self:
		case v.Name == leader:
			leaders = append(leaders, Peer{Name: v.Name, Addr: v.Addr})
		default:
			above = append(above, Peer{Name: v.Name, Addr: v.Addr})
		}
	}
	sortByOwnOrder := func(candidates []Peer) {
		slices.SortFunc(candidates, func(a, b Peer) int { return cmp.Compare(hashWeight(self, a.Name), hashWeight(self, b.Name)) })
	}
	sortByOwnOrder(above)
	others := []Peer{{Name: self}}
	for _, p := range peers {
		if !isVoter[p.Name] && p.Name != self && p.Addr != "" {
			others = append(others, p)
		}
	}
	slices.SortFunc(others, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(hashWeight(a.Name), hashWeight(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if isVoter[self] { // it speaks with the leader anyway
		others = slices.DeleteFunc(others, func(p Peer) bool { return p.Name == self })
		sortByOwnOrder(others)
		return slices.Concat(leaders, above, others), len(leaders)
	}
	nearer := [][]Peer{above}
	var below []Peer
	for capacity, reachedOwnLayer := max(len(voters)-1, 1)*maxFollowers, false; len(others) > 0; capacity *= maxFollowers {
		layer := slices.Clone(others[:min(capacity, len(others))])
		others = others[len(layer):]
		if position := slices.IndexFunc(layer, func(p Peer) bool { return p.Name == self }); position >= 0 {
			layer, reachedOwnLayer = slices.Delete(layer, position, position+1), true
		}
		sortByOwnOrder(layer)
		if reachedOwnLayer {
			below = append(below, layer...)
		} else {
			nearer = append(nearer, layer)
		}
	}
	slices.Reverse(nearer)
	return slices.Concat(slices.Concat(nearer...), leaders, below), len(nearer[0])
}
