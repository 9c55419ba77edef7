package proxy

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"coralrelay/internal/audit"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/lifecycle"
	"coralrelay/internal/mutation"
)

// lateAnswerAllowance is how long after a request's deadline its final answer is not yet a
// violation: the margin that was subtracted from the client's timeout, plus half a second in which
// a late answer is merely worthless.
const lateAnswerAllowance = 525 * time.Millisecond

// auditAnswer checks, immediately before the final answer is written, that it is not too late. It
// skips a request without a deadline, such as that of an inherited session, which another process
// has answered, and a request that was read only after its deadline, which is answered all the
// same.
func (s *Session) auditAnswer(now time.Time) {
	if s.Deadline.IsZero() || !s.readAt.Before(s.Deadline) {
		return
	}
	if late := now.Sub(s.Deadline); late > lateAnswerAllowance {
		audit.ReportViolation(audit.AnsweredTooLate, s.ID, "late", late)
	}
}

// AuditClose checks, immediately before the client's connection is closed by force, that its
// request has been answered.
func (s *Session) AuditClose() {
	s.mu.Lock()
	refusal := s.machine.MayClose()
	s.mu.Unlock()
	if refusal != lifecycle.None {
		audit.ReportViolation(audit.ClosedUnanswered, s.ID)
	}
}

// apply applies an event to the session's state machine and records the change. The caller must
// hold s.mu.
func (s *Session) apply(event lifecycle.Event) {
	from := s.machine.State()
	changed, ok := s.machine.Apply(event)
	if !ok {
		audit.ReportViolation(audit.ImpossibleTransition, s.ID, "event", event.String(), "state", from.String())
	}
	if changed {
		audit.StateChanged(s.ID, event, from, s.machine.State())
	}
}

// lockAndApply calls apply with s.mu held.
func (s *Session) lockAndApply(event lifecycle.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(event)
}

// state returns the current state of the session's state machine.
func (s *Session) state() lifecycle.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.State()
}

// StartAttempt reports that an attempt is about to start. It is refused if another attempt is in
// progress or no attempt is needed any more. EndAttempt must be called only for an attempt that was
// not refused.
func (s *Session) StartAttempt() lifecycle.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := s.machine.MayStartAttempt()
	switch refusal {
	case lifecycle.None:
		s.apply(lifecycle.AttemptStarted)
	case lifecycle.AttemptInProgress:
		audit.ReportViolation(audit.ConcurrentAttempt, s.ID)
	}
	return refusal
}

// EndAttempt reports that the attempt in progress has ended without UP and that its socket is
// closed.
func (s *Session) EndAttempt() { s.lockAndApply(lifecycle.AttemptEnded) }

// MaySend returns lifecycle.None if an attempt may be sent, and otherwise the reason why not. It
// must be called immediately before the first byte of the attempt is written, with the current time.
func (s *Session) MaySend(now time.Time, attempt lifecycle.Attempt) lifecycle.Refusal {
	attempt.ClientHasLeft = s.ClientHasLeft()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.MayAttempt(now, attempt)
}

// ClientHasLeft reports whether the client has closed its connection or the connection is broken,
// according to its socket. Input that the client has sent before may still be unread.
func (s *Session) ClientHasLeft() bool {
	return !mutation.Enabled("client_left") && hasLeft(s.client.Conn)
}

// hasLeft reports whether the peer has closed the connection or the connection is broken. It reads
// nothing.
func hasLeft(conn net.Conn) (left bool) {
	const disconnected = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	err := bufconn.WithDescriptor(conn, func(fd int) error {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, pollErr := unix.Poll(polled, 0)
		left = pollErr == nil && count > 0 && polled[0].Revents&disconnected != 0
		return nil // a failed poll gives no information
	})
	if errors.Is(err, bufconn.ErrNoDescriptor) {
		return false // only in tests: the connection has no descriptor
	}
	return left || err != nil // WithDescriptor fails if the connection is closed
}
