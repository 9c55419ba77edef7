package exchange

import (
	"net"
	"time"

	"coralrelay/internal/decide"
	"coralrelay/internal/leg"
)

// Standing is what another process needs, besides the two connections, to go on with
// what stands.
type Standing struct {
	Request
	Server     string
	FromCaller []byte    // read from the caller and not passed on
	FromHop    []byte    // read from the next hop and not passed on
	Pending    time.Time // when the oldest unanswered line of the caller went on; zero if none waits
}

// Heir goes on with what stands, in another process. Take returns once that has taken
// both connections; if it is false, they stay here.
type Heir interface {
	Take(s Standing, caller, hop net.Conn) bool
}

// Yield hands a standing connection to another process, between two lines; if that does
// not take it, its caller is asked to come again. It returns at once, and before UP it
// does nothing. Who has a place in a stream is moved: that place is not passed on.
func (t *Transaction) Yield(to Heir) {
	if t.Continuity != nil {
		t.Move()
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.hop != nil && !t.moving && !t.gone && !t.closing && t.heir == nil {
		t.heir = to
		t.caller.Wake() // which wakes the relay when it has stopped
	}
}

func (t *Transaction) yields() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heir != nil
}

// pass hands over what both relays have stopped for. If it is not taken, its caller is to
// be moved.
func (t *Transaction) pass(hop *leg.Leg) End {
	t.mu.Lock()
	gone, to := t.gone, t.heir
	s := Standing{Request: t.Request, Server: t.server, FromCaller: t.caller.Unread(), FromHop: hop.Unread(), Pending: t.pending}
	t.mu.Unlock()
	switch {
	case gone:
		return t.cut(hop, CallerLeft)
	case to.Take(s, t.caller.Conn, hop.Conn):
		return HandedOver
	}
	return t.cut(hop, Moved)
}

// Inherit returns the transaction of what another process has handed over. Run serves it
// to its end.
func Inherit(s Standing, f Front, w Watcher, caller, hop net.Conn) *Transaction {
	t := New(s.Request, nil, f, w, leg.Resume(caller, s.FromCaller))
	legToHop := leg.Resume(hop, s.FromHop)
	t.settle(answer{from: s.Server, hop: legToHop})
	if t.pending = s.Pending; !t.pending.IsZero() {
		_ = legToHop.SetReadDeadline(t.pending.Add(silence))
	}
	return t
}

var _ decide.Item = (*Transaction)(nil)
