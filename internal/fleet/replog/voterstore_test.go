package replog

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

// A leader whose disk fills up during a proposal steps down, goes on in memory and is a
// voter again when the disk takes writes.
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
	f.await(old, "in memory", func(v View) bool { return v.Role == RoleMemory && v.DiskError != "" })
	last := f.propose(a)
	f.awaitAll("at what was committed without it", freshAtIndex(last.Index))
	if old.IsLeader() || old.View().Role != RoleMemory {
		t.Errorf("%s: %+v", old.options.Name, old.View())
	}
	old.diskFull.Store(false)
	f.await(old, "a voter again", func(v View) bool { return v.Role == RoleVoter && v.DiskError == "" })
	next.kill() // now its vote is needed
	f.awaitLeader(next)
	if out := f.propose(a); out.Index != last.Index+1 {
		t.Errorf("index %d after %d", out.Index, last.Index)
	}
}

// A voter whose store is torn moves it aside, has no vote until it holds all that it may
// have voted for or stored, and then votes again.
func TestVoterWithTornStoreIsReadmitted(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitLeader()
	f.propose(f.members["v0"])
	torn := f.members["v1"]
	torn.kill()
	path := filepath.Join(torn.options.Dir, votesFileName)
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
	f.await(torn, "a voter again", func(v View) bool { return v.Role == RoleVoter || v.Role == RoleLeader })
	if quarantined, _ := filepath.Glob(path + ".torn-*"); len(quarantined) != 1 {
		t.Errorf("quarantined: %v", quarantined)
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

// One voter with its store keeps the fleet from being bootstrapped again, whatever the others
// have lost.
func TestLostStoresNeverBootstrapAgain(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitLeader()
	last := f.propose(f.members["v0"])
	f.awaitAll("at the entry", freshAtIndex(last.Index))
	for _, name := range []string{"v0", "v1", "v2"} {
		m := f.members[name]
		m.kill()
		if name != "v2" {
			if err := os.Remove(filepath.Join(m.options.Dir, votesFileName)); err != nil {
				t.Fatal(err)
			}
		}
	}
	var restarted []*testMember
	for _, name := range []string{"v0", "v1", "v2"} {
		restarted = append(restarted, f.restart(f.members[name], nil))
	}
	f.await(restarted[2], "a voter", func(v View) bool { return v.Role == RoleVoter })
	for _, m := range restarted[:2] {
		f.await(m, "with a store", func(View) bool { return m.voterInfo.Load() != nil })
		survey := m.surveyVoters(t.Context(), m.voterInfo.Load().StoreID)
		if survey.stores != nil || !survey.storeLost {
			t.Errorf("%s: %+v", m.options.Name, survey)
		}
		if v := m.View(); v.Role == RoleLeader || v.State.Index != last.Index {
			t.Errorf("%s: %+v", m.options.Name, v)
		}
	}
}

// appendTestEntries writes the entries 2 to 9 behind a bootstrap.
func appendTestEntries(t *testing.T, d *voterStore) {
	t.Helper()
	if err := d.bootstrap(raft.Configuration{}, storeIDs{"v0": "1"}); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i <= 9; i++ {
		if err := d.StoreLog(testEntry(i)); err != nil {
			t.Fatal(err)
		}
	}
}

func testEntry(index uint64) *raft.Log {
	return &raft.Log{Index: index, Term: 2, Data: []byte{byte(index)}, Extensions: []byte("x")}
}

func TestVoterStorePersistsLogAndVote(t *testing.T) {
	dir := t.TempDir()
	d := openTestStore(t, dir)
	if !d.isBlank() {
		t.Error("a fresh one is not blank")
	}
	appendTestEntries(t, d)
	_ = d.SetUint64(voteTermKey, 7) // a vote without its candidate is not written
	if err := d.DeleteRange(8, 9); err != nil {
		t.Fatal(err)
	}
	_ = d.close()
	d = openTestStore(t, dir)
	var entry raft.Log
	if err := d.GetLog(7, &entry); err != nil {
		t.Error(err)
	}
	if !bytes.Equal(entry.Data, []byte{7}) || string(entry.Extensions) != "x" || d.lastIndex != 7 || d.firstIndex != 1 {
		t.Errorf("entry 7: %+v; %d to %d", entry, d.firstIndex, d.lastIndex)
	}
	if n, _ := d.GetUint64(voteTermKey); n != 0 || d.bootstrapStores["v0"] != "1" {
		t.Errorf("vote in term %d, bootstrap stores %v", n, d.bootstrapStores)
	}
	_ = d.SetUint64(voteTermKey, 7)
	if err := d.Set(voteKey, []byte("v1")); err != nil {
		t.Fatal(err)
	}
	if n, _ := d.GetUint64(voteTermKey); n != 7 {
		t.Errorf("vote in term %d, want 7", n)
	}
	_ = d.close()

	// bbolt has no checksum of values: the entry's own finds the damage.
	damageEntry(t, filepath.Join(dir, votesFileName), testEntry(7))
	options := Options{Dir: dir, InjectFault: func(string) error { return nil }}
	d, quarantineReason, err := openVoterStore(&options, func() {})
	if err != nil || quarantineReason == "" || !d.isBlank() {
		t.Errorf("a damaged entry: %q, %v", quarantineReason, err)
	}
	_ = d.close()
}

// damageEntry flips a bit of an entry's data, wherever the file has the entry.
func damageEntry(t *testing.T, path string, entry *raft.Log) {
	t.Helper()
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	encoded := encodeLog(entry)
	for at := bytes.LastIndex(file, encoded); at >= 0; at = bytes.LastIndex(file[:at], encoded) {
		file[at+len(encoded)-logChecksumSize-1] ^= 1
	}
	if err := os.WriteFile(path, file, 0o600); err != nil {
		t.Fatal(err)
	}
}
