package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"coralrelay/balance"
)

var outcomeNames = map[balance.Outcome]string{
	balance.OK:            "ok",
	balance.Errored:       "error",
	balance.AtCapacity:    "at capacity",
	balance.TimedOut:      "timed out",
	balance.ConnectFailed: "connect failed",
	balance.Reset:         "reset",
	balance.Cancelled:     "cancelled",
	balance.NotSent:       "not sent",
}

// trace collects the single debug line of a placement: its attempts, their servers and results, and the
// outcome of the placement. A nil trace does nothing; it means that debug logging was disabled when the
// placement was submitted.
type trace struct {
	startedAt time.Time
	attempts  []string // server, time of the start and result of each attempt
	reason    string   // reason why the placement was given up; empty if it was not
}

// newTrace returns a trace, or nil if debug logging is disabled.
func newTrace() *trace {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return nil
	}
	return &trace{startedAt: time.Now()}
}

// attemptStarted adds an attempt on a server.
func (t *trace) attemptStarted(server string) {
	if t != nil {
		t.attempts = append(t.attempts, fmt.Sprintf("%s at %s", server, t.elapsed()))
	}
}

// attemptStatus adds a status to the latest attempt.
func (t *trace) attemptStatus(status string) {
	if t != nil && len(t.attempts) > 0 {
		last := &t.attempts[len(t.attempts)-1]
		*last += fmt.Sprintf(", %s at %s", status, t.elapsed())
	}
}

// setReason sets the reason why the placement was given up.
func (t *trace) setReason(reason balance.RejectReason) {
	if t != nil {
		t.reason = reason.String()
	}
}

// log writes the debug line with the outcome of the placement.
func (t *trace) log(request *Request, outcome string) {
	if t == nil {
		return
	}
	slog.Debug("placement ended", "component", "dispatch", "id", request.ID, "class", request.Class,
		"group", request.Group, "retry", request.Retry || request.Returned,
		"time_left", time.Until(request.Deadline).Round(time.Millisecond),
		"attempts", t.attempts, "outcome", outcome, "reason", t.reason, "duration", t.elapsed())
}

// elapsed returns the time since the placement was submitted.
func (t *trace) elapsed() string {
	return time.Since(t.startedAt).Round(100 * time.Microsecond).String()
}
