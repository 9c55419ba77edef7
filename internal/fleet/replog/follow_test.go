package replog

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/fleet/logentry"
)

func TestCheckVotersRejectsBadSets(t *testing.T) {
	set := func(zones ...string) (v []Voter) {
		for i, z := range zones {
			v = append(v, Voter{Name: fmt.Sprint("v", i), Addr: fmt.Sprintf("127.0.0.%d:7000", i+1), Zone: z})
		}
		return v
	}
	twice := set("a", "b", "c")
	twice[2].Addr = twice[0].Addr
	for want, voters := range map[string][]Voter{
		"":                               set("a", "b", "c"),
		"zone a holds 2 of 3":            set("a", "a", "b"),
		"zone b holds 3 of 5":            set("a", "b", "b", "c", "b"),
		"4, want 3 or 5":                 set("a", "b", "c", "d"),
		"address 127.0.0.1:7000 stands":  twice,
		`name ""`:                        append(set("a", "b"), Voter{Addr: "127.0.0.9:1"}),
		"v2: address nowhere: missing p": append(set("a", "b"), Voter{Name: "v2", Addr: "nowhere"}),
	} {
		err := CheckVoters(voters)
		if (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), "fleet.record.voters: "+want) {
			t.Errorf("%v: %v, want %q", voters, err, want)
		}
	}
	for _, fine := range [][]Voter{set("a", "a", "a"), set("", "", ""), set("a", "a", "b", "b", "c")} {
		if err := CheckVoters(fine); err != nil {
			t.Errorf("%v: %v", fine, err)
		}
	}
}

// However many members there are, all find room where none feeds more than fan. Once those
// nearer to the leader have their place, no word makes more than four hops.
func TestEveryMemberFindsAnUpstream(t *testing.T) {
	for _, c := range []struct{ voters, peers int }{{3, 1}, {3, 24}, {3, 150}, {3, 300}, {5, 300}} {
		for _, sorted := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d+%d/%v", c.voters, c.peers, sorted), func(t *testing.T) { checkFanOut(t, c.voters, c.peers, sorted) })
		}
	}
}

func checkFanOut(t *testing.T, v, n int, sorted bool) {
	voters, peers, most := make([]Voter, v), make([]Peer, n), maxPathLength
	for i := range voters {
		voters[i] = Voter{Name: fmt.Sprint("v", i), Addr: "x"}
	}
	for i := range peers {
		peers[i] = Peer{Name: fmt.Sprint("m", i), Addr: "x"}
	}
	if sorted {
		most = 4
		slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(hashWeight(a.Name), hashWeight(b.Name)) })
	}
	hops, feeds, lists := map[string]int{"v0": 0}, map[string]int{}, map[string][]Peer{}
	for _, v := range voters[1:] {
		if list, suit := rankUpstreams(v.Name, voters, peers, "v0"); list[0].Name != "v0" || suit != 1 {
			t.Fatalf("voter %s asks %s first", v.Name, list[0].Name)
		}
		hops[v.Name] = 1
	}
	for _, p := range peers {
		lists[p.Name], _ = rankUpstreams(p.Name, voters, peers, "v0")
	}
	for left := n; left > 0; { // whose upstream is fed already takes his place
		before := left
		for _, p := range peers {
			if _, fed := hops[p.Name]; fed {
				continue
			}
			for _, up := range lists[p.Name] {
				if h, fed := hops[up.Name]; fed && feeds[up.Name] < maxFollowers && h < most {
					hops[p.Name], feeds[up.Name], left = h+1, feeds[up.Name]+1, left-1
					break
				}
			}
		}
		if left == before {
			t.Fatalf("%d find no upstream", left)
		}
	}
	if sorted && n < 16 && feeds["v0"] > 0 {
		t.Errorf("the leader feeds %d, though others have room", feeds["v0"])
	}
}

