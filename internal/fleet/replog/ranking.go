package replog

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxFollowers is how many followers without a vote a member serves; voters come on top.
const maxFollowers = 8

// hashWeight returns a hash of the parts that is the same at all members.
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

// rankUpstreams returns the members that self may follow, the best first, and how many of
// them are preferred: from any other, self moves on when it can.
//
// The fleet forms layers, by a hash of the members' names: the voters, then as many members
// as the voters other than the leader can serve, then as many as these can serve. A member
// tries the layer above its own, in an order of its own (rendezvous hashing), then those
// nearer to the leader, then the leader. Last come its own layer and those below, where a
// heartbeat's path shows a cycle. A voter prefers the leader.
func rankUpstreams(self string, voters []Voter, peers []Peer, leader string) (candidates []Peer, preferred int) {
	isVoter := map[string]bool{}
	var leaders, otherVoters []Peer
	for _, v := range voters {
		isVoter[v.Name] = true
		peer := Peer{Name: v.Name, Addr: v.Addr}
		switch v.Name {
		case self:
		case leader:
			leaders = append(leaders, peer)
		default:
			otherVoters = append(otherVoters, peer)
		}
	}
	sortRendezvous(self, otherVoters)
	members := sortedMembers(self, peers, isVoter)
	if isVoter[self] { // raft connects it with the leader anyway
		others := slices.DeleteFunc(members, func(p Peer) bool { return p.Name == self })
		sortRendezvous(self, others)
		return slices.Concat(leaders, otherVoters, others), len(leaders)
	}
	above, below := splitLayers(self, members, max(len(voters)-1, 1)*maxFollowers)
	nearestFirst := append([][]Peer{otherVoters}, above...)
	slices.Reverse(nearestFirst)
	return slices.Concat(slices.Concat(nearestFirst...), leaders, below), len(nearestFirst[0])
}

// sortRendezvous sorts peers in an order that is self's own.
func sortRendezvous(self string, peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(hashWeight(self, a.Name), hashWeight(self, b.Name))
	})
}

// sortedMembers returns self and the reachable peers without a vote, in the order in which
// all members put them.
func sortedMembers(self string, peers []Peer, isVoter map[string]bool) []Peer {
	members := []Peer{{Name: self}}
	for _, p := range peers {
		if !isVoter[p.Name] && p.Name != self && p.Addr != "" {
			members = append(members, p)
		}
	}
	slices.SortFunc(members, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(hashWeight(a.Name), hashWeight(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	return members
}

// splitLayers cuts the members into layers: the first holds as many as capacity says, each
// other one maxFollowers times as many as the one before. It returns the layers above
// self's, from the top, and the members of self's own and the lower ones without self.
func splitLayers(self string, members []Peer, capacity int) (above [][]Peer, below []Peer) {
	reachedOwnLayer := false
	for len(members) > 0 {
		layer := slices.Clone(members[:min(capacity, len(members))])
		members = members[len(layer):]
		if position := slices.IndexFunc(layer, func(p Peer) bool { return p.Name == self }); position >= 0 {
			layer, reachedOwnLayer = slices.Delete(layer, position, position+1), true
		}
		sortRendezvous(self, layer)
		if reachedOwnLayer {
			below = append(below, layer...)
		} else {
			above = append(above, layer)
		}
		capacity *= maxFollowers
	}
	return above, below
}
