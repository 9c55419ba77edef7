package replog

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
)

// For every fleet size each member must find an upstream with capacity. If members nearer to
// the leader select first, no heartbeat may pass more than four members.
func TestEveryMemberFindsAnUpstream(t *testing.T) {
	for _, c := range []struct{ voters, peers int }{{3, 1}, {3, 24}, {3, 150}, {3, 300}, {5, 300}} {
		for _, sorted := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d+%d/%v", c.voters, c.peers, sorted), func(t *testing.T) {
				checkFanOut(t, c.voters, c.peers, sorted)
			})
		}
	}
}

// checkFanOut simulates the selection of upstreams by all members; if sorted is set, members
// nearer to the leader select first.
func checkFanOut(t *testing.T, voterCount, peerCount int, sorted bool) {
	voters, peers, maxHops := make([]Voter, voterCount), make([]Peer, peerCount), maxPathLength
	for i := range voters {
		voters[i] = Voter{Name: fmt.Sprint("v", i), Addr: "x"}
	}
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("m", i), Addr: "x"}
	}
	if sorted {
		maxHops = 4
		slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(hashWeight(a.Name), hashWeight(b.Name)) })
	}
	hops, followers := map[string]int{"v0": 0}, map[string]int{}
	for _, v := range voters[1:] {
		if candidates, preferred := rankUpstreams(v.Name, voters, peers, "v0"); candidates[0].Name != "v0" || preferred != 1 {
			t.Fatalf("voter %s tries %s first", v.Name, candidates[0].Name)
		}
		hops[v.Name] = 1
	}
	candidates := map[string][]Peer{}
	for _, p := range peers {
		candidates[p.Name], _ = rankUpstreams(p.Name, voters, peers, "v0")
	}
	for unplaced := peerCount; unplaced > 0; { // a member is placed once one of its upstreams is
		before := unplaced
		for _, p := range peers {
			if _, placed := hops[p.Name]; placed {
				continue
			}
			for _, up := range candidates[p.Name] {
				if h, placed := hops[up.Name]; placed && followers[up.Name] < maxFollowers && h < maxHops {
					hops[p.Name] = h + 1
					followers[up.Name]++
					unplaced--
					break
				}
			}
		}
		if unplaced == before {
			t.Fatalf("%d members find no upstream", unplaced)
		}
	}
	if sorted && peerCount < 16 && followers["v0"] > 0 {
		t.Errorf("the leader has %d followers, though others have capacity", followers["v0"])
	}
}
