package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/dispatch"
)

// Standing is what another process needs, besides the two connections, to go on with
// what stands.
type EstablishedSession struct {
	Request
	Server       string    `json:"Server"`
	FromClient   []byte    `json:"FromCaller"` // read from the caller and not passed on
	FromUpstream []byte    `json:"FromHop"`    // read from the next hop and not passed on
	PendingSince time.Time `json:"Pending"`    // when the oldest unanswered line of the caller went on; zero if none waits
	// Hold is the taker's, while the giver may still keep the connections; nil if it can't.
	Gate *CommitGate `json:"-"`
}

// Heir goes on with what stands, in another process. Take returns once that owns both
// connections; if it is false they stay here, and nobody else has used them.
type Successor interface {
	Take(s EstablishedSession, caller, hop net.Conn) bool
}

// Yield hands a standing connection to another process, between two lines; if that does
// not take it, its caller is asked to come again. It returns at once, and before UP it
// does nothing. Who has a place in a stream is moved: that place is not passed on.
func (s *Session) HandOver(successor Successor) {
	if s.Resumption != nil {
		s.Migrate()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.upstream != nil && !s.migrating && !s.clientGone && !s.clientClosing && s.successor == nil {
		s.successor = successor
		s.client.InterruptRead() // which wakes the relay when it has stopped
	}
}

func (s *Session) isHandingOver() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successor != nil
}

// pass hands over what both relays have stopped for. If it is not taken, its caller is to
// be moved.
func (s *Session) offerToSuccessor(upstream *bufconn.Conn) EndReason {
	s.mu.Lock()
	clientGone, migrating, successor := s.clientGone, s.migrating, s.successor
	s.handoverOffered = true
	state := EstablishedSession{Request: s.Request, Server: s.server, FromClient: s.client.Unread(), FromUpstream: upstream.Unread(), PendingSince: s.pendingSince}
	s.mu.Unlock()
	switch {
	case clientGone:
		return s.closeUpstream(upstream, EndClientClosed)
	case !migrating && successor.Take(state, s.client.Conn, upstream.Conn):
		return EndHandedOver
	}
	return s.closeUpstream(upstream, EndMigrated)
}

// Hold keeps a transaction that was inherited from reading and writing until its giver
// has let go of it. One goroutine commits or aborts it, once.
type CommitGate struct {
	session *Session // nil until it is inherited
	decided chan struct{}
	aborted bool // set before over is closed
}

// NewHold returns a Hold for a Standing that is about to be inherited.
func NewCommitGate() *CommitGate { return &CommitGate{decided: make(chan struct{})} }

// Commit has the transaction go on: the connections are this process's alone.
func (g *CommitGate) Commit() { close(g.decided) }

// Abort ends the transaction with nothing read or written: the connections are their
// giver's, and only the copies here are closed.
func (g *CommitGate) Abort() {
	if g.session != nil {
		g.session.clientLeft() // before its relay can see an end, which it would pass on
	}
	g.aborted = true
	close(g.decided)
}

// errAborted ends the reads of what its giver has kept.
var errHandoverAborted = errors.New("the giver has kept it")

// Read waits for the end of the hold. It returns no byte: io.EOF once what follows may be
// read, else an error.
func (g *CommitGate) Read([]byte) (int, error) {
	<-g.decided
	if g.aborted {
		return 0, errHandoverAborted
	}
	return 0, io.EOF
}

// resume returns a Leg on conn from which another process had read some bytes that it did
// not use. It is not read before the hold ends, if there is one.
func (g *CommitGate) newConn(conn net.Conn, unread []byte) *bufconn.Conn {
	buffered := bufconn.NewWithUnread(conn, unread)
	if g != nil {
		buffered.R.Reset(io.MultiReader(g, bytes.NewReader(unread), conn))
	}
	return buffered
}

// Inherit returns the transaction of what another process has handed over. Run serves it
// to its end.
func Inherit(state EstablishedSession, codec Codec, observer Observer, client, upstream net.Conn) *Session {
	session := New(state.Request, nil, codec, observer, state.Gate.newConn(client, state.FromClient))
	upstreamConn := state.Gate.newConn(upstream, state.FromUpstream)
	session.settle(answer{server: state.Server, upstream: upstreamConn})
	if session.pendingSince = state.PendingSince; !session.pendingSince.IsZero() {
		_ = upstreamConn.SetReadDeadline(session.pendingSince.Add(answerTimeout))
	}
	if state.Gate != nil {
		state.Gate.session = session
	}
	return session
}

var _ dispatch.Placement = (*Session)(nil)
