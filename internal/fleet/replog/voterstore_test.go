package replog

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

// A leader whose disk fills in mid-decision leads no more, goes on in memory and is a voter
// again when the disk takes writes.
func TestLeaderWithFullDiskStepsDownAndReturns(t *testing.T) {
	f := newFleet(t, 3)
	a := startFollower(f, 1)
	old := f.awaitLeader()
	f.propose(a)
	old.diskFull.Store(true)
	out, err := old.Propose(t.Context(), zonesEntry(old.View().State.Zones.Version))
	if err == nil && out.Accepted {
		if v := old.View(); v.State.Index != out.Index {
			t.Errorf("answered %+v, its view is at %d", out, v.State.Index)
		}
	}
	next := f.awaitLeader(old)
	f.await(old, "in memory", func(v View) bool { return v.Role == "memory" && v.DiskError != "" })
	last := f.propose(a)
	f.awaitAll("at what was decided without it", freshAtIndex(last.Index))
	if old.IsLeader() || old.View().Role != "memory" {
		t.Errorf("%s: %+v", old.options.Name, old.View())
	}
	old.diskFull.Store(false)
	f.await(old, "a voter again", func(v View) bool { return v.Role == "voter" && v.DiskError == "" })
	next.kill() // now its vote is needed
	f.awaitLeader(next)
	if out := f.propose(a); out.Index != last.Index+1 {
		t.Errorf("index %d after %d", out.Index, last.Index)
	}
}

// A voter whose store is torn sets it aside, has no vote until it holds what it may have
// promised, and then votes again.
func TestVoterWithTornStoreIsReadmitted(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitLeader()
	f.propose(f.members["v0"])
	torn := f.members["v1"]
	torn.kill()
	path := filepath.Join(torn.options.Dir, "votes.db")
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, raw[:len(raw)/3], 0o600); err != nil {
		t.Fatal(err)
	}
	lead := f.awaitLeader(torn)
	id := torn.options.Name
	torn = f.restart(torn, nil)
	f.await(torn, "a voter again", func(v View) bool { return v.Role == "voter" || v.Role == "leader" })
	if set, _ := filepath.Glob(path + ".torn-*"); len(set) != 1 {
		t.Errorf("set aside: %v", set)
	}
	if !hasVote(lead.raft.Load(), id) {
		t.Error("the leader has not given the vote back")
	}
	other := f.members["v0"]
	for _, m := range f.members {
		if m != torn && m != f.awaitLeader() {
			other = m
		}
	}
	last := f.propose(torn)
	other.kill()
	if out := f.propose(torn); out.Index != last.Index+1 {
		t.Errorf("index %d after %d", out.Index, last.Index)
	}
}

// One voter's blank store is no ground to found anew, whatever the others have lost.
func TestLostStoresNeverBootstrapAgain(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitLeader()
	last := f.propose(f.members["v0"])
	f.awaitAll("at the entry", freshAtIndex(last.Index))
	for _, name := range []string{"v0", "v1", "v2"} {
		m := f.members[name]
		m.kill()
		if name != "v2" {
			if err := os.Remove(filepath.Join(m.options.Dir, "votes.db")); err != nil {
				t.Fatal(err)
			}
		}
	}
	a, b, c := f.restart(f.members["v0"], nil), f.restart(f.members["v1"], nil), f.restart(f.members["v2"], nil)
	f.await(c, "a voter", func(v View) bool { return v.Role == "voter" })
	for _, m := range []*testMember{a, b} {
		f.await(m, "with a store", func(View) bool { return m.voterInfo.Load() != nil })
		survey := m.surveyVoters(t.Context(), m.voterInfo.Load().StoreID)
		if survey.stores != nil || !survey.storeLost {
			t.Errorf("%s: %+v", m.options.Name, survey)
		}
		if v := m.View(); v.Role == "leader" || v.State.Index != last.Index {
			t.Errorf("%s: %+v", m.options.Name, v)
		}
	}
}

func TestVoterStorePersistsLogAndVote(t *testing.T) {
	o := Options{Dir: t.TempDir(), InjectFault: func(string) error { return nil }}
	open := func() *voterStore {
		d, why, err := openVoterStore(&o, func() {})
		if err != nil || why != "" {
			t.Fatal(why, err)
		}
		return d
	}
	d := open()
	if !d.isBlank() {
		t.Error("a fresh one is not blank")
	}
	if err := d.bootstrap(raft.Configuration{}, map[string]string{"v0": "1"}); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i <= 9; i++ {
		if err := d.StoreLog(&raft.Log{Index: i, Term: 2, Data: []byte{byte(i)}, Extensions: []byte("x")}); err != nil {
			t.Fatal(err)
		}
	}
	_ = d.SetUint64(voteTermKey, 7) // half a vote is none
	if err := d.DeleteRange(8, 9); err != nil {
		t.Fatal(err)
	}
	_ = d.close()
	d = open()
	var l raft.Log
	if err := d.GetLog(7, &l); err != nil || !bytes.Equal(l.Data, []byte{7}) || string(l.Extensions) != "x" || d.lastIndex != 7 || d.firstIndex != 1 {
		t.Errorf("entry 7: %+v, %v; %d to %d", l, err, d.firstIndex, d.lastIndex)
	}
	if n, _ := d.GetUint64(voteTermKey); n != 0 || d.bootstrapStores["v0"] != "1" {
		t.Errorf("vote in term %d, founders %v", n, d.bootstrapStores)
	}
	_ = d.SetUint64(voteTermKey, 7)
	if err := d.Set(voteKey, []byte("v1")); err != nil {
		t.Fatal(err)
	}
	if n, _ := d.GetUint64(voteTermKey); n != 7 {
		t.Errorf("vote in term %d, want 7", n)
	}
	_ = d.close()
	spoilt, err := os.ReadFile(filepath.Join(o.Dir, "votes.db"))
	if err != nil {
		t.Fatal(err)
	}
	// bbolt has no sum over values: the log's own finds it.
	raw := encodeLog(&raft.Log{Index: 7, Term: 2, Data: []byte{7}, Extensions: []byte("x")})
	at := bytes.LastIndex(spoilt, raw)
	for ; at >= 0; at = bytes.LastIndex(spoilt[:at], raw) {
		spoilt[at+len(raw)-5] ^= 1
	}
	if err := os.WriteFile(filepath.Join(o.Dir, "votes.db"), spoilt, 0o600); err != nil {
		t.Fatal(err)
	}
	d, why, err := openVoterStore(&o, func() {})
	if err != nil || why == "" || !d.isBlank() {
		t.Errorf("a spoilt entry: %q, %v", why, err)
	}
	_ = d.close()
}
