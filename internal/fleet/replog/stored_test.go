package replog

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/store"
)

// The files in testdata/stored were made by
//
//	go test ./internal/fleet/logentry -run TestStored -update
//	go test ./internal/fleet/replog -run TestStored -update
//
// state.sealed is the sealed state of the entry package's testdata/stored/state.json;
// votes.db and state.db hold it too; messages.txt has a message a line, as a Go string.
var update = flag.Bool("update", false, "rewrite the files in testdata/stored")

// storedFile reads a stored file; with -update it first puts there what is written now.
func storedFile(t *testing.T, name string, written []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "stored", name)
	if *update {
		if err := os.WriteFile(path, written, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	stored, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

// storedState returns the stored state, and sealed.
func storedState(t *testing.T) (*logentry.State, []byte) {
	t.Helper()
	var written []byte
	if *update {
		text, err := os.ReadFile("../logentry/testdata/stored/state.json")
		if err != nil {
			t.Fatal(err)
		}
		s := &logentry.State{}
		if err = logentry.UnmarshalStrict(text, s); err == nil {
			written, err = encodeState(s)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	sealed := storedFile(t, "state.sealed", written)
	s, err := decodeState(sealed)
	if err != nil {
		t.Fatal(err)
	}
	return s, sealed
}

func TestStoredSealedState(t *testing.T) {
	s, sealed := storedState(t)
	if s.Index != 12 || s.Genesis.Zones.StoreSetupRate != 900 || s.Zones.Shed != 0.14 || s.Accounts.Nodes["acme/web"].Overcommit != 1.25 ||
		s.Contracts.Allocations[0].UnmetReason != "no room" {
		t.Errorf("read as %+v", s)
	}
	if written, err := encodeState(s); err != nil || !bytes.Equal(written, sealed) {
		t.Errorf("written now: %q, %v; stored: %q", written, err, sealed)
	}
}

// storedStore holds a store that was written now to the stored one, by all that is in them,
// and returns a folder with a copy of the latter.
func assertStoredStore(t *testing.T, written, kind string) (dir string) {
	t.Helper()
	name := filepath.Base(written)
	file, err := os.ReadFile(written)
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	stored := filepath.Join(dir, name)
	if err := os.WriteFile(stored, storedFile(t, name, file), 0o600); err != nil {
		t.Fatal(err)
	}
	if now, then := storeContents(t, written, kind), storeContents(t, stored, kind); !maps.Equal(now, then) {
		t.Errorf("%s: written now: %q\nstored: %q", name, now, then)
	}
	return dir
}

// contents returns all that a store holds by bucket and key, but its identity, which is drawn.
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
		t.Errorf("%s: its identity %x is read as %x", path, all["meta/id"], st.ID)
	}
	delete(all, "meta/id")
	return all
}

func openTestStore(t *testing.T, dir string) *voterStore {
	t.Helper()
	d, why, err := openVoterStore(&Options{Dir: dir, InjectFault: func(string) error { return nil }}, func() {})
	if err != nil || why != "" {
		t.Fatal(why, err)
	}
	t.Cleanup(func() { _ = d.close() })
	return d
}

// A voter finds its log, its term and vote, the founders and the snapshot in a stored file,
// and writes them the same.
func TestStoredVotes(t *testing.T) {
	_, sealed := storedState(t)
	servers := raft.Configuration{Servers: []raft.Server{
		{Suffrage: raft.Voter, ID: "v0", Address: "127.0.0.1:7001"}, {Suffrage: raft.Nonvoter, ID: "v1", Address: "127.0.0.1:7002"}}}
	founders := map[string]string{"v0": "0011223344556677", "v1": "8899aabbccddeeff"}
	logs := []*raft.Log{
		{Index: 2, Term: 5, Type: raft.LogNoop, AppendedAt: time.Unix(0, 1_700_000_000_000_000_001), Data: []byte{}},
		{Index: 3, Term: 6, Type: raft.LogCommand, Data: []byte(`{"kind":"settings","by":"m1","at":1,"body":{}}`)},
		{Index: 4, Term: 7, Type: raft.LogBarrier, Data: []byte("data"), Extensions: []byte("extensions")},
	}
	meta := raft.SnapshotMeta{Version: 1, ID: "3-2", Index: 2, Term: 3, Configuration: servers, ConfigurationIndex: 1, Size: int64(len(sealed))}

	written := t.TempDir()
	d := openTestStore(t, written)
	sink, err := d.Create(1, 2, 3, servers, 1, nil)
	if err == nil {
		_, err = sink.Write(sealed)
	}
	if err := errors.Join(err, d.bootstrap(servers, founders), d.StoreLogs(logs), d.SetUint64([]byte("CurrentTerm"), 9),
		d.SetUint64([]byte("LastVoteTerm"), 8), d.Set([]byte("LastVoteCand"), []byte("127.0.0.1:7002")), sink.Close(), d.close()); err != nil {
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
	if term != 9 || voteTerm != 8 || string(vote) != "127.0.0.1:7002" || !maps.Equal(d.bootstrapStores, founders) {
		t.Errorf("term %d, a vote in %d for %q, founders %v", term, voteTerm, vote, d.bootstrapStores)
	}
	if d.snapshot == nil || !reflect.DeepEqual(d.snapshot.Meta, meta) || !bytes.Equal(d.snapshot.Data, sealed) {
		t.Errorf("snapshot %+v, want %+v", d.snapshot, meta)
	}
}

// A member finds the last known state in a stored file, and writes it the same.
func TestStoredStateFile(t *testing.T) {
	want, _ := storedState(t)
	file := func(dir string) *stateFile {
		r := newBareReplica(t, "m1")
		r.options.Dir, r.options.Genesis, r.options.InjectFault = dir, want.Genesis, func(string) error { return nil }
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

// storedHash is a chain's hash whose bytes all differ.
func storedHash() (h logentry.Hash) {
	for i := range h {
		h[i] = byte(i + 1)
	}
	return h
}

// Messages are written and read as those that are stored.
func TestStoredMessages(t *testing.T) {
	text := []byte(`{"kind":"settings","by":"m1","at":1,"body":{}}`)
	messages := []struct {
		kind  messageKind
		value any
	}{
		{msgHello, &hello{Name: "m1", Addr: "127.0.0.1:7001", Index: 258, Hash: storedHash()}},
		{msgRejection, &rejection{Reason: reasonForked, Alternatives: []Peer{{Name: "m2", Addr: "127.0.0.1:7002", Index: 259}}}},
		{msgHeartbeat, &heartbeat{Sequence: 260, AgeMicros: -261, Leader: "v0", Path: []string{"v0", "m2"}}},
		{msgProposalResult, &proposalResult{Outcome: logentry.Outcome{Index: 262, Accepted: true, Reason: "reason"}, Error: "fault", OutcomeUnknown: true, Leader: "v1"}},
		{msgVoterRequest, &voterRequest{Action: actionDescribe, Name: "v0", AppliedIndex: 263}},
		{msgVoterRequest, &voterRequest{Action: actionReadmit, Name: "v1", AppliedIndex: 264}},
		{msgVoterRequest, &voterRequest{Action: actionPromote, Name: "v2", AppliedIndex: 265}},
		{msgVoterInfo, &voterInfo{StoreID: "0011223344556677", Bootstrapped: true, BootstrapStores: map[string]string{"v0": "8899aabbccddeeff"}, Index: 266, Error: "fault"}},
	}
	var written bytes.Buffer
	line := func(frame []byte) { written.WriteString(strconv.Quote(string(frame)) + "\n") }
	for _, m := range messages {
		var frame bytes.Buffer
		if err := writeJSON(&frame, m.kind, m.value); err != nil {
			t.Fatal(err)
		}
		line(frame.Bytes())
		for field, value := range reflect.ValueOf(m.value).Elem().Fields() {
			if value.IsZero() {
				t.Errorf("%T.%s: no stored value shows it", m.value, field.Name)
			}
		}
	}
	line(plaintextOf(t, func(c *sealedConn) error { return writeMessage(c, msgProposal, text) }))
	line(plaintextOf(t, func(c *sealedConn) error { return writeMessage(c, msgSequence, binary.BigEndian.AppendUint64(nil, 2)) }))
	up := newBareReplica(t, "up")
	next, _ := up.View().State.Apply(text)
	up.publisher.publishState(next, text)
	line(plaintextOf(t, func(c *sealedConn) error { _, err := up.sendEntriesAfter(c, 0); return err }))
	line([]byte{byte(purposeRaft), byte(purposeFollow), byte(purposePropose), byte(purposeVoterRequest)})

	stored := storedFile(t, "messages.txt", written.Bytes())
	if !bytes.Equal(stored, written.Bytes()) {
		t.Errorf("written now:\n%s\nstored:\n%s", written.Bytes(), stored)
	}
	heard := storedFrames(t, stored)
	for i, m := range messages {
		read := reflect.New(reflect.TypeOf(m.value).Elem()).Interface()
		if err := readJSON(heard[i], m.kind, read); err != nil || !reflect.DeepEqual(read, m.value) {
			t.Errorf("read as %+v, %v; want %+v", read, err, m.value)
		}
	}
	heard = heard[len(messages):]
	if kind, got, err := readMessage(heard[0], maxEntryMessageSize); err != nil || kind != msgProposal || !bytes.Equal(got, text) {
		t.Errorf("a proposal is read as %q %q, %v", kind, got, err)
	}
	if err := (&upstreamClock{lastSequence: 1, acknowledged: true}).readSequence(heard[1]); err != nil {
		t.Errorf("a number: %v", err)
	}
	down := newBareReplica(t, "down")
	kind, got, err := readMessage(heard[2], maxEntryMessageSize)
	if err == nil {
		err = down.applyEntry(got)
	}
	if s := down.View().State; err != nil || kind != msgEntry || s.Index != 1 || s.Hash != next.Hash {
		t.Errorf("an entry is read as %q, %v; the state is at %d", kind, err, s.Index)
	}
}

// A whole state goes out as its sealed bytes in a message, and is taken.
func TestStoredStateMessage(t *testing.T) {
	s, sealed := storedState(t)
	up, down := newBareReplica(t, "up"), newBareReplica(t, "down")
	down.options.Genesis = s.Genesis
	up.publisher.publishState(s, nil)
	frame := plaintextOf(t, func(c *sealedConn) error { _, err := up.sendEntriesAfter(c, 0); return err })
	if want := append(binary.BigEndian.AppendUint32([]byte("s"), uint32(len(sealed))), sealed...); !bytes.Equal(frame, want) {
		t.Errorf("written now: %q, want %q", frame, want)
	}
	_, text, err := readMessage(bytes.NewReader(frame), maxStateSize)
	if err == nil {
		err = down.applyState(text)
	}
	if got := down.View().State; err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("read as %+v, %v; want %+v", got, err, s)
	}
}

// plaintextOf returns what speak writes to a connection, as its other end reads it.
func plaintextOf(t *testing.T, speak func(*sealedConn) error) []byte {
	t.Helper()
	caller, called := connectedPair(t, "0123456789abcdef", "0123456789abcdef", unaltered)
	defer func() { _ = called.Close() }()
	failed := make(chan error, 1)
	go func() { failed <- errors.Join(speak(caller), caller.Close()) }()
	plain, err := io.ReadAll(called)
	if err := errors.Join(err, <-failed); err != nil {
		t.Fatal(err)
	}
	return plain
}

// storedFrames reads the stored messages, one a line.
func storedFrames(t *testing.T, stored []byte) (all []io.Reader) {
	t.Helper()
	for quoted := range bytes.Lines(stored) {
		frame, err := strconv.Unquote(string(bytes.TrimSpace(quoted)))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, bytes.NewReader([]byte(frame)))
	}
	return all
}
