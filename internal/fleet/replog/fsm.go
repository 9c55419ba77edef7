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
func (m *stateMachine) Apply(l *raft.Log) any {
	next, out := m.state.Apply(l.Data)
	if known, ok := m.replica.publisher.hashAt(next.Index); ok && known != next.Hash {
		slog.Error("record: the log has another chain than what was heard before", "index", next.Index)
	}
	m.state = next
	m.replica.publisher.publishState(next, l.Data)
	return out
}

// Snapshot returns the state as it is.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) { return stateSnapshot{m.state}, nil }

// Restore takes a state in place of all that was applied.
func (m *stateMachine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	b, err := io.ReadAll(io.LimitReader(from, maxStateSize+1))
	if err != nil {
		return err
	}
	s, err := decodeState(b)
	if err != nil {
		return err
	}
	if err := s.AttachGenesis(m.replica.options.Genesis); err != nil {
		return err
	}
	m.state = s
	m.replica.publisher.publishState(s, nil)
	return nil
}

type stateSnapshot struct{ state *logentry.State }

// Persist writes the state to raft's store.
func (s stateSnapshot) Persist(to raft.SnapshotSink) error {
	b, err := encodeState(s.state)
	if err == nil {
		_, err = to.Write(b)
	}
	if err != nil {
		_ = to.Cancel()
		return err
	}
	return to.Close()
}

// Release has nothing to let go: states are never changed in place.
func (stateSnapshot) Release() {}
