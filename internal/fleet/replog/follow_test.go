package replog

import (
	"fmt"
	"net"
	"testing"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// Guards against denial of service by peers without the key: idle connections beyond the limit
// and a peer with another key must not delay commits, and must receive no data.
func TestIgnoresPeersWithoutTheKey(t *testing.T) {
	f := newFleet(t, 3)
	leader := f.awaitLeader()
	var idle []net.Conn
	for range 3 * maxHandshakes {
		c, err := net.Dial("tcp", leader.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		idle = append(idle, c)
	}
	outsider := startFollower(f, 1)
	outsider.kill()
	outsider = f.restart(outsider, func(o *Options) { o.Key = []byte("fedcba9876543210") })
	outcome := f.propose(f.members["v0"])
	for _, v := range f.voters {
		f.await(f.members[v.Name], "at the entry", freshAtIndex(outcome.Index))
	}
	if v := outsider.View(); v.State.Index != 0 || v.WithinLease {
		t.Errorf("a peer without the key received %d entries", v.State.Index)
	}
	_ = idle[0].SetReadDeadline(time.Now().Add(testTimeout))
	if n, err := idle[0].Read(make([]byte, 1)); n > 0 || err == nil {
		t.Error("an idle peer without the key received data")
	}
}

// A follower with a different hash chain must be rejected by every member and must not be
// within the lease. An entry with a wrong hash must not be applied.
func TestRejectsForkedChain(t *testing.T) {
	f := newFleet(t, 3)
	a := startFollower(f, 1)
	f.awaitLeader()
	outcome := f.propose(a)
	f.awaitAll("at the entry", freshAtIndex(outcome.Index))
	a.kill()
	forkedState, _ := a.initialState.Apply([]byte("an entry that was never committed"))
	a.publisher.view.Store(&View{State: forkedState})
	a.stateFile.writtenIndex = 0
	a.stateFile.store = nil
	a.stateFile.write()
	_ = a.stateFile.store.Close()
	a = f.restart(a, nil)
	forkedHello := hello{Name: "f1", Index: forkedState.Index, Hash: forkedState.Hash}
	for _, v := range f.voters {
		rejected := f.members[v.Name].admitFollower(&forkedHello, &sealedConn{})
		if rejected == nil || rejected.Reason != reasonForked {
			t.Errorf("%s: %+v", v.Name, rejected)
		}
	}
	last := f.propose(f.members["v0"])
	f.await(f.members["v1"], "at the second entry", freshAtIndex(last.Index))
	if v := a.View(); v.State.Hash != forkedState.Hash || v.WithinLease {
		t.Errorf("%+v", v)
	}
	wrongHash := logentry.Hash{1}
	v1 := f.members["v1"]
	before := v1.View().State.Index
	payload := append(append([]byte{0, 0, 0, 0, 0, 0, 0, byte(before + 1)}, wrongHash[:]...), "{}"...)
	if err := v1.applyEntry(payload); err == nil || v1.View().State.Index != before {
		t.Errorf("entry with a wrong hash: %v", err)
	}
}

// A member at its capacity must reject a further follower with its own followers as
// alternatives, and must still admit voters.
func TestFullMemberNamesAlternatives(t *testing.T) {
	voters := []Voter{{Name: "a", Addr: "x:1"}, {Name: "b", Addr: "x:2"}, {Name: "c", Addr: "x:3"}}
	options := Options{Name: "f", Dir: t.TempDir(), Bind: "127.0.0.1:0", Voters: voters, Key: []byte(testKey)}
	r, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.transport.Close(), r.stateFile.store.Close() })
	names := append(make([]string, 0, maxFollowers+4), "a", "b")
	for i := range maxFollowers {
		names = append(names, fmt.Sprint("m", i))
	}
	genesisHash := r.initialState.Hash
	for _, name := range names {
		rejected := r.admitFollower(&hello{Name: name, Addr: "at " + name, Hash: genesisHash}, &sealedConn{})
		if rejected != nil {
			t.Fatalf("%s: %+v", name, rejected)
		}
	}
	rejected := r.admitFollower(&hello{Name: "late", Hash: genesisHash}, &sealedConn{})
	if rejected == nil || len(rejected.Alternatives) != maxFollowers {
		t.Errorf("follower beyond the capacity: %+v", rejected)
	} else if first := rejected.Alternatives[0]; first.Addr != "at "+first.Name {
		t.Errorf("alternatives without their addresses: %+v", rejected)
	}
	if rejected := r.admitFollower(&hello{Name: "c", Hash: genesisHash}, &sealedConn{}); rejected != nil {
		t.Errorf("voter rejected: %+v", rejected)
	}
	rejected = r.admitFollower(&hello{Name: "d", Index: 1}, &sealedConn{})
	if rejected == nil || rejected.Reason != "behind" {
		t.Errorf("follower with a later state: %+v", rejected)
	}
	if n := r.View().FollowerCount; n != len(names)+1 {
		t.Errorf("view has %d followers", n)
	}
}
