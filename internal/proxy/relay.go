package proxy

import (
	"bufio"
	"errors"
	"io"
	"os"
	"time"

	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/mutation"
	"coralrelay/internal/neterr"
)

const (
	// answerTimeout is how long an upstream may leave a client's line unanswered before the client
	// is migrated. Healthy upstreams answer within a millisecond or two; clients write every 2 s,
	// and must be migrated from a dead connection within 7 s.
	answerTimeout = 1500 * time.Millisecond
	// answerGracePeriod is a further wait before an upstream counts as silent. After a pause of
	// this process its read deadlines have passed although the answers wait in the sockets, and it
	// would otherwise migrate all clients at once.
	answerGracePeriod = 250 * time.Millisecond
	// writeTimeout is how long one write may block on a slow reader. Nothing is read from the other
	// side meanwhile, so memory use does not grow.
	writeTimeout = 5 * time.Second
)

// startAnswerTimeout records that a line of the client waits for the upstream's answer.
func (s *Session) startAnswerTimeout(upstream *bufconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.machine.State()
	if s.pendingSince.IsZero() && !state.IsMigrating() && state != lifecycle.ClientGone {
		s.pendingSince, s.graceUsed = time.Now(), false
		if state == lifecycle.Established {
			_ = upstream.SetReadDeadline(s.pendingSince.Add(answerTimeout))
		}
	}
}

// stopAnswerTimeout records that the upstream has answered.
func (s *Session) stopAnswerTimeout(upstream *bufconn.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.pendingSince.IsZero() && s.machine.State() == lifecycle.Established {
		_ = upstream.SetReadDeadline(time.Time{})
	}
	s.pendingSince = time.Time{}
}

// grantGracePeriod is called when a read from the upstream has failed with err. It extends the read
// deadline and returns true, once for each pending line, if the read failed because that line has
// waited for its answer for too long.
func (s *Session) grantGracePeriod(upstream *bufconn.Conn, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !errors.Is(err, os.ErrDeadlineExceeded) || s.graceUsed || s.machine.State() != lifecycle.Established {
		return false
	}
	s.graceUsed = true
	_ = upstream.SetReadDeadline(time.Now().Add(answerGracePeriod))
	return true
}

// relayToClient relays the upstream's lines, starting with its UP, until either side ends, the
// client is to be migrated or the session is to be handed over. It writes only complete lines, so
// that MOVE always stands between two lines.
func (s *Session) relayToClient(up answer) EndReason {
	if up.line != "" {
		s.auditAnswer(time.Now())
		if err := s.client.WriteLine(up.line, time.Now().Add(writeTimeout)); err != nil {
			return s.closeUpstream(up.upstream, EndClientClosed)
		}
		s.Metrics.Fulfilled()
	}
	defer s.startStream(up)()
	reason := EndUpstreamClosed
	for {
		line, err := up.upstream.ReadRawLine()
		if err != nil {
			if s.grantGracePeriod(up.upstream, err) {
				continue
			}
			return s.finishRelay(up.upstream, reason, err)
		}
		switch s.codec.Classify(line) {
		case LineLoadReport: // answers no line of the client
		case LineMove:
			reason = EndMigrated
			line = s.withToken(line)
		case LineBye:
			reason = EndServed
		default:
			s.stopAnswerTimeout(up.upstream)
			if s.Resumption != nil {
				s.Observe(line)
			}
		}
		if err := s.client.AppendLine(line, time.Now().Add(writeTimeout)); err != nil {
			return s.closeUpstream(up.upstream, EndClientClosed)
		}
		if !up.upstream.HasLine() {
			if err := s.client.Flush(time.Now().Add(writeTimeout)); err != nil {
				return s.closeUpstream(up.upstream, EndClientClosed)
			}
		}
	}
}

// finishRelay ends both sides after a read from the upstream has failed with err. reason is the end
// reason according to the upstream's last line.
func (s *Session) finishRelay(upstream *bufconn.Conn, reason EndReason, err error) EndReason {
	state, handingOver := s.state(), s.isHandingOver()
	switch {
	case state == lifecycle.ClientGone:
		return s.closeUpstream(upstream, EndClientClosed)
	case reason != EndUpstreamClosed: // the upstream's MOVE or BYE was relayed
	case state.IsMigrating():
		return s.migrateClient(upstream, EndMigrated)
	case handingOver && errors.Is(err, os.ErrDeadlineExceeded):
		return EndHandedOver
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bufio.ErrBufferFull),
		neterr.IsBrokenPath(err):
		return s.migrateClient(upstream, EndUpstreamSilent)
	case s.migrateWithToken(), errors.Is(err, io.EOF):
	default:
		s.client.Abort() // resets the client's connection like the upstream's
		return s.closeUpstream(upstream, EndUpstreamClosed)
	}
	_ = upstream.Close()
	s.client.CloseWrite()
	return reason
}

// migrateClient sends MOVE to the client and closes the sending side of the upstream's connection.
// Run reads and discards what the upstream still sends.
func (s *Session) migrateClient(upstream *bufconn.Conn, reason EndReason) EndReason {
	if !mutation.Enabled("move") {
		_ = s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout))
	}
	s.client.CloseWrite()
	upstream.CloseWrite()
	return reason
}

// closeUpstream closes the upstream's connection immediately and returns reason.
func (s *Session) closeUpstream(upstream *bufconn.Conn, reason EndReason) EndReason {
	_ = upstream.Close()
	return reason
}