// Whoever has not the key hears nothing, and keeps nobody from deciding.
func TestIgnoresPeersWithoutTheKey(t *testing.T) {
	f := newFleet(t, 3)
	lead := f.awaitLeader()
	var idle []net.Conn
	for range 3 * maxHandshakes {
		c, err := net.Dial("tcp", lead.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		idle = append(idle, c)
	}
	stranger := startFollower(f, 1)
	stranger.kill()
	stranger = f.restart(stranger, func(o *Options) { o.Key = []byte("fedcba9876543210") })
	out := f.propose(f.members["v0"])
	for _, v := range f.voters {
		f.await(f.members[v.Name], "at the entry", freshAtIndex(out.Index))
	}
	if v := stranger.View(); v.State.Index != 0 || v.WithinLease {
		t.Errorf("the stranger knows of %d entries", v.State.Index)
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := idle[0].Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("an idle stranger was told something")
	}
}

// A follower whose chain is another is refused by all, and says that it hears nothing.
func TestRejectsForkedChain(t *testing.T) {
	f := newFleet(t, 3)
	a := startFollower(f, 1)
	f.awaitLeader()
	out := f.propose(a)
	f.awaitAll("at the entry", freshAtIndex(out.Index))
	a.kill()
	forkedState, _ := a.initialState.Apply([]byte("an entry that was never committed"))
	a.publisher.view.Store(&View{State: forkedState})
	a.stateFile.writtenIndex = 0
	a.stateFile.store = nil
	a.stateFile.write()
	_ = a.stateFile.store.Close()
	a = f.restart(a, nil)
	h := hello{Name: "f1", Index: forkedState.Index, Hash: forkedState.Hash}
	for _, v := range f.voters {
		if refused := f.members[v.Name].admitFollower(&h, &sealedConn{}); refused == nil || refused.Reason != reasonForked {
			t.Errorf("%s: %+v", v.Name, refused)
		}
	}
	last := f.propose(f.members["v0"])
	f.await(f.members["v1"], "at the next", freshAtIndex(last.Index))
	if v := a.View(); v.State.Hash != forkedState.Hash || v.WithinLease {
		t.Errorf("%+v", v)
	}
	bad := logentry.Hash{1}
	before := f.members["v1"].View().State.Index
	text := append(append([]byte{0, 0, 0, 0, 0, 0, 0, byte(before + 1)}, bad[:]...), "{}"...)
	if err := f.members["v1"].applyEntry(text); err == nil || f.members["v1"].View().State.Index != before {
		t.Errorf("an entry of another chain: %v", err)
	}
}

// A member that feeds as many as it may names them to the next; voters it feeds all the same.
func TestFullMemberNamesAlternatives(t *testing.T) {
	voters := []Voter{{Name: "a", Addr: "x:1"}, {Name: "b", Addr: "x:2"}, {Name: "c", Addr: "x:3"}}
	r, err := Open(Options{Name: "f", Dir: t.TempDir(), Bind: "127.0.0.1:0", Voters: voters, Key: []byte("0123456789abcdef")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.transport.Close(), r.stateFile.store.Close() })
	names := append(make([]string, 0, maxFollowers+4), "a", "b")
	for i := range maxFollowers {
		names = append(names, fmt.Sprint("m", i))
	}
	for _, name := range names {
		if refused := r.admitFollower(&hello{Name: name, Addr: "at " + name, Hash: r.initialState.Hash}, &sealedConn{}); refused != nil {
			t.Fatalf("%s: %+v", name, refused)
		}
	}
	refused := r.admitFollower(&hello{Name: "late", Hash: r.initialState.Hash}, &sealedConn{})
	if refused == nil || len(refused.Alternatives) != maxFollowers || refused.Alternatives[0].Addr != "at "+refused.Alternatives[0].Name {
		t.Errorf("one too many: %+v", refused)
	}
	if refused := r.admitFollower(&hello{Name: "c", Hash: r.initialState.Hash}, &sealedConn{}); refused != nil {
		t.Errorf("a voter: %+v", refused)
	}
	if refused := r.admitFollower(&hello{Name: "d", Index: 1}, &sealedConn{}); refused == nil || refused.Reason != "behind" {
		t.Errorf("one who knows more: %+v", refused)
	}
	if n := r.View().FollowerCount; n != len(names)+1 {
		t.Errorf("serves %d", n)
	}
}
