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
	maxPathLength = 12 // members that a heartbeat may have come by

	// reviewLeases is for how many leases a member follows an upstream that is not preferred,
	// and for how long an upstream may leave a sequence number unread.
	reviewLeases = 10
)

// upstreamSession is one connection to an upstream. One goroutine uses it.
type upstreamSession struct {
	replica     *Replica
	conn        *sealedConn
	peer        Peer
	clock       followerClock
	helloIndex  uint64 // of the state at the beginning
	fed         bool   // a heartbeat within the lease has come; not after an error of the upstream's
	lastFreshAt time.Time
}

// receiveFrom follows an upstream on a new connection until that fails, or until an upstream
// that is not preferred has been followed long enough: then the error is nil. It reports
// whether a heartbeat within the lease came. It alone reads from conn and writes to it.
func (r *Replica) receiveFrom(conn *sealedConn, peer Peer, isPreferred bool) (fed bool, err error) {
	s := &upstreamSession{replica: r, conn: conn, peer: peer}
	if err := s.sendHello(); err != nil {
		return false, err
	}
	s.lastFreshAt = time.Now()
	reviewAt := s.lastFreshAt.Add(reviewLeases * r.options.Lease)
	for isPreferred || !s.fed || time.Now().Before(reviewAt) {
		_ = conn.SetReadDeadline(time.Now().Add(r.options.peerTimeout()))
		kind, payload, err := readMessage(conn, maxStateSize)
		if err == nil {
			err = s.handle(kind, payload)
		}
		if err != nil {
			return s.fed, err
		}
	}
	return true, nil
}

func (s *upstreamSession) sendHello() error {
	state := s.replica.publisher.view.Load().State
	self := s.replica.self
	s.helloIndex = state.Index
	s.clock.nextSequence() // the hello counts as the first
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.replica.options.peerTimeout()))
	return writeJSON(s.conn, msgHello, hello{Name: self.Name, Addr: self.Addr, Index: state.Index, Hash: state.Hash})
}

// handle takes one message. Any error ends the session.
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
		err = fmt.Errorf("message %q", kind)
	}
	if err != nil {
		s.fed = false
		slog.Warn("message from upstream rejected", component, "peer", s.peer.Name, "error", err)
	}
	return err
}

// handleRejection returns a *rejectedError, or another error if the hash chains differ: that
// counts as a failure of the upstream.
func (s *upstreamSession) handleRejection(payload []byte) error {
	var rejected rejection
	if err := json.Unmarshal(payload, &rejected); err != nil {
		return err
	}
	if rejected.Reason == reasonForked {
		return fmt.Errorf("upstream holds that our hash chain at %d differs from the fleet's", s.helloIndex)
	}
	return &rejectedError{Reason: rejected.Reason, Alternatives: rejected.Alternatives}
}

// handleHeartbeat publishes a confirmation within the lease, and answers with the next
// sequence number if the upstream has received the last one.
func (s *upstreamSession) handleHeartbeat(payload []byte) error {
	options := &s.replica.options
	var beat heartbeat
	if err := json.Unmarshal(payload, &beat); err != nil {
		return err
	}
	if len(beat.Path) > maxPathLength || slices.Contains(beat.Path, s.replica.self.Name) {
		return errors.New("heartbeat came by way of this member, or of too many")
	}
	confirmedAt, err := s.clock.confirmedAt(&beat, reviewLeases*options.Lease)
	if err != nil {
		return err
	}
	if now := time.Now(); now.Sub(confirmedAt) < options.Lease {
		s.fed, s.lastFreshAt = true, now
		s.replica.publisher.confirmLeader(confirmedAt, beat.Leader, beat.Path)
	} else if now.Sub(s.lastFreshAt) > options.peerTimeout() {
		s.fed = false
		return errors.New("upstream has not heard from the leader for a lease")
	}
	if beat.Sequence != s.clock.lastSequence {
		return nil
	}
	_ = s.conn.SetWriteDeadline(time.Now().Add(options.peerTimeout()))
	return writeMessage(s.conn, msgSequence, binary.BigEndian.AppendUint64(nil, s.clock.nextSequence()))
}

// applyEntry applies an entry that follows on the state, if the hash chains agree. Of an
// entry that was applied before only the hash is compared.
func (r *Replica) applyEntry(payload []byte) error {
	entry, err := decodeEntry(payload)
	if err != nil {
		return err
	}
	state := r.publisher.view.Load().State
	if entry.index <= state.Index { // it came through raft, or from another upstream
		if known, ok := r.publisher.hashAt(entry.index); ok {
			return r.checkHash(&entry, known)
		}
		return nil
	}
	if entry.index != state.Index+1 {
		return fmt.Errorf("entry %d: after %d", entry.index, state.Index)
	}
	next, _ := state.Apply(entry.raw)
	if err := r.checkHash(&entry, next.Hash); err != nil {
		return err
	}
	r.publisher.publishState(next, entry.raw)
	return nil
}

// checkHash compares the hash received with an entry with the one known here.
func (r *Replica) checkHash(entry *committedEntry, known logentry.Hash) error {
	if entry.hash != known && !r.options.Mutations.SkipHashCheck {
		return fmt.Errorf("entry %d: hash chain differs", entry.index)
	}
	return nil
}

// applyState replaces the state by one that was received whole, if that is later.
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
