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
func (t *Session) HandOver(to Successor) {
	if t.Resumption != nil {
		t.Migrate()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hop != nil && !t.moving && !t.gone && !t.closing && t.heir == nil {
		t.heir = to
		t.caller.InterruptRead() // which wakes the relay when it has stopped
	}
}

func (t *Session) yields() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heir != nil
}

// pass hands over what both relays have stopped for. If it is not taken, its caller is to
// be moved.
func (t *Session) pass(hop *bufconn.Conn) EndReason {
	t.mu.Lock()
	gone, moving, to := t.gone, t.moving, t.heir
	t.offered = true
	s := EstablishedSession{Request: t.Request, Server: t.server, FromClient: t.caller.Unread(), FromUpstream: hop.Unread(), PendingSince: t.pending}
	t.mu.Unlock()
	switch {
	case gone:
		return t.cut(hop, EndClientClosed)
	case !moving && to.Take(s, t.caller.Conn, hop.Conn):
		return EndHandedOver
	}
	return t.cut(hop, EndMoved)
}

// Hold keeps a transaction that was inherited from reading and writing until its giver
// has let go of it. One goroutine commits or aborts it, once.
type CommitGate struct {
	t       *Session // nil until it is inherited
	over    chan struct{}
	aborted bool // set before over is closed
}

// NewHold returns a Hold for a Standing that is about to be inherited.
func NewCommitGate() *CommitGate { return &CommitGate{over: make(chan struct{})} }

// Commit has the transaction go on: the connections are this process's alone.
func (h *CommitGate) Commit() { close(h.over) }

// Abort ends the transaction with nothing read or written: the connections are their
// giver's, and only the copies here are closed.
func (h *CommitGate) Abort() {
	if h.t != nil {
		h.t.leave() // before its relay can see an end, which it would pass on
	}
	h.aborted = true
	close(h.over)
}

// errAborted ends the reads of what its giver has kept.
var errAborted = errors.New("the giver has kept it")

// Read waits for the end of the hold. It returns no byte: io.EOF once what follows may be
// read, else an error.
func (h *CommitGate) Read([]byte) (int, error) {
	<-h.over
	if h.aborted {
		return 0, errAborted
	}
	return 0, io.EOF
}

// resume returns a Leg on conn from which another process had read some bytes that it did
// not use. It is not read before the hold ends, if there is one.
func (h *CommitGate) resume(conn net.Conn, read []byte) *bufconn.Conn {
	l := bufconn.NewWithUnread(conn, read)
	if h != nil {
		l.R.Reset(io.MultiReader(h, bytes.NewReader(read), conn))
	}
	return l
}

// Inherit returns the transaction of what another process has handed over. Run serves it
// to its end.
func Inherit(s EstablishedSession, f Codec, w Observer, caller, hop net.Conn) *Session {
	t := New(s.Request, nil, f, w, s.Gate.resume(caller, s.FromClient))
	legToHop := s.Gate.resume(hop, s.FromUpstream)
	t.settle(answer{from: s.Server, hop: legToHop})
	if t.pending = s.PendingSince; !t.pending.IsZero() {
		_ = legToHop.SetReadDeadline(t.pending.Add(silence))
	}
	if s.Gate != nil {
		s.Gate.t = t
	}
	return t
}

var _ dispatch.Placement = (*Session)(nil)
