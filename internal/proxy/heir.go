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
type Standing struct {
	Request
	Server     string    `json:"Server"`
	FromCaller []byte    `json:"FromCaller"` // read from the caller and not passed on
	FromHop    []byte    `json:"FromHop"`    // read from the next hop and not passed on
	Pending    time.Time `json:"Pending"`    // when the oldest unanswered line of the caller went on; zero if none waits
	// Hold is the taker's, while the giver may still keep the connections; nil if it can't.
	Hold *Hold `json:"-"`
}

// Heir goes on with what stands, in another process. Take returns once that owns both
// connections; if it is false they stay here, and nobody else has used them.
type Heir interface {
	Take(s Standing, caller, hop net.Conn) bool
}

// Yield hands a standing connection to another process, between two lines; if that does
// not take it, its caller is asked to come again. It returns at once, and before UP it
// does nothing. Who has a place in a stream is moved: that place is not passed on.
func (t *Transaction) Yield(to Heir) {
	if t.Continuity != nil {
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

func (t *Transaction) yields() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heir != nil
}

// pass hands over what both relays have stopped for. If it is not taken, its caller is to
// be moved.
func (t *Transaction) pass(hop *bufconn.Conn) End {
	t.mu.Lock()
	gone, moving, to := t.gone, t.moving, t.heir
	t.offered = true
	s := Standing{Request: t.Request, Server: t.server, FromCaller: t.caller.Unread(), FromHop: hop.Unread(), Pending: t.pending}
	t.mu.Unlock()
	switch {
	case gone:
		return t.cut(hop, CallerLeft)
	case !moving && to.Take(s, t.caller.Conn, hop.Conn):
		return HandedOver
	}
	return t.cut(hop, Moved)
}

// Hold keeps a transaction that was inherited from reading and writing until its giver
// has let go of it. One goroutine commits or aborts it, once.
type Hold struct {
	t       *Transaction // nil until it is inherited
	over    chan struct{}
	aborted bool // set before over is closed
}

// NewHold returns a Hold for a Standing that is about to be inherited.
func NewHold() *Hold { return &Hold{over: make(chan struct{})} }

// Commit has the transaction go on: the connections are this process's alone.
func (h *Hold) Commit() { close(h.over) }

// Abort ends the transaction with nothing read or written: the connections are their
// giver's, and only the copies here are closed.
func (h *Hold) Abort() {
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
func (h *Hold) Read([]byte) (int, error) {
	<-h.over
	if h.aborted {
		return 0, errAborted
	}
	return 0, io.EOF
}

// resume returns a Leg on conn from which another process had read some bytes that it did
// not use. It is not read before the hold ends, if there is one.
func (h *Hold) resume(conn net.Conn, read []byte) *bufconn.Conn {
	l := bufconn.NewWithUnread(conn, read)
	if h != nil {
		l.R.Reset(io.MultiReader(h, bytes.NewReader(read), conn))
	}
	return l
}

// Inherit returns the transaction of what another process has handed over. Run serves it
// to its end.
func Inherit(s Standing, f Front, w Watcher, caller, hop net.Conn) *Transaction {
	t := New(s.Request, nil, f, w, s.Hold.resume(caller, s.FromCaller))
	legToHop := s.Hold.resume(hop, s.FromHop)
	t.settle(answer{from: s.Server, hop: legToHop})
	if t.pending = s.Pending; !t.pending.IsZero() {
		_ = legToHop.SetReadDeadline(t.pending.Add(silence))
	}
	if s.Hold != nil {
		s.Hold.t = t
	}
	return t
}

var _ dispatch.Placement = (*Transaction)(nil)
