package proxy

import (
	"time"

	"coralrelay/internal/audit"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/mutation"
)

const (
	// clientLinger is how long a client may take to close its connection after its last line.
	clientLinger = 250 * time.Millisecond
	// upstreamLinger is how long an upstream whose client was migrated may take to close its
	// connection. It is shorter, as an upstream does not have to read anything first.
	upstreamLinger = 100 * time.Millisecond
)

// Run serves the session to its end: the final answer and, after UP, the relay. It returns
// when both connections are closed.
func (s *Session) Run() {
	readerEnded := make(chan struct{})
	go func() { // ends with the client's connection, which is closed below
		defer close(readerEnded)
		s.readClient()
	}()
	var readerDone <-chan struct{} = readerEnded
	var upstream *bufconn.Conn // set after UP, if it is still to be closed
	final, answered := <-s.finalAnswer
	switch {
	case !answered: // the client has disconnected, or closed only its sending side and still reads
		audit.Count(audit.CloseClientLeft)
		_ = s.client.WriteLine(s.codec.Failed(), time.Now().Add(writeTimeout))
	case final.upstream == nil:
		s.writeFinalAnswer(final)
	default:
		upstream, readerDone = s.runEstablished(final, readerDone)
	}
	s.closeBoth(upstream, readerDone)
}

// writeFinalAnswer writes a final answer other than UP and counts it.
func (s *Session) writeFinalAnswer(final answer) {
	s.auditAnswer(time.Now())
	reason := audit.CloseFailed
	if final.rejected {
		reason = audit.CloseRejected
	}
	audit.Count(reason)
	if mutation.Enabled("second_answer") {
		_ = s.client.WriteLine(final.line, time.Now().Add(writeTimeout))
	}
	if s.client.WriteLine(final.line, time.Now().Add(writeTimeout)) == nil {
		if final.rejected {
			s.Metrics.Rejected()
		} else {
			s.Metrics.Failed()
		}
	}
	s.client.CloseWrite()
}

// runEstablished relays until the session ends or is handed over, and notifies the observer. It
// returns the upstream's connection if that is still to be closed, and a channel that is closed
// when nothing reads from the client any more.
func (s *Session) runEstablished(up answer, readerDone <-chan struct{}) (*bufconn.Conn, <-chan struct{}) {
	upstream := up.upstream
	reason := s.relayToClient(up)
	if reason == EndHandedOver {
		<-readerDone
		reason = s.offerToSuccessor(upstream)
		if reason == EndMigrated {
			readerDone = s.discardClientInput() // during the write, as the client may be writing too
			_ = s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout))
			s.client.CloseWrite()
		}
	} else if s.isHandingOver() {
		_ = upstream.Close() // the client's reader has stopped, or stops because of this
		<-readerDone
		readerDone = s.discardClientInput()
	}
	if reason == EndHandedOver {
		upstream.Release() // closes only this process's copy: the successor reads what arrives
		upstream = nil
	}
	audit.Count(closeReasons[reason])
	s.observer.PlacementEnded(s, reason.outcome())
	return upstream, readerDone
}

// closeBoth closes both connections once the peers have had time to read the last lines. Whatever
// reads from the client continues meanwhile and discards its input, so that the close does not
// reset the connection before the client has read its last line.
func (s *Session) closeBoth(upstream *bufconn.Conn, readerDone <-chan struct{}) {
	s.mu.Lock()
	s.apply(lifecycle.CloseBegun)
	_ = s.client.SetReadDeadline(time.Now().Add(clientLinger))
	s.mu.Unlock()
	if upstream != nil {
		// The connection is closed already, unless the client was migrated. The upstream may then
		// be sending a partial line, which must not reset the connection before the upstream has
		// read the client's last line.
		_ = upstream.SetReadDeadline(time.Now().Add(upstreamLinger))
		upstream.DiscardInput()
		upstream.Release()
	}
	<-readerDone
	s.client.Release()
	s.lockAndApply(lifecycle.CloseEnded)
}

// discardClientInput discards the client's further input until the read deadline that closeBoth
// sets. The returned channel is closed afterwards.
func (s *Session) discardClientInput() <-chan struct{} {
	done := make(chan struct{})
	_ = s.client.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		s.client.DiscardInput()
	}()
	return done
}
