package replog

import (
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// stateMachine is raft's FSM: it applies the entries that raft has committed. It starts from
// raft's snapshot, which may be older than the state that this member received from an
// upstream.
type stateMachine struct {
	replica *Replica
	state   *logentry.State
}

// Apply applies one entry and returns its logentry.Outcome.
func (m *stateMachine) Apply(entry *raft.Log) any {
	next, outcome := m.state.Apply(entry.Data)
	if known, ok := m.replica.publisher.hashAt(next.Index); ok && known != next.Hash {
		slog.Error("committed hash chain differs from the one received earlier", component, "index", next.Index)
	}
	m.state = next
	m.replica.publisher.publishState(next, entry.Data)
	return outcome
}

// Snapshot returns the current state without a copy, since Apply never modifies a state.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) { return stateSnapshot{m.state}, nil }

// Restore replaces the current state with the state of a snapshot.
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

// stateSnapshot is a state to be written to raft's snapshot store.
type stateSnapshot struct{ state *logentry.State }

// Persist writes the state to sink.
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

// Release does nothing: states are never modified, so there is nothing to release.
func (stateSnapshot) Release() {}
