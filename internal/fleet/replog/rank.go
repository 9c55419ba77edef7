package replog

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// fan is how many followers a member serves; voters are served beside them.
const maxFollowers = 8

func hashWeight(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	x := h.Sum64() // FNV's low bits are poor for names that differ in their last digit
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// order says whom a member asks for the record, the best first. The fleet stands in layers:
// voters, then so many members as the voters that don't lead can serve, then so many as
// these can, by a hash of the name. A member asks the layer above its own, in an order that
// is its own (rendezvous), then those nearer to the leader, then the leader, and in need its
// own layer and those below, where the word's path tells of a circle. The first so many suit
// it; whom it asks behind them it leaves again when it can.
func rankUpstreams(self string, voters []Voter, peers []Peer, leader string) (list []Peer, suit int) {
	votes := map[string]bool{}
	var above []Peer
	var lead []Peer
	for _, v := range voters {
		votes[v.Name] = true
		switch {
		case v.Name == self:
		case v.Name == leader:
			lead = append(lead, Peer{Name: v.Name, Addr: v.Addr})
		default:
			above = append(above, Peer{Name: v.Name, Addr: v.Addr})
		}
	}
	byRank := func(list []Peer) {
		slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(hashWeight(self, a.Name), hashWeight(self, b.Name)) })
	}
	byRank(above)
	rest := []Peer{{Name: self}}
	for _, p := range peers {
		if !votes[p.Name] && p.Name != self && p.Addr != "" {
			rest = append(rest, p)
		}
	}
	slices.SortFunc(rest, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(hashWeight(a.Name), hashWeight(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if votes[self] { // it speaks with the leader anyway
		rest = slices.DeleteFunc(rest, func(p Peer) bool { return p.Name == self })
		byRank(rest)
		return slices.Concat(lead, above, rest), len(lead)
	}
	nearer := [][]Peer{above}
	var below []Peer
	for room, reached := max(len(voters)-1, 1)*maxFollowers, false; len(rest) > 0; room *= maxFollowers {
		layer := slices.Clone(rest[:min(room, len(rest))])
		rest = rest[len(layer):]
		if at := slices.IndexFunc(layer, func(p Peer) bool { return p.Name == self }); at >= 0 {
			layer, reached = slices.Delete(layer, at, at+1), true
		}
		byRank(layer)
		if reached {
			below = append(below, layer...)
		} else {
			nearer = append(nearer, layer)
		}
	}
	slices.Reverse(nearer)
	return slices.Concat(slices.Concat(nearer...), lead, below), len(nearer[0])
}
