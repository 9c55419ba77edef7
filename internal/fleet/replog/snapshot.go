package replog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"coralrelay/internal/store"
)

// snapshot is a raft snapshot. It is kept in memory, since states are small. A store holds one
// snapshot; the next one replaces it in one transaction.
type snapshot struct {
	Meta raft.SnapshotMeta `json:"Meta"`
	Data []byte            `json:"Data"` // a state as encoded by encodeState
}

// index returns the index of the last entry in the snapshot, or 0 if s is nil.
func (s *snapshot) index() uint64 {
	if s == nil {
		return 0
	}
	return s.Meta.Index
}

// decodeSnapshot decodes a stored snapshot and checks the state in it.
func decodeSnapshot(encoded []byte) (*snapshot, error) {
	decoded := &snapshot{}
	if err := json.Unmarshal(encoded, decoded); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if _, err := decodeState(decoded.Data); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	return decoded, nil
}

// snapshotSink collects a snapshot that raft is taking, or receiving from the leader.
type snapshotSink struct {
	bytes.Buffer
	store *voterStore
	meta  raft.SnapshotMeta
	done  bool // closed or cancelled
}

// Create starts a snapshot. It implements raft.SnapshotStore.
func (s *voterStore) Create(
	version raft.SnapshotVersion, index, term uint64,
	configuration raft.Configuration, configurationIndex uint64, _ raft.Transport,
) (raft.SnapshotSink, error) {
	meta := raft.SnapshotMeta{
		Version:            version,
		ID:                 fmt.Sprintf("%d-%d", term, index),
		Index:              index,
		Term:               term,
		Configuration:      configuration,
		ConfigurationIndex: configurationIndex,
	}
	return &snapshotSink{store: s, meta: meta}, nil
}

// Write appends a part of the snapshot, up to maxStateSize in total.
func (s *snapshotSink) Write(p []byte) (int, error) {
	if s.Len()+len(p) > maxStateSize {
		return 0, fmt.Errorf("snapshot: over %d bytes", maxStateSize)
	}
	return s.Buffer.Write(p)
}

// ID returns the snapshot's ID: its term and index.
func (s *snapshotSink) ID() string { return s.meta.ID }

// Cancel discards the snapshot.
func (s *snapshotSink) Cancel() error {
	s.done = true
	return nil
}

// Close checks the snapshot and stores it in place of the previous one.
func (s *snapshotSink) Close() error {
	if s.done {
		return nil
	}
	s.done = true
	s.meta.Size = int64(s.Len())
	complete := &snapshot{Meta: s.meta, Data: s.Bytes()}
	if _, err := decodeState(complete.Data); err != nil {
		return err
	}
	text, err := json.Marshal(complete)
	if err != nil {
		return err
	}
	return s.store.update("snapshot", func(tx *store.Tx) error {
		return tx.Bucket(snapshotBucket).Put(snapshotKey, text)
	}, func() {
		s.store.snapshot = complete
	})
}

// List returns the snapshot's metadata, if there is a snapshot.
func (s *voterStore) List() ([]*raft.SnapshotMeta, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.snapshot == nil {
		return nil, nil
	}
	meta := s.snapshot.Meta
	return []*raft.SnapshotMeta{&meta}, nil
}

// Open returns the snapshot with that ID.
func (s *voterStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.snapshot == nil || s.snapshot.Meta.ID != id {
		return nil, nil, fmt.Errorf("snapshot %q: not kept", id)
	}
	meta := s.snapshot.Meta
	return &meta, io.NopCloser(bytes.NewReader(s.snapshot.Data)), nil
}
