package replog

import (
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"coralrelay/internal/fleet/logentry"
)

// machine applies what raft has committed. It begins at raft's snapshot, which may be
// behind what the member knows already from others.
type machine struct {
	r     *Replica
	state *logentry.State
}

// Apply takes one entry and returns its entry.Outcome.
func (m *machine) Apply(l *raft.Log) any {
	next, out := m.state.Apply(l.Data)
	if known, ok := m.r.hub.hash(next.Index); ok && known != next.Hash {
		slog.Error("record: the log has another chain than what was heard before", "index", next.Index)
	}
	m.state = next
	m.r.hub.put(next, l.Data)
	return out
}

// Snapshot returns the state as it is.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) { return still{m.state}, nil }

// Restore takes a state in place of all that was applied.
func (m *machine) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }()
	b, err := io.ReadAll(io.LimitReader(from, mostState+1))
	if err != nil {
		return err
	}
	s, err := unsealState(b)
	if err != nil {
		return err
	}
	if err := s.AttachGenesis(m.r.o.Genesis); err != nil {
		return err
	}
	m.state = s
	m.r.hub.put(s, nil)
	return nil
}

type still struct{ state *logentry.State }

// Persist writes the state to raft's store.
func (s still) Persist(to raft.SnapshotSink) error {
	b, err := sealState(s.state)
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
func (still) Release() {}
