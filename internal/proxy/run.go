package proxy

// How a caller leg is served to its end, and what its reader does.

import (
	"errors"
	"time"

	"coralrelay/internal/bufconn"
)

const (
	// linger is how long a caller that has its last line may take to end.
	linger = 250 * time.Millisecond
	// hopLinger is that of a next hop whose caller was moved: it has nothing to read first.
	hopLinger = 100 * time.Millisecond
)

// Run serves the caller leg to its end: the final answer, and after UP the
// relay. It returns when both legs are closed.
func (t *Session) Run() {
	done := make(chan struct{})
	go func() { // ends with the caller leg, which is closed below
		defer close(done)
		t.readCaller()
	}()
	var hop *bufconn.Conn // after UP
	a, answered := <-t.final
	switch {
	case !answered: // the caller has left
	case a.hop == nil:
		if t.caller.WriteLine(a.line, time.Now().Add(stall)) == nil {
			if a.busy {
				t.Metrics.Rejected()
			} else {
				t.Metrics.Failed()
			}
		}
		t.caller.CloseWrite()
	default:
		hop = a.hop
		how := t.relay(a)
		if how == EndHandedOver {
			<-done
			if how = t.pass(a.hop); how == EndMoved {
				done = t.drop() // beside the write, as its caller may be writing too
				_ = t.caller.WriteLine(t.moveLine(), time.Now().Add(stall))
				t.caller.CloseWrite()
			}
		} else if t.yields() {
			_ = hop.Close() // the caller's reader has stopped, or does with this
			<-done
			done = t.drop()
		}
		if how == EndHandedOver {
			hop.Release() // only this process's copy: what comes on it is the other one's to read
			hop = nil
		}
		t.watch.PlacementEnded(t, how.outcome())
	}
	// The reader still runs: it drops what the caller writes, so that the
	// close does not reset the connection under the last line.
	t.mu.Lock()
	t.closing = true
	_ = t.caller.SetReadDeadline(time.Now().Add(linger))
	t.mu.Unlock()
	if hop != nil {
		// Closed already, unless its caller was moved: what it has on its way then, half a
		// line perhaps, must not reset it under the caller's last line.
		_ = hop.SetReadDeadline(time.Now().Add(hopLinger))
		hop.DiscardInput()
		hop.Release()
	}
	<-done
	t.caller.Release()
}

// drop reads and drops what the caller still writes, until its leg's read deadline.
func (t *Session) drop() (done chan struct{}) {
	done = make(chan struct{})
	_ = t.caller.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		t.caller.DiscardInput()
	}()
	return done
}

// readCaller notices that the caller leaves and, after UP, passes its lines on.
func (t *Session) readCaller() {
	switch err := t.await(); {
	case err == errTooEarly:
		// It breaks the protocol, and behind what it sent its end would not be
		// seen: it gets its answer now, unless it has just got one.
		t.GiveUp()
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
		hop.InterruptRead()
		return
	}
	// The next hop has ended: the relay sees it too and bounds this read.
	t.caller.DiscardInput()
}

// errTooEarly is a caller's that sends more before UP than a buffer holds.
var errTooEarly = errors.New("too much sent before UP")

// await returns when the caller is answered, or with an error if it has left
// before or sent too much. Lines that come too early stay in the buffer. They must
// not hide that their caller leaves, so it looks for more behind them, until Up
// wakes it.
func (t *Session) await() error {
	for t.caller.R.Buffered() < bufconn.BufferSize {
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
