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

// lateAnswerAllowance is how long after a request's deadline its answer still counts as one: the margin
// that was kept back from the client's time, and half a second in which an answer only earns nothing.
const lateAnswerAllowance = 525 * time.Millisecond

// auditAnswer checks, right before the final answer is written, that it still is one. A request without
// a deadline, as of an inherited session, has been answered elsewhere; one that could only be read when its
// time was over is answered all the same.
func (s *Session) auditAnswer(now time.Time) {
	if s.Deadline.IsZero() || !s.readAt.Before(s.Deadline) {
		return
	}
	if late := now.Sub(s.Deadline); late > lateAnswerAllowance {
		audit.ReportViolation(audit.AnsweredTooLate, s.ID, "late", late)
	}
}

// AuditClose checks, right before the client's connection is closed by force, that its request has been
// answered.
func (s *Session) AuditClose() {
	s.mu.Lock()
	refusal := s.life.MayClose()
	s.mu.Unlock()
	if refusal != lifecycle.None {
		audit.ReportViolation(audit.ClosedUnanswered, s.ID)
	}
}

// apply applies an event to the session's life and records the change. The lock is held.
func (s *Session) apply(event lifecycle.Event) {
	from := s.life.State()
	changed, ok := s.life.Apply(event)
	if !ok {
		audit.ReportViolation(audit.ImpossibleTransition, s.ID, "event", event.String(), "state", from.String())
	}
	if changed {
		audit.StateChanged(s.ID, event, from, s.life.State())
	}
}

// applyNow is apply for a caller without the lock.
func (s *Session) applyNow(event lifecycle.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(event)
}

// state is where the session stands.
func (s *Session) state() lifecycle.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.State()
}

// StartAttempt reports that an attempt is to go out. It is refused if another one is out, or none is
// needed any more; only the attempt that was not refused is ended by EndAttempt.
func (s *Session) StartAttempt() lifecycle.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	refusal := s.life.MayStartAttempt()
	switch refusal {
	case lifecycle.None:
		s.apply(lifecycle.AttemptStarted)
	case lifecycle.AttemptInProgress:
		audit.ReportViolation(audit.ConcurrentAttempt, s.ID)
	}
	return refusal
}

// EndAttempt reports that the attempt that was out has ended without UP, and that its socket is closed.
func (s *Session) EndAttempt() { s.applyNow(lifecycle.AttemptEnded) }

// MaySend is asked right before the first byte of an attempt is written, with the time as it is then.
func (s *Session) MaySend(now time.Time, attempt lifecycle.Attempt) lifecycle.Refusal {
	attempt.ClientHasLeft = s.ClientHasLeft()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life.MayAttempt(now, attempt)
}

// ClientHasLeft reports whether the client has closed its connection, or broken it, as its socket says
// now: what the client has sent before need not have been read.
func (s *Session) ClientHasLeft() bool {
	return !mutation.Enabled("client_left") && hasLeft(s.client.Conn)
}

// hasLeft reports whether the other side of a connection has closed it or broken it. It reads nothing.
func hasLeft(conn net.Conn) (left bool) {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	err := bufconn.WithDescriptor(conn, func(fd int) error {
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		count, pollErr := unix.Poll(polled, 0)
		left = pollErr == nil && count > 0 && polled[0].Revents&ended != 0
		return nil // a poll that fails says nothing
	})
	if errors.Is(err, bufconn.ErrNoDescriptor) {
		return false // a test's
	}
	return left || err != nil // the connection is closed
}
