package replog

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/store"
)

// snapshot is raft's, whole in memory: states are small. There is one; the next takes its
// place in one transaction.
type snapshot struct {
	Meta raft.SnapshotMeta `json:"Meta"`
	Data []byte            `json:"Data"` // a sealed state
}

func (s *snapshot) index() uint64 {
	if s == nil {
		return 0
	}
	return s.Meta.Index
}

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

// sealState writes a state: the sum of its JSON, and that.
func encodeState(state *logentry.State) ([]byte, error) {
	text, err := json.Marshal(state)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(text)
	return append(sum[:], text...), nil
}

func decodeState(encoded []byte) (*logentry.State, error) {
	if len(encoded) < sha256.Size || len(encoded) > maxStateSize {
		return nil, fmt.Errorf("state: %d bytes", len(encoded))
	}
	if sum := sha256.Sum256(encoded[sha256.Size:]); !bytes.Equal(sum[:], encoded[:sha256.Size]) {
		return nil, errors.New("state: its sum is not good")
	}
	state := &logentry.State{}
	if err := logentry.UnmarshalStrict(encoded[sha256.Size:], state); err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	return state, nil
}

// sink takes a snapshot that is being made or received.
type snapshotSink struct {
	bytes.Buffer
	store *voterStore
	meta  raft.SnapshotMeta
	done  bool
}

// Create begins a snapshot.
func (s *voterStore) Create(version raft.SnapshotVersion, index, term uint64, configuration raft.Configuration, configurationIndex uint64, _ raft.Transport) (raft.SnapshotSink, error) {
	return &snapshotSink{store: s, meta: raft.SnapshotMeta{Version: version, ID: fmt.Sprintf("%d-%d", term, index), Index: index, Term: term,
		Configuration: configuration, ConfigurationIndex: configurationIndex}}, nil
}

// Write takes a part.
func (s *snapshotSink) Write(p []byte) (int, error) {
	if s.Len()+len(p) > maxStateSize {
		return 0, fmt.Errorf("snapshot: over %d bytes", maxStateSize)
	}
	return s.Buffer.Write(p)
}

// ID names the snapshot.
func (s *snapshotSink) ID() string { return s.meta.ID }

// Cancel drops it.
func (s *snapshotSink) Cancel() error { s.done = true; return nil }

// Close puts it in the place of the one before.
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
	return s.store.update("snapshot", func(tx *store.Tx) error { return tx.Bucket(snapshotBucket).Put(snapshotKey, text) },
		func() { s.store.snapshot = complete })
}

// List returns the one there is.
func (s *voterStore) List() ([]*raft.SnapshotMeta, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.snapshot == nil {
		return nil, nil
	}
	meta := s.snapshot.Meta
	return []*raft.SnapshotMeta{&meta}, nil
}

// Open reads it.
func (s *voterStore) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.snapshot == nil || s.snapshot.Meta.ID != id {
		return nil, nil, fmt.Errorf("snapshot %q: not kept", id)
	}
	meta := s.snapshot.Meta
	return &meta, io.NopCloser(bytes.NewReader(s.snapshot.Data)), nil
}
