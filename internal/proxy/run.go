package proxy

// How a caller leg is served to its end, and what its reader does.

import (
	"errors"
	"time"

	"coralrelay/internal/bufconn"
)

const (
	// linger is how long a caller that has its last line may take to end.
	clientLinger = 250 * time.Millisecond
	// hopLinger is that of a next hop whose caller was moved: it has nothing to read first.
	upstreamLinger = 100 * time.Millisecond
)

// Run serves the caller leg to its end: the final answer, and after UP the
// relay. It returns when both legs are closed.
func (s *Session) Run() {
	done := make(chan struct{})
	go func() { // ends with the caller leg, which is closed below
		defer close(done)
		s.readClient()
	}()
	var upstream *bufconn.Conn // after UP
	a, answered := <-s.finalAnswer
	switch {
	case !answered: // the caller has left
	case a.upstream == nil:
		if s.client.WriteLine(a.line, time.Now().Add(writeTimeout)) == nil {
			if a.rejected {
				s.Metrics.Rejected()
			} else {
				s.Metrics.Failed()
			}
		}
		s.client.CloseWrite()
	default:
		upstream = a.upstream
		reason := s.relayToClient(a)
		if reason == EndHandedOver {
			<-done
			if reason = s.offerToSuccessor(a.upstream); reason == EndMigrated {
				done = s.discardClientInput() // beside the write, as its caller may be writing too
				_ = s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout))
				s.client.CloseWrite()
			}
		} else if s.isHandingOver() {
			_ = upstream.Close() // the caller's reader has stopped, or does with this
			<-done
			done = s.discardClientInput()
		}
		if reason == EndHandedOver {
			upstream.Release() // only this process's copy: what comes on it is the other one's to read
			upstream = nil
		}
		s.observer.PlacementEnded(s, reason.outcome())
	}
	// The reader still runs: it drops what the caller writes, so that the
	// close does not reset the connection under the last line.
	s.mu.Lock()
	s.clientClosing = true
	_ = s.client.SetReadDeadline(time.Now().Add(clientLinger))
	s.mu.Unlock()
	if upstream != nil {
		// Closed already, unless its caller was moved: what it has on its way then, half a
		// line perhaps, must not reset it under the caller's last line.
		_ = upstream.SetReadDeadline(time.Now().Add(upstreamLinger))
		upstream.DiscardInput()
		upstream.Release()
	}
	<-done
	s.client.Release()
}

// drop reads and drops what the caller still writes, until its leg's read deadline.
func (s *Session) discardClientInput() (done chan struct{}) {
	done = make(chan struct{})
	_ = s.client.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		s.client.DiscardInput()
	}()
	return done
}

// readCaller notices that the caller leaves and, after UP, passes its lines on.
func (s *Session) readClient() {
	switch err := s.awaitAnswer(); {
	case err == errTooMuchBeforeUp:
		// It breaks the protocol, and behind what it sent its end would not be
		// seen: it gets its answer now, unless it has just got one.
		s.GiveUp()
	case err != nil:
		s.clientLeft()
		return
	}
	s.mu.Lock()
	upstream := s.upstream
	if !s.clientClosing && s.successor == nil {
		_ = s.client.SetReadDeadline(time.Time{})
	}
	s.mu.Unlock()
	if upstream == nil || s.relayToUpstream(upstream) {
		s.clientLeft()
	}
	if s.isHandingOver() {
		// What else it sends is the heir's. Only now may the relay stop: a next hop that
		// is not read any more might not take the line that was on its way to it.
		upstream.InterruptRead()
		return
	}
	// The next hop has ended: the relay sees it too and bounds this read.
	s.client.DiscardInput()
}

// errTooEarly is a caller's that sends more before UP than a buffer holds.
var errTooMuchBeforeUp = errors.New("too much sent before UP")

// await returns when the caller is answered, or with an error if it has left
// before or sent too much. Lines that come too early stay in the buffer. They must
// not hide that their caller leaves, so it looks for more behind them, until Up
// wakes it.
func (s *Session) awaitAnswer() error {
	for s.client.R.Buffered() < bufconn.BufferSize {
		_, err := s.client.R.Peek(s.client.R.Buffered() + 1)
		if s.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errTooMuchBeforeUp
}
