package replog

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"coralrelay/internal/fleet/logentry"
)

const (
	maxPathLength = 12 // members that may have relayed a heartbeat

	// reselectLeases is the time, in leases, for which a member follows an upstream that is
	// not preferred before it selects again, and for which an upstream may leave a sequence
	// number unread.
	reselectLeases = 10
)

// upstreamSession is one connection to an upstream. It must be used by one goroutine only.
type upstreamSession struct {
	replica     *Replica
	conn        *sealedConn
	peer        Peer
	clock       followerClock
	helloIndex  uint64 // index in the hello
	isFresh     bool   // a heartbeat within the lease has arrived; reset on an upstream's error
	lastFreshAt time.Time
}

// receiveFrom follows an upstream on a new connection until that fails, or until it is time to
// leave an upstream that is not preferred: the error is then nil. It reports whether a
// heartbeat within the lease has arrived. Nothing else may read from conn or write to it.
func (r *Replica) receiveFrom(conn *sealedConn, peer Peer, isPreferred bool) (isFresh bool, err error) {
	s := &upstreamSession{replica: r, conn: conn, peer: peer}
	if err := s.sendHello(); err != nil {
		return false, err
	}
	s.lastFreshAt = time.Now()
	reselectAt := s.lastFreshAt.Add(reselectLeases * r.options.Lease)
	for isPreferred || !s.isFresh || time.Now().Before(reselectAt) {
		_ = conn.SetReadDeadline(time.Now().Add(r.options.peerTimeout()))
		kind, payload, err := readMessage(conn, maxStateSize)
		if err == nil {
			err = s.handle(kind, payload)
		}
		if err != nil {
			return s.isFresh, err
		}
	}
	return true, nil
}

func (s *upstreamSession) sendHello() error {
	state := s.replica.publisher.view.Load().State
	self := s.replica.self
	s.helloIndex = state.Index
	s.clock.nextSequence() // the hello counts as sequence number 1
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.replica.options.peerTimeout()))
	return writeJSON(s.conn, msgHello, hello{Name: self.Name, Addr: self.Addr, Index: state.Index, Hash: state.Hash})
}

// handle processes one message. Any error ends the session.
func (s *upstreamSession) handle(kind messageKind, payload []byte) (err error) {
	switch kind {
	case msgRejection:
		return s.handleRejection(payload)
	case msgHeartbeat:
		return s.handleHeartbeat(payload)
	case msgEntry:
		err = s.replica.applyEntry(payload)
	case msgState:
		err = s.replica.applyState(payload)
	default:
		err = fmt.Errorf("unexpected message %q", kind)
	}
	if err != nil {
		s.isFresh = false
		slog.Warn("message from upstream rejected", component, "peer", s.peer.Name, "error", err)
	}
	return err
}

// handleRejection returns a *rejectedError, or another error if the hash chains differ, which
// counts as a failure of the upstream.
func (s *upstreamSession) handleRejection(payload []byte) error {
	var rejected rejection
	if err := json.Unmarshal(payload, &rejected); err != nil {
		return err
	}
	if rejected.Reason == reasonForked {
		return fmt.Errorf("upstream reports a different hash chain at index %d", s.helloIndex)
	}
	return &rejectedError{Reason: rejected.Reason, Alternatives: rejected.Alternatives}
}

// handleHeartbeat publishes a confirmation within the lease, and sends the next sequence number
// if the heartbeat acknowledges the last one. It returns an error if no confirmation within
// the lease has arrived for longer than the peer timeout.
func (s *upstreamSession) handleHeartbeat(payload []byte) error {
	options := &s.replica.options
	var beat heartbeat
	if err := json.Unmarshal(payload, &beat); err != nil {
		return err
	}
	if len(beat.Path) > maxPathLength || slices.Contains(beat.Path, s.replica.self.Name) {
		return errors.New("heartbeat path contains this member or is too long")
	}
	confirmedAt, err := s.clock.confirmedAt(&beat, reselectLeases*options.Lease)
	if err != nil {
		return err
	}
	if now := time.Now(); now.Sub(confirmedAt) < options.Lease {
		s.isFresh, s.lastFreshAt = true, now
		s.replica.publisher.confirmLeader(confirmedAt, beat.Leader, beat.Path)
	} else if now.Sub(s.lastFreshAt) > options.peerTimeout() {
		s.isFresh = false
		return errors.New("upstream has no confirmation of the leader within the lease")
	}
	if beat.Sequence != s.clock.lastSequence {
		return nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(options.peerTimeout()))
	return writeMessage(s.conn, msgSequence, binary.BigEndian.AppendUint64(nil, s.clock.nextSequence()))
}

// applyEntry applies the entry that follows the current state, if the hash chains agree. For
// an entry that was applied before, applyEntry only compares the hash.
func (r *Replica) applyEntry(payload []byte) error {
	entry, err := decodeEntry(payload)
	if err != nil {
		return err
	}
	state := r.publisher.view.Load().State
	if entry.index <= state.Index { // received through raft or from another upstream
		if known, ok := r.publisher.hashAt(entry.index); ok {
			return r.checkHash(&entry, known)
		}
		return nil
	}
	if entry.index != state.Index+1 {
		return fmt.Errorf("entry %d does not follow entry %d", entry.index, state.Index)
	}
	next, _ := state.Apply(entry.raw)
	if err := r.checkHash(&entry, next.Hash); err != nil {
		return err
	}
	r.publisher.publishState(next, entry.raw)
	return nil
}

// checkHash returns an error if the hash received with an entry differs from the known one.
func (r *Replica) checkHash(entry *committedEntry, known logentry.Hash) error {
	if entry.hash != known && !r.options.Mutations.SkipHashCheck {
		return fmt.Errorf("entry %d: hash chain mismatch", entry.index)
	}
	return nil
}

// applyState replaces the state with a received one, if that is later.
func (r *Replica) applyState(payload []byte) error {
	state, err := decodeState(payload)
	if err != nil {
		return err
	}
	if err := state.AttachGenesis(r.options.Genesis); err != nil {
		return err
	}
	r.publisher.publishState(state, nil)
	return nil
}
