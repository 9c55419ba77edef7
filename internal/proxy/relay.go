package proxy

// How lines pass after UP, both ways, until either side ends.

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"

	"coralrelay/internal/bufconn"
)

const (
	// silence is how long a next hop may leave a caller's line unanswered
	// before the caller is moved. Sound ones answer within a millisecond or
	// two; callers write every 2 s, and a dead connection must be left within
	// 7 s.
	silence = 1500 * time.Millisecond
	// secondLook is a further wait before a next hop counts as silent: after a
	// pause of the node itself its deadlines have passed although the answers
	// lie in its sockets, and it would move every caller at once.
	secondLook = 250 * time.Millisecond
	// stall is how long one write may block on a slow reader. Nothing is read
	// from the other side meanwhile, so memory does not grow.
	stall = 5 * time.Second
)

// forward passes the caller's lines on until either side ends. It tells whether
// it was the caller.
func (t *Session) forward(hop *bufconn.Conn) bool {
	for {
		line, err := t.caller.ReadRawLine()
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) || !t.yields()
		}
		// A deadline of its own: the branch's, which is the caller's wait for UP,
		// would fail every line that comes after it.
		_ = hop.SetWriteDeadline(time.Now().Add(stall))
		if _, err := hop.Conn.Write(line); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				// It may go on sending for hours: then the relay sees no end, and what
				// else the caller writes would be dropped without a word.
				t.Migrate()
			}
			return false
		}
		t.sent(hop)
	}
}

// sent notes that a line of the caller's waits for the next hop's answer.
func (t *Session) sent(hop *bufconn.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending.IsZero() && !t.moving && !t.gone {
		t.pending, t.looked = time.Now(), false
		if t.heir == nil {
			_ = hop.SetReadDeadline(t.pending.Add(silence))
		}
	}
}

// heard notes that the next hop has answered.
func (t *Session) heard(hop *bufconn.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.pending.IsZero() && !t.moving && !t.gone && t.heir == nil {
		_ = hop.SetReadDeadline(time.Time{})
	}
	t.pending = time.Time{}
}

// relay passes the next hop's lines on, starting with its UP, until either side
// ends or the caller is to move. Only whole lines are written, so MOVE always
// stands between two.
func (t *Session) relay(a answer) EndReason {
	if a.line != "" {
		if err := t.caller.WriteLine(a.line, time.Now().Add(stall)); err != nil {
			return t.cut(a.hop, EndClientClosed)
		}
		t.Metrics.Fulfilled()
	}
	defer t.begin(a)()
	how := EndUpstreamClosed
	for {
		line, err := a.hop.ReadRawLine()
		if err != nil {
			if t.lookAgain(a.hop, err) {
				continue
			}
			return t.finish(a.hop, how, err)
		}
		switch t.front.Classify(line) {
		case LineLoadReport: // is no answer
		case LineMove:
			how = EndMoved
			line = t.withTicket(line)
		case LineBye:
			how = EndServed
		default:
			t.heard(a.hop)
			if t.Resumption != nil {
				t.Observe(line)
			}
		}
		if _, err := t.caller.W.Write(line); err != nil {
			return t.cut(a.hop, EndClientClosed)
		}
		if !a.hop.HasLine() {
			if err := t.caller.Flush(time.Now().Add(stall)); err != nil {
				return t.cut(a.hop, EndClientClosed)
			}
		}
	}
}

// lookAgain is asked when a read from the next hop has failed. It is true, once, if
// that was because a line has waited for its answer too long.
func (t *Session) lookAgain(hop *bufconn.Conn, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || t.moving || t.gone || t.looked || t.heir != nil {
		return false
	}
	t.looked = true
	_ = hop.SetReadDeadline(time.Now().Add(secondLook))
	return true
}

// finish ends both sides after the next hop's leg could not be read further.
func (t *Session) finish(hop *bufconn.Conn, how EndReason, err error) EndReason {
	t.mu.Lock()
	moving, gone, yields := t.moving, t.gone, t.heir != nil
	t.mu.Unlock()
	switch {
	case gone:
		return t.cut(hop, EndClientClosed)
	case how != EndUpstreamClosed: // its last line has gone on
	case moving:
		return t.leaveHop(hop, EndMoved)
	case yields && errors.Is(err, os.ErrDeadlineExceeded):
		return EndHandedOver
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bufio.ErrBufferFull):
		return t.leaveHop(hop, EndUpstreamSilent)
	case t.rescue():
		_ = hop.Close()
		t.caller.CloseWrite()
		return EndUpstreamClosed
	case errors.Is(err, io.EOF):
	default:
		t.caller.Abort() // reset, as its next hop was
		return t.cut(hop, EndUpstreamClosed)
	}
	_ = hop.Close()
	t.caller.CloseWrite()
	return how
}

// leaveHop moves the caller, and lets the next hop know that nothing more comes. Run reads
// what that one has still on its way.
func (t *Session) leaveHop(hop *bufconn.Conn, how EndReason) EndReason {
	_ = t.caller.WriteLine(t.moveLine(), time.Now().Add(stall))
	t.caller.CloseWrite()
	hop.CloseWrite()
	return how
}

// cut ends the next hop's side at once.
func (t *Session) cut(hop *bufconn.Conn, how EndReason) EndReason {
	_ = hop.Close()
	return how
}
