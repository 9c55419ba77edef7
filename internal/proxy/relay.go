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
	answerTimeout = 1500 * time.Millisecond
	// secondLook is a further wait before a next hop counts as silent: after a
	// pause of the node itself its deadlines have passed although the answers
	// lie in its sockets, and it would move every caller at once.
	answerGracePeriod = 250 * time.Millisecond
	// stall is how long one write may block on a slow reader. Nothing is read
	// from the other side meanwhile, so memory does not grow.
	writeTimeout = 5 * time.Second
)

// forward passes the caller's lines on until either side ends. It tells whether
// it was the caller.
func (s *Session) relayToUpstream(upstream *bufconn.Conn) bool {
	for {
		line, err := s.client.ReadRawLine()
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) || !s.isHandingOver()
		}
		// A deadline of its own: the branch's, which is the caller's wait for UP,
		// would fail every line that comes after it.
		_ = upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := upstream.Conn.Write(line); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				// It may go on sending for hours: then the relay sees no end, and what
				// else the caller writes would be dropped without a word.
				s.Migrate()
			}
			return false
		}
		s.startAnswerTimeout(upstream)
	}
}

// sent notes that a line of the caller's waits for the next hop's answer.
func (s *Session) startAnswerTimeout(upstream *bufconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pendingSince.IsZero() && !s.migrating && !s.clientGone {
		s.pendingSince, s.graceUsed = time.Now(), false
		if s.successor == nil {
			_ = upstream.SetReadDeadline(s.pendingSince.Add(answerTimeout))
		}
	}
}

// heard notes that the next hop has answered.
func (s *Session) stopAnswerTimeout(upstream *bufconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pendingSince.IsZero() && !s.migrating && !s.clientGone && s.successor == nil {
		_ = upstream.SetReadDeadline(time.Time{})
	}
	s.pendingSince = time.Time{}
}

// relay passes the next hop's lines on, starting with its UP, until either side
// ends or the caller is to move. Only whole lines are written, so MOVE always
// stands between two.
func (s *Session) relayToClient(a answer) EndReason {
	if a.line != "" {
		if err := s.client.WriteLine(a.line, time.Now().Add(writeTimeout)); err != nil {
			return s.closeUpstream(a.upstream, EndClientClosed)
		}
		s.Metrics.Fulfilled()
	}
	defer s.startStream(a)()
	reason := EndUpstreamClosed
	for {
		line, err := a.upstream.ReadRawLine()
		if err != nil {
			if s.grantGracePeriod(a.upstream, err) {
				continue
			}
			return s.finishRelay(a.upstream, reason, err)
		}
		switch s.codec.Classify(line) {
		case LineLoadReport: // is no answer
		case LineMove:
			reason = EndMigrated
			line = s.withToken(line)
		case LineBye:
			reason = EndServed
		default:
			s.stopAnswerTimeout(a.upstream)
			if s.Resumption != nil {
				s.Observe(line)
			}
		}
		if _, err := s.client.W.Write(line); err != nil {
			return s.closeUpstream(a.upstream, EndClientClosed)
		}
		if !a.upstream.HasLine() {
			if err := s.client.Flush(time.Now().Add(writeTimeout)); err != nil {
				return s.closeUpstream(a.upstream, EndClientClosed)
			}
		}
	}
}

// lookAgain is asked when a read from the next hop has failed. It is true, once, if
// that was because a line has waited for its answer too long.
func (s *Session) grantGracePeriod(upstream *bufconn.Conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.migrating || s.clientGone || s.graceUsed || s.successor != nil {
		return false
	}
	s.graceUsed = true
	_ = upstream.SetReadDeadline(time.Now().Add(answerGracePeriod))
	return true
}

// finish ends both sides after the next hop's leg could not be read further.
func (s *Session) finishRelay(upstream *bufconn.Conn, reason EndReason, err error) EndReason {
	s.mu.Lock()
	migrating, clientGone, handingOver := s.migrating, s.clientGone, s.successor != nil
	s.mu.Unlock()
	switch {
	case clientGone:
		return s.closeUpstream(upstream, EndClientClosed)
	case reason != EndUpstreamClosed: // its last line has gone on
	case migrating:
		return s.migrateFromUpstream(upstream, EndMigrated)
	case handingOver && errors.Is(err, os.ErrDeadlineExceeded):
		return EndHandedOver
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bufio.ErrBufferFull):
		return s.migrateFromUpstream(upstream, EndUpstreamSilent)
	case s.migrateWithToken():
		_ = upstream.Close()
		s.client.CloseWrite()
		return EndUpstreamClosed
	case errors.Is(err, io.EOF):
	default:
		s.client.Abort() // reset, as its next hop was
		return s.closeUpstream(upstream, EndUpstreamClosed)
	}
	_ = upstream.Close()
	s.client.CloseWrite()
	return reason
}

// leaveHop moves the caller, and lets the next hop know that nothing more comes. Run reads
// what that one has still on its way.
func (s *Session) migrateFromUpstream(upstream *bufconn.Conn, reason EndReason) EndReason {
	_ = s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout))
	s.client.CloseWrite()
	upstream.CloseWrite()
	return reason
}

// cut ends the next hop's side at once.
func (s *Session) closeUpstream(upstream *bufconn.Conn, reason EndReason) EndReason {
	_ = upstream.Close()
	return reason
}
