package replog

import (
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// stateMachine applies what raft has committed: it is raft's FSM. It begins at raft's
// snapshot, which may be behind what the member has received from an upstream.
type stateMachine struct {
	replica *Replica
	state   *logentry.State
}

// Apply applies one entry and returns its logentry.Outcome.
func (m *stateMachine) Apply(entry *raft.Log) any {
	next, outcome := m.state.Apply(entry.Data)
	if known, ok := m.replica.publisher.hashAt(next.Index); ok && known != next.Hash {
		slog.Error("committed log contradicts the hash chain received earlier", component, "index", next.Index)
	}
	m.state = next
	m.replica.publisher.publishState(next, entry.Data)
	return outcome
}

// Snapshot returns the state as it is; Apply never changes it in place.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) { return stateSnapshot{m.state}, nil }

// Restore replaces all that was applied by a snapshot's state.
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

// stateSnapshot is a state on its way into raft's snapshot store.
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

// Release does nothing: states are never changed in place.
func (stateSnapshot) Release() {}
