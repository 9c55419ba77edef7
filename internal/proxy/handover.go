package proxy

import (
	"net"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
)

// EstablishedSession is the state that another process needs, besides the two connections, to
// continue a session. Package hotrestart sends it as JSON, possibly to another version of the
// program, so its keys must not change.
type EstablishedSession struct {
	Request
	Server       string    `json:"Server"`
	FromClient   []byte    `json:"FromCaller"` // read from the client and not yet relayed
	FromUpstream []byte    `json:"FromHop"`    // read from the upstream and not yet relayed
	PendingSince time.Time `json:"Pending"`    // relay time of the oldest unanswered client line, or zero
	// Gate is set by the receiver while the sender may still keep the connections.
	Gate *CommitGate `json:"-"`
}

// Successor is another process that takes over sessions.
type Successor interface {
	// Take returns true once the successor owns both connections. If it returns false, this process
	// still owns them, and nothing was read from them or written to them.
	Take(state EstablishedSession, client, upstream net.Conn) bool
}

// HandOver hands an established session over to another process, between two relayed lines. If the
// successor refuses the session, the client is migrated. HandOver returns immediately and does
// nothing before UP. A client with a Resumption is always migrated, as its position is not handed
// over.
func (s *Session) HandOver(successor Successor) {
	if s.Resumption != nil {
		s.Migrate()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.machine.MayHandOver() == lifecycle.None {
		s.apply(lifecycle.HandoverRequested)
		s.successor = successor
		s.client.InterruptRead() // once stopped, the client's reader interrupts the relay to the client
	}
}

func (s *Session) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor != nil
}

// offerToSuccessor offers the session to the successor. It must be called when nothing reads from
// either connection any more. If it returns EndMigrated, the client is still to be sent MOVE.
func (s *Session) offerToSuccessor(upstream *bufconn.Conn) EndReason {
	s.mu.Lock()
	s.apply(lifecycle.SessionOffered)
	state, successor := s.machine.State(), s.successor
	offer := EstablishedSession{
		Request:      s.Request,
		Server:       s.server,
		FromClient:   s.client.Unread(),
		FromUpstream: upstream.Unread(),
		PendingSince: s.pendingSince,
	}
	s.mu.Unlock()
	switch {
	case state == lifecycle.ClientGone:
		return s.closeUpstream(upstream, EndClientClosed)
	case state == lifecycle.HandoverRevoked:
		return s.closeUpstream(upstream, EndMigrated)
	case successor.Take(offer, s.client.Conn, upstream.Conn):
		s.lockAndApply(lifecycle.SuccessorAccepted)
		return EndHandedOver
	}
	s.lockAndApply(lifecycle.SuccessorRefused)
	return s.closeUpstream(upstream, EndMigrated)
}

// Inherit returns the session that another process has handed over with its two connections. Run
// serves it.
func Inherit(state EstablishedSession, codec Codec, observer Observer, client, upstream net.Conn) *Session {
	session := New(state.Request, nil, codec, observer, state.Gate.newConn(client, state.FromClient))
	upstreamConn := state.Gate.newConn(upstream, state.FromUpstream)
	session.settle(lifecycle.UpReceived, answer{server: state.Server, upstream: upstreamConn})
	session.pendingSince = state.PendingSince
	if !session.pendingSince.IsZero() {
		_ = upstreamConn.SetReadDeadline(session.pendingSince.Add(answerTimeout))
	}
	if state.Gate != nil {
		state.Gate.session = session
	}
	return session
}
