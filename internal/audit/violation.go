package audit

import (
	"log/slog"
	"sync/atomic"
	"time"
)

// Violation is a kind of violated invariant.
type Violation int

// The kinds of violations.
const (
	ImpossibleTransition Violation = iota // an event occurred in a state in which it is impossible
	ConcurrentAttempt                     // an attempt began while another one was in progress
	SentWhileDraining                     // the first line was written too long after a drain became known
	SentByExpiredList                     // the first line was written too long after the list's lease ended
	SentTooLate                           // the first line was written too long after the attempt's deadline
	ClosedUnanswered                      // a connection with an unanswered request was closed
	AnsweredTooLate                       // the final answer was written too long after its deadline
	violationCount
)

var violationNames = [violationCount]string{"impossible transition", "second attempt out", "sent while draining",
	"sent by expired list", "sent too late", "closed unanswered", "answered too late"}

// String returns the name of the kind in log lines.
func (v Violation) String() string { return violationNames[v] }

// violationLogInterval is the minimum time between two log lines about violations.
const violationLogInterval = time.Second

var (
	violations         [violationCount]atomic.Int64
	nextViolationLogAt atomic.Int64 // in monotonic nanoseconds since processStart; no log line before
	processStart       = time.Now()
	handler            atomic.Pointer[func(kind Violation, id string)]
)

// SetViolationHandler registers a function that is called for each violation; nil removes it. It is for use
// in tests.
func SetViolationHandler(handle func(kind Violation, id string)) {
	if handle == nil {
		handler.Store(nil)
		return
	}
	handler.Store(&handle)
}

// ReportViolation counts a violation by a session. It logs the violation with the latest state changes of
// the session, unless a violation was logged within violationLogInterval (one second).
func ReportViolation(kind Violation, id string, attributes ...any) {
	violations[kind].Add(1)
	if handle := handler.Load(); handle != nil {
		(*handle)(kind, id)
	}
	now, next := time.Since(processStart).Nanoseconds(), nextViolationLogAt.Load()
	if now < next || !nextViolationLogAt.CompareAndSwap(next, now+int64(violationLogInterval)) {
		return
	}
	line := []any{"component", "audit", "kind", kind.String(), "id", id,
		"count", violations[kind].Load(), "history", History(id)}
	slog.Error("invariant violated", append(line, attributes...)...)
}

// ViolationCount returns the total number of violations of all kinds.
func ViolationCount() (count int64) {
	for kind := range violations {
		count += violations[kind].Load()
	}
	return count
}
