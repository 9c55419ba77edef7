package audit

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// Violation is a kind of broken invariant.
type Violation int

// The kinds of violations.
const (
	ImpossibleTransition Violation = iota // an event came in a state in which it can't happen
	ConcurrentAttempt                     // an attempt began while another one was out
	SentWhileDraining                     // the first line was written too long after a drain was known
	SentByExpiredList                     // the first line was written too long after the list's lease had ended
	SentTooLate                           // the first line was written after the attempt's deadline
	ClosedUnanswered                      // the connection of an unanswered request was closed
	AnsweredTooLate                       // the final answer was written after the client's time was over
	violationCount
)

var violationNames = [violationCount]string{"impossible transition", "second attempt out", "sent while draining",
	"sent by expired list", "sent too late", "closed unanswered", "answered too late"}

// String returns the kind as it stands in log lines.
func (v Violation) String() string { return violationNames[v] }

// violationLogInterval is the least time between two log lines about violations.
const violationLogInterval = time.Second

var (
	violations      [violationCount]atomic.Int64
	nextViolationAt atomic.Int64 // monotonic nanoseconds since processStart; no line before
	processStart    = time.Now()
	handler         atomic.Pointer[func(kind Violation, id string)]
)

// SetViolationHandler has a function called for each violation; nil ends that. It is for tests.
func SetViolationHandler(handle func(kind Violation, id string)) {
	if handle == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&handle)
}

// ReportViolation counts a violation by a session, and logs it with the latest state changes of that session
// unless one was logged within the last second.
func ReportViolation(kind Violation, id string, attributes ...any) {
	violations[kind].Add(1)
	if handle := handler.Load(); handle != nil {
		(*handle)(kind, id)
	}
	now, next := time.Since(processStart).Nanoseconds(), nextViolationAt.Load()
	if now < next || !nextViolationAt.CompareAndSwap(next, now+int64(violationLogInterval)) {
		return
	}
	line := []any{"component", "audit", "kind", kind.String(), "id", id,
		"count", violations[kind].Load(), "history", History(id)}
	slog.Error("invariant violated", append(line, attributes...)...)
}

// ViolationCount returns how many violations of all kinds there were.
func ViolationCount() (count int64) {
	for kind := range violations {
		count += violations[kind].Load()
	}
	return count
}
