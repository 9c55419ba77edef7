package exchange

import (
	"context"
	"errors"
	"io"
	"os"
	"time"

	"coralrelay/internal/leg"
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
	// linger is how long a caller that has its last line may take to end.
	linger = 250 * time.Millisecond
)

// Run serves the caller leg to its end: the final answer, and after UP the
// relay. It returns when both legs are closed.
func (t *Transaction) Run() {
	done := make(chan struct{})
	go func() { // ends with the caller leg, which is closed below
		defer close(done)
		t.readCaller()
	}()
	a, answered := <-t.final
	switch {
	case !answered: // the caller has left
	case a.hop == nil:
		if t.caller.WriteText(a.line, time.Now().Add(stall)) == nil {
			if a.busy {
				t.Figures.Throttled()
			} else {
				t.Figures.Faulted()
			}
		}
		t.caller.FinishWrites()
	default:
		how := t.relay(a)
		if how == HandedOver {
			<-done
			if how = t.pass(a.hop); how == Moved {
				done = t.drop() // beside the write, as its caller may be writing too
				_ = t.caller.WriteText(t.moveLine(), time.Now().Add(stall))
				t.caller.FinishWrites()
			}
		}
		a.hop.Release()
		t.watch.Ended(t, how.outcome())
	}
	// The reader still runs: it drops what the caller writes, so that the
	// close does not reset the connection under the last line.
	t.mu.Lock()
	t.closing = true
	_ = t.caller.SetReadDeadline(time.Now().Add(linger))
	t.mu.Unlock()
	<-done
	t.caller.Release()
}

// drop reads and drops what the caller still writes, until its leg's read deadline.
func (t *Transaction) drop() (done chan struct{}) {
	done = make(chan struct{})
	_ = t.caller.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		t.caller.Drain()
	}()
	return done
}

// readCaller notices that the caller leaves and, after UP, passes its lines on.
func (t *Transaction) readCaller() {
	switch err := t.await(); {
	case err == errTooEarly:
		// It breaks the protocol, and behind what it sent its end would not be
		// seen: it gets its answer now, unless it has just got one.
		if t.Fail() {
			t.watch.CallerGone(t)
		}
	case err != nil:
		t.leave()
		return
	}
	t.mu.Lock()
	hop := t.hop
	if !t.closing && t.heir == nil {
		_ = t.caller.SetReadDeadline(time.Time{})
	}
	t.mu.Unlock()
	if hop == nil || t.forward(hop) {
		t.leave()
	}
	if t.yields() {
		// What else it sends is the heir's. Only now may the relay stop: a next hop that
		// is not read any more might not take the line that was on its way to it.
		hop.Wake()
		return
	}
	// The next hop has ended: the relay sees it too and bounds this read.
	t.caller.Drain()
}

// errTooEarly is a caller's that sends more before UP than a buffer holds.
var errTooEarly = errors.New("too much sent before UP")

// await returns when the caller is answered, or with an error if it has left
// before or sent too much. Lines that come too early stay in the buffer. They must
// not hide that their caller leaves, so it looks for more behind them, until Up
// wakes it.
func (t *Transaction) await() error {
	for t.caller.R.Buffered() < leg.Size {
		_, err := t.caller.R.Peek(t.caller.R.Buffered() + 1)
		if t.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errTooEarly
}

// forward passes the caller's lines on until either side ends. It tells whether
// it was the caller.
func (t *Transaction) forward(hop *leg.Leg) bool {
	for {
		line, err := t.caller.ReadRaw()
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
				t.Move()
			}
			return false
		}
		t.sent(hop)
	}
}

// sent notes that a line of the caller's waits for the next hop's answer.
func (t *Transaction) sent(hop *leg.Leg) {
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
func (t *Transaction) heard(hop *leg.Leg) {
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
func (t *Transaction) relay(a answer) End {
	if a.line != "" {
		if err := t.caller.WriteText(a.line, time.Now().Add(stall)); err != nil {
			return t.cut(a.hop, CallerLeft)
		}
		t.Figures.Fulfilled()
	}
	defer t.begin(a)()
	how := Broken
	for {
		line, err := a.hop.ReadRaw()
		if err != nil {
			if t.lookAgain(a.hop, err) {
				continue
			}
			return t.finish(a.hop, how, err)
		}
		switch t.front.Notice(line) {
		case NoticeLoad: // is no answer
		case NoticeMove:
			how = Moved
			line = t.withTicket(line)
		case NoticeBye:
			how = Served
		default:
			t.heard(a.hop)
			if t.Continuity != nil {
				t.Passed(line)
			}
		}
		if _, err := t.caller.W.Write(line); err != nil {
			return t.cut(a.hop, CallerLeft)
		}
		if !a.hop.HasLine() {
			if err := t.caller.Flush(time.Now().Add(stall)); err != nil {
				return t.cut(a.hop, CallerLeft)
			}
		}
	}
}

// lookAgain is asked when a read from the next hop has failed. It is true, once, if
// that was because a line has waited for its answer too long.
func (t *Transaction) lookAgain(hop *leg.Leg, err error) bool {
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
func (t *Transaction) finish(hop *leg.Leg, how End, err error) End {
	t.mu.Lock()
	moving, gone, yields := t.moving, t.gone, t.heir != nil
	t.mu.Unlock()
	switch {
	case gone:
		return t.cut(hop, CallerLeft)
	case how != Broken: // its last line has gone on
	case yields && errors.Is(err, os.ErrDeadlineExceeded):
		return HandedOver
	case moving:
		how = Moved
	case errors.Is(err, os.ErrDeadlineExceeded):
		how = Silent
	case t.rescue():
		_ = hop.Close()
		t.caller.FinishWrites()
		return Broken
	case errors.Is(err, io.EOF):
	default:
		t.caller.Abort() // reset, as its next hop was
		return t.cut(hop, Broken)
	}
	_ = hop.Close()
	if how == Silent || moving && how == Moved {
		_ = t.caller.WriteText(t.moveLine(), time.Now().Add(stall))
	}
	t.caller.FinishWrites()
	return how
}

// begin starts the stream of a caller that can go on where it was: beside the
// relay, as a token's arbiter may take its time and UP is not held back for it.
// The function returned waits until nothing writes to the next hop any more.
func (t *Transaction) begin(a answer) (end func()) {
	if t.Continuity == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if text := t.Begin(ctx, a.line); text != "" && ctx.Err() == nil {
			_ = a.hop.SetWriteDeadline(time.Now().Add(stall))
			_, _ = a.hop.Conn.Write([]byte(text + "\r\n")) // if it fails, the relay sees the end too
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// moveLine words the move, with the ticket if there is one.
func (t *Transaction) moveLine() string {
	text := t.front.Move()
	if t.Continuity != nil {
		if ticket := t.Ticket(); ticket != "" {
			text += " " + ticket
		}
	}
	return text
}

// withTicket gives the next hop's own move line the ticket.
func (t *Transaction) withTicket(line []byte) []byte {
	if t.Continuity == nil {
		return line
	}
	return []byte(t.moveLine() + "\r\n")
}

// rescue moves a caller whose next hop broke off, if it can go on where it was.
func (t *Transaction) rescue() bool {
	return t.Continuity != nil && t.Ticket() != "" && t.caller.WriteText(t.moveLine(), time.Now().Add(stall)) == nil
}

// cut ends the next hop's side at once.
func (t *Transaction) cut(hop *leg.Leg, how End) End {
	_ = hop.Close()
	return how
}
