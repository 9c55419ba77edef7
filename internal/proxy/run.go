package proxy

import (
	"time"

	"coralrelay/internal/audit"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/mutation"
)

const (
	// clientLinger is how long a client may take to close after its last line.
	clientLinger = 250 * time.Millisecond
	// upstreamLinger is the same for an upstream whose client was migrated. It is shorter,
	// as an upstream has nothing to read first.
	upstreamLinger = 100 * time.Millisecond
)

// Run serves the session to its end: the final answer and, after UP, the relay. It returns
// when both connections are closed.
func (s *Session) Run() {
	started := make(chan struct{})
	go func() { // ends with the client's connection, which is closed below
		defer close(started)
		s.readClient()
	}()
	var readerDone <-chan struct{} = started
	var upstream *bufconn.Conn // to be closed, after UP
	final, answered := <-s.finalAnswer
	switch {
	case !answered: // the client has left; if it only closed its sending half, it still reads
		audit.Count(audit.CloseClientLeft)
		_ = s.client.WriteLine(s.codec.Failed(), time.Now().Add(writeTimeout))
	case final.upstream == nil:
		s.writeFinalAnswer(final)
	default:
		upstream, readerDone = s.runEstablished(final, readerDone)
	}
	s.closeBoth(upstream, readerDone)
}

// writeFinalAnswer writes an answer other than UP and counts it.
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

// runEstablished relays until the session ends, or hands it over, and notifies the
// observer. It returns the upstream's connection as far as it is still to be closed, and a
// channel that is closed when nothing reads from the client any more.
func (s *Session) runEstablished(up answer, readerDone <-chan struct{}) (*bufconn.Conn, <-chan struct{}) {
	upstream := up.upstream
	reason := s.relayToClient(up)
	if reason == EndHandedOver {
		<-readerDone
		reason = s.offerToSuccessor(upstream)
		if reason == EndMigrated {
			readerDone = s.discardClientInput() // beside the write, as the client may be writing too
			_ = s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout))
			s.client.CloseWrite()
		}
	} else if s.isHandingOver() {
		_ = upstream.Close() // the client's reader has stopped, or stops with this
		<-readerDone
		readerDone = s.discardClientInput()
	}
	if reason == EndHandedOver {
		upstream.Release() // only this process's copy: what arrives is the successor's to read
		upstream = nil
	}
	audit.Count(closeReasons[reason])
	s.observer.PlacementEnded(s, reason.outcome())
	return upstream, readerDone
}

// closeBoth closes both connections after what was written last could be read. Whatever
// reads from the client goes on meanwhile and discards its input, so that the close does
// not reset the connection before the client has read its last line.
func (s *Session) closeBoth(upstream *bufconn.Conn, readerDone <-chan struct{}) {
	s.mu.Lock()
	s.apply(lifecycle.CloseBegun)
	_ = s.client.SetReadDeadline(time.Now().Add(clientLinger))
	s.mu.Unlock()
	if upstream != nil {
		// It is closed already, unless the client was migrated. Then it may have half a line
		// on its way, which must not reset it before it has read the client's last line.
		_ = upstream.SetReadDeadline(time.Now().Add(upstreamLinger))
		upstream.DiscardInput()
		upstream.Release()
	}
	<-readerDone
	s.client.Release()
	s.applyNow(lifecycle.CloseEnded)
}

// discardClientInput discards what the client still sends, until the read deadline that
// closeBoth sets. The returned channel is closed then.
func (s *Session) discardClientInput() <-chan struct{} {
	done := make(chan struct{})
	_ = s.client.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		s.client.DiscardInput()
	}()
	return done
}
