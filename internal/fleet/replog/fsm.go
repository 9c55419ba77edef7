package replog

import (
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// machine applies what raft has committed. It begins at raft's snapshot, which may be
// behind what the member knows already from others.
type stateMachine struct {
	replica *Replica
	state   *logentry.State
}

// Apply takes one entry and returns its entry.Outcome.
func (m *stateMachine) Apply(entry *raft.Log) any {
	next, outcome := m.state.Apply(entry.Data)
	if known, ok := m.replica.publisher.hashAt(next.Index); ok && known != next.Hash {
		slog.Error("record: the log has another chain than what was heard before", "index", next.Index)
	}
	m.state = next
	m.replica.publisher.publishState(next, entry.Data)
	return outcome
}

// Snapshot returns the state as it is.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) { return stateSnapshot{m.state}, nil }

// Restore takes a state in place of all that was applied.
func (m *stateMachine) Restore(source io.ReadCloser) error {
	defer func() { _ = source.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(source, maxStateSize+1))
	if err != nil {
		return err
	}
	state, err := decodeState(encoded)
	if err != nil {
		return err
	}
	if err := state.AttachGenesis(m.replica.options.Genesis); err != nil {
		return err
	}
	m.state = state
	m.replica.publisher.publishState(state, nil)
	return nil
}

type stateSnapshot struct{ state *logentry.State }

// Persist writes the state to raft's store.
func (s stateSnapshot) Persist(sink raft.SnapshotSink) error {
	encoded, err := encodeState(s.state)
	if err == nil {
		_, err = sink.Write(encoded)
	}
	if err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release has nothing to let go: states are never changed in place.
func (stateSnapshot) Release() {}
