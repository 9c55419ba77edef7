package replog

import (
	"bytes"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/fleet/storedtest"
	"coralrelay/internal/store"
)

// The files in testdata/stored are written by
//
//	go test ./internal/fleet/logentry -run TestStored -update
//	go test ./internal/fleet/replog -run TestStored -update
//
// state.sealed is the state in logentry's testdata/stored/state.json, encoded by encodeState.
// votes.db and state.db contain the same state. messages.txt has one message per line, quoted
// as a Go string.

// storedState returns the stored state and its encoding.
func storedState(t *testing.T) (state *logentry.State, encoded []byte) {
	t.Helper()
	encoded = storedtest.ReadFile(t, "state.sealed", func() []byte { return encodeLogentryState(t) })
	state, err := decodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return state, encoded
}

// encodeLogentryState returns the encoding of the stored state of package logentry.
func encodeLogentryState(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../logentry/testdata/stored/state.json")
	if err != nil {
		t.Fatal(err)
	}
	state := &logentry.State{}
	if err := logentry.UnmarshalStrict(text, state); err != nil {
		t.Fatal(err)
	}
	encoded, err := encodeState(state)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func TestStoredSealedState(t *testing.T) {
	s, sealed := storedState(t)
	if s.Index != 12 || s.Genesis.Zones.StoreSetupRate != 900 || s.Zones.Shed != 0.14 ||
		s.Accounts.Nodes["acme/web"].Overcommit != 1.25 || s.Contracts.Allocations[0].UnmetReason != "no room" {
		t.Errorf("decoded state %+v", s)
	}
	if written, err := encodeState(s); err != nil || !bytes.Equal(written, sealed) {
		t.Errorf("encoded now: %q, %v; stored: %q", written, err, sealed)
	}
}

// assertStoredStore checks that the store at path written has the contents of the stored one,
// and returns a directory with a copy of the stored one.
func assertStoredStore(t *testing.T, written, kind string) (dir string) {
	t.Helper()
	name := filepath.Base(written)
	file, err := os.ReadFile(written)
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	stored := filepath.Join(dir, name)
	contents := storedtest.ReadFile(t, name, func() []byte { return file })
	if err := os.WriteFile(stored, contents, 0o600); err != nil {
		t.Fatal(err)
	}
	if now, then := storeContents(t, written, kind), storeContents(t, stored, kind); !maps.Equal(now, then) {
		t.Errorf("%s: written now: %q\nstored: %q", name, now, then)
	}
	return dir
}

// storeContents returns a store's values by bucket and key, except its random ID.
func storeContents(t *testing.T, path, kind string) map[string]string {
	t.Helper()
	schema := store.Schema{Kind: kind, Migrations: make([]func(*store.Tx) error, 1)}
	st, err := store.Open(path, schema, store.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = st.Close() }()
	all := map[string]string{}
	err = st.View(func(tx *store.Tx) error {
		return tx.ForEach(func(bucket []byte, b *store.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				all[string(bucket)+"/"+string(k)] = string(v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if all["meta/id"] != string(st.ID[:]) {
		t.Errorf("%s: stored ID %x is read as %x", path, all["meta/id"], st.ID)
	}
	delete(all, "meta/id")
	return all
}

func openTestStore(t *testing.T, dir string) *voterStore {
	t.Helper()
	options := Options{Dir: dir, InjectFault: func(string) error { return nil }}
	s, quarantineReason, err := openVoterStore(&options, func() {})
	if err != nil || quarantineReason != "" {
		t.Fatal(quarantineReason, err)
	}
	t.Cleanup(func() { _ = s.close() })
	return s
}

// Guards the format of votes.db: a voter must read its log, term, vote, bootstrap stores and
// snapshot from the stored file, and must write them in the same format.
func TestStoredVotes(t *testing.T) {
	_, sealed := storedState(t)
	servers := raft.Configuration{Servers: []raft.Server{
		{Suffrage: raft.Voter, ID: "v0", Address: "127.0.0.1:7001"},
		{Suffrage: raft.Nonvoter, ID: "v1", Address: "127.0.0.1:7002"},
	}}
	stores := map[string]string{"v0": "0011223344556677", "v1": "8899aabbccddeeff"}
	logs := []*raft.Log{
		{Index: 2, Term: 5, Type: raft.LogNoop, AppendedAt: time.Unix(0, 1_700_000_000_000_000_001), Data: []byte{}},
		{Index: 3, Term: 6, Type: raft.LogCommand, Data: []byte(`{"kind":"settings","by":"m1","at":1,"body":{}}`)},
		{Index: 4, Term: 7, Type: raft.LogBarrier, Data: []byte("data"), Extensions: []byte("extensions")},
	}
	meta := raft.SnapshotMeta{
		Version: 1, ID: "3-2", Index: 2, Term: 3, Configuration: servers, ConfigurationIndex: 1, Size: int64(len(sealed))}

	written := t.TempDir()
	s := openTestStore(t, written)
	sink, err := s.Create(1, 2, 3, servers, 1, nil)
	if err == nil {
		_, err = sink.Write(sealed)
	}
	err = errors.Join(
		err,
		s.bootstrap(servers, stores),
		s.StoreLogs(logs),
		s.SetUint64([]byte("CurrentTerm"), 9),
		s.SetUint64([]byte("LastVoteTerm"), 8),
		s.Set([]byte("LastVoteCand"), []byte("127.0.0.1:7002")),
		sink.Close(),
		s.close(),
	)
	if err != nil {
		t.Fatal(err)
	}

	s = openTestStore(t, assertStoredStore(t, filepath.Join(written, "votes.db"), "fleet-votes"))
	if s.firstIndex != 1 || s.lastIndex != 4 || !reflect.DeepEqual(raft.DecodeConfiguration(s.entries[1].Data), servers) {
		t.Errorf("log from %d to %d, first entry %+v", s.firstIndex, s.lastIndex, s.entries[1])
	}
	for _, want := range logs {
		if got := s.entries[want.Index]; !reflect.DeepEqual(got, want) {
			t.Errorf("entry %+v, want %+v", got, want)
		}
	}
	term, _ := s.GetUint64([]byte("CurrentTerm"))
	voteTerm, _ := s.GetUint64([]byte("LastVoteTerm"))
	vote, _ := s.Get([]byte("LastVoteCand"))
	if term != 9 || voteTerm != 8 || string(vote) != "127.0.0.1:7002" || !maps.Equal(s.bootstrapStores, stores) {
		t.Errorf("term %d, vote in term %d for %q, bootstrap stores %v", term, voteTerm, vote, s.bootstrapStores)
	}
	if s.snapshot == nil || !reflect.DeepEqual(s.snapshot.Meta, meta) || !bytes.Equal(s.snapshot.Data, sealed) {
		t.Errorf("snapshot %+v, want %+v", s.snapshot, meta)
	}
}

// Guards the format of state.db: a member must read the last known state from the stored file,
// and must write it in the same format.
func TestStoredStateFile(t *testing.T) {
	want, _ := storedState(t)
	file := func(dir string) *stateFile {
		r := newBareReplica(t, "m1")
		r.options.Dir = dir
		r.options.Genesis = want.Genesis
		r.options.InjectFault = func(string) error { return nil }
		f := &stateFile{replica: r}
		t.Cleanup(func() {
			if f.store != nil {
				_ = f.store.Close()
			}
		})
		return f
	}
	written := file(t.TempDir())
	written.replica.publisher.publishState(want, nil)
	written.write()
	if err := written.store.Close(); err != nil {
		t.Fatal(err)
	}
	stored := file(assertStoredStore(t, written.path(), "fleet-state"))
	if s, err := stored.open(); err != nil || stored.store.QuarantinePath != "" || !reflect.DeepEqual(s, want) {
		t.Errorf("decoded state %+v, %v; want %+v", s, err, want)
	}
}
