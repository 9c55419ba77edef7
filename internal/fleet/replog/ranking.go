package replog

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// maxFollowers is the maximum number of followers that a member serves, not counting voters.
const maxFollowers = 8

// hashWeight returns a hash of the parts that is the same on all members.
func hashWeight(parts ...string) uint64 {
	hasher := fnv.New64a()
	for _, part := range parts {
		_, _ = hasher.Write([]byte(part))
		_, _ = hasher.Write([]byte{0})
	}
	mixed := hasher.Sum64() // FNV mixes names that differ only in the last digit poorly
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	return mixed ^ mixed>>33
}

// rankUpstreams returns the members that self may follow, the best first, and the number of
// preferred ones at their head. Self leaves any other upstream after a while to select again.
//
// The members form layers, ordered by a hash of their names: the voters, then as many members
// as the voters other than the leader can serve, then as many as that layer can serve, and so
// on. A member tries the layer above its own, in rendezvous order, then the layers nearer to
// the leader, then the leader. Its own layer and those below come last; a cycle there shows in
// the heartbeat's path. A voter prefers the leader.
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
	if isVoter[self] { // raft connects a voter to the leader anyway
		others := slices.DeleteFunc(members, func(p Peer) bool { return p.Name == self })
		sortRendezvous(self, others)
		return slices.Concat(leaders, otherVoters, others), len(leaders)
	}
	above, below := splitLayers(self, members, max(len(voters)-1, 1)*maxFollowers)
	nearestFirst := append([][]Peer{otherVoters}, above...)
	slices.Reverse(nearestFirst)
	return slices.Concat(slices.Concat(nearestFirst...), leaders, below), len(nearestFirst[0])
}

// sortRendezvous sorts peers by rendezvous hashing, in an order specific to self.
func sortRendezvous(self string, peers []Peer) {
	slices.SortFunc(peers, func(a, b Peer) int {
		return cmp.Compare(hashWeight(self, a.Name), hashWeight(self, b.Name))
	})
}

// sortedMembers returns self and the reachable peers that are not voters, in an order that is
// the same on all members.
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

// splitLayers divides the members into layers: the first has capacity members, each later one
// maxFollowers times as many as the previous one. It returns the layers above self's layer,
// from the top, and the members of self's layer and of the layers below it, without self.
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
