package replog

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/hashicorp/raft"
)

// A leader whose disk fills up during a proposal must step down, continue in memory, and become
// a voter again once the disk is writable.
func TestLeaderWithFullDiskStepsDownAndReturns(t *testing.T) {
	f := newFleet(t, 3)
	a := startFollower(f, 1)
	oldLeader := f.awaitLeader()
	f.propose(a)
	oldLeader.diskFull.Store(true)
	out, err := oldLeader.Propose(t.Context(), zonesEntry(oldLeader.View().State.Zones.Version))
	if err == nil && out.Accepted {
		if v := oldLeader.View(); v.State.Index != out.Index {
			t.Errorf("answered %+v, its view is at %d", out, v.State.Index)
		}
	}
	newLeader := f.awaitLeader(oldLeader)
	f.await(oldLeader, "in memory", func(v View) bool { return v.Role == RoleMemory && v.DiskError != "" })
	last := f.propose(a)
	f.awaitAll("at the entry committed without it", freshAtIndex(last.Index))
	if oldLeader.IsLeader() || oldLeader.View().Role != RoleMemory {
		t.Errorf("%s: %+v", oldLeader.options.Name, oldLeader.View())
	}
	oldLeader.diskFull.Store(false)
	f.await(oldLeader, "a voter again", func(v View) bool { return v.Role == RoleVoter && v.DiskError == "" })
	newLeader.kill() // its vote is needed for a majority now
	f.awaitLeader(newLeader)
	if out := f.propose(a); out.Index != last.Index+1 {
		t.Errorf("index %d after %d", out.Index, last.Index)
	}
}

// A voter whose store is damaged must quarantine it, have no vote until it has again every
// entry that it may have stored or voted for, and then get its vote back.
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
	leader := f.awaitLeader(torn)
	id := torn.options.Name
	torn = f.restart(torn, nil)
	f.await(torn, "a voter again", func(v View) bool { return v.Role == RoleVoter || v.Role == RoleLeader })
	if quarantined, _ := filepath.Glob(path + ".torn-*"); len(quarantined) != 1 {
		t.Errorf("quarantined: %v", quarantined)
	}
	if !hasVote(leader.raft.Load(), id) {
		t.Error("the leader has not restored the vote")
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

// Guards against a second bootstrap, which would discard committed entries: voters that lost
// their stores must not bootstrap while one voter still has its store.
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

// appendTestEntries bootstraps a store and appends entries 2 to 9.
func appendTestEntries(t *testing.T, s *voterStore) {
	t.Helper()
	if err := s.bootstrap(raft.Configuration{}, storeIDs{"v0": "1"}); err != nil {
		t.Fatal(err)
	}
	for i := uint64(2); i <= 9; i++ {
		if err := s.StoreLog(testEntry(i)); err != nil {
			t.Fatal(err)
		}
	}
}

func testEntry(index uint64) *raft.Log {
	return &raft.Log{Index: index, Term: 2, Data: []byte{byte(index)}, Extensions: []byte("x")}
}

func TestVoterStorePersistsLogAndVote(t *testing.T) {
	dir := t.TempDir()
	s := openTestStore(t, dir)
	if !s.isBlank() {
		t.Error("a new store is not blank")
	}
	appendTestEntries(t, s)
	_ = s.SetUint64(voteTermKey, 7) // a vote's term is not written without its candidate
	if err := s.DeleteRange(8, 9); err != nil {
		t.Fatal(err)
	}
	_ = s.close()
	s = openTestStore(t, dir)
	var entry raft.Log
	if err := s.GetLog(7, &entry); err != nil {
		t.Error(err)
	}
	if !bytes.Equal(entry.Data, []byte{7}) || string(entry.Extensions) != "x" || s.lastIndex != 7 || s.firstIndex != 1 {
		t.Errorf("entry 7: %+v; %d to %d", entry, s.firstIndex, s.lastIndex)
	}
	if n, _ := s.GetUint64(voteTermKey); n != 0 || s.bootstrapStores["v0"] != "1" {
		t.Errorf("vote in term %d, bootstrap stores %v", n, s.bootstrapStores)
	}
	_ = s.SetUint64(voteTermKey, 7)
	if err := s.Set(voteKey, []byte("v1")); err != nil {
		t.Fatal(err)
	}
	if n, _ := s.GetUint64(voteTermKey); n != 7 {
		t.Errorf("vote in term %d, want 7", n)
	}
	_ = s.close()

	// bbolt does not checksum values; the entry's own checksum detects the damage.
	damageEntry(t, filepath.Join(dir, votesFileName), testEntry(7))
	options := Options{Dir: dir, InjectFault: func(string) error { return nil }}
	s, quarantineReason, err := openVoterStore(&options, func() {})
	if err != nil || quarantineReason == "" || !s.isBlank() {
		t.Errorf("damaged entry: %q, %v", quarantineReason, err)
	}
	_ = s.close()
}

// damageEntry flips a bit in every copy of an entry's data in the file.
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
