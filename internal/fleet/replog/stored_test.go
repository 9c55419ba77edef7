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

// The files in testdata/stored were made by
//
//	go test ./internal/fleet/logentry -run TestStored -update
//	go test ./internal/fleet/replog -run TestStored -update
//
// state.sealed is the state of logentry's testdata/stored/state.json as encodeState returns
// it; votes.db and state.db hold it too; messages.txt has a message a line, as a Go string.

// storedState returns the stored state, and its encoding.
func storedState(t *testing.T) (state *logentry.State, encoded []byte) {
	t.Helper()
	encoded = storedtest.ReadFile(t, "state.sealed", func() []byte { return encodeLogentryState(t) })
	state, err := decodeState(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return state, encoded
}

// encodeLogentryState returns the encoding of the state that package logentry has stored.
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
		t.Errorf("read as %+v", s)
	}
	if written, err := encodeState(s); err != nil || !bytes.Equal(written, sealed) {
		t.Errorf("written now: %q, %v; stored: %q", written, err, sealed)
	}
}

// assertStoredStore checks that a store that was written now has the contents of the stored
// one, and returns a folder with a copy of the latter.
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

// storeContents returns all that a store holds, by bucket and key, except its random ID.
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
		t.Errorf("%s: its ID %x is read as %x", path, all["meta/id"], st.ID)
	}
	delete(all, "meta/id")
	return all
}

func openTestStore(t *testing.T, dir string) *voterStore {
	t.Helper()
	options := Options{Dir: dir, InjectFault: func(string) error { return nil }}
	d, quarantineReason, err := openVoterStore(&options, func() {})
	if err != nil || quarantineReason != "" {
		t.Fatal(quarantineReason, err)
	}
	t.Cleanup(func() { _ = d.close() })
	return d
}

// A voter reads its log, its term and vote, the bootstrap's stores and the snapshot from a
// stored file, and writes them the same.
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
	d := openTestStore(t, written)
	sink, err := d.Create(1, 2, 3, servers, 1, nil)
	if err == nil {
		_, err = sink.Write(sealed)
	}
	err = errors.Join(
		err,
		d.bootstrap(servers, stores),
		d.StoreLogs(logs),
		d.SetUint64([]byte("CurrentTerm"), 9),
		d.SetUint64([]byte("LastVoteTerm"), 8),
		d.Set([]byte("LastVoteCand"), []byte("127.0.0.1:7002")),
		sink.Close(),
		d.close(),
	)
	if err != nil {
		t.Fatal(err)
	}

	d = openTestStore(t, assertStoredStore(t, filepath.Join(written, "votes.db"), "fleet-votes"))
	if d.firstIndex != 1 || d.lastIndex != 4 || !reflect.DeepEqual(raft.DecodeConfiguration(d.entries[1].Data), servers) {
		t.Errorf("a log from %d to %d, its first %+v", d.firstIndex, d.lastIndex, d.entries[1])
	}
	for _, want := range logs {
		if got := d.entries[want.Index]; !reflect.DeepEqual(got, want) {
			t.Errorf("entry %+v, want %+v", got, want)
		}
	}
	term, _ := d.GetUint64([]byte("CurrentTerm"))
	voteTerm, _ := d.GetUint64([]byte("LastVoteTerm"))
	vote, _ := d.Get([]byte("LastVoteCand"))
	if term != 9 || voteTerm != 8 || string(vote) != "127.0.0.1:7002" || !maps.Equal(d.bootstrapStores, stores) {
		t.Errorf("term %d, a vote in %d for %q, bootstrap stores %v", term, voteTerm, vote, d.bootstrapStores)
	}
	if d.snapshot == nil || !reflect.DeepEqual(d.snapshot.Meta, meta) || !bytes.Equal(d.snapshot.Data, sealed) {
		t.Errorf("snapshot %+v, want %+v", d.snapshot, meta)
	}
}

// A member reads the last known state from a stored file, and writes it the same.
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
		t.Errorf("read as %+v, %v; want %+v", s, err, want)
	}
}
