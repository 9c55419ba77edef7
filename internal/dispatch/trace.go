package dispatch

// One debug line for each transaction: its branches, where they went and how it ended.

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"coralrelay/balance"
)

var outcomeNames = map[balance.Outcome]string{balance.OK: "ok", balance.Errored: "error", balance.AtCapacity: "full",
	balance.TimedOut: "timed out", balance.ConnectFailed: "not connected", balance.Reset: "reset",
	balance.Cancelled: "cancelled", balance.NotSent: "not sent"}

// trace is what the line says. A nil one costs nothing: debug lines were off when its
// transaction came.
type trace struct {
	startedAt time.Time
	attempts  []string // next hop, when it was chosen, and how it went
}

// traced returns a trace where debug lines are written.
func newTrace() *trace {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return nil
	}
	return &trace{startedAt: time.Now()}
}

// branch notes that an attempt goes to a next hop.
func (t *trace) attemptStarted(server string) {
	if t != nil {
		t.attempts = append(t.attempts, fmt.Sprintf("%s at %s", server, t.elapsed()))
	}
}

// word notes what has become of the latest attempt.
func (t *trace) attemptStatus(status string) {
	if t != nil && len(t.attempts) > 0 {
		last := &t.attempts[len(t.attempts)-1]
		*last += fmt.Sprintf(", %s at %s", status, t.elapsed())
	}
}

// end writes the line.
func (t *trace) log(request *Request, ending string) {
	if t != nil {
		slog.Debug("transaction", "id", request.ID, "class", request.Class, "group", request.Group, "again", request.Retry || request.Returned,
			"left", time.Until(request.Deadline).Round(time.Millisecond), "branches", t.attempts, "ended", ending, "after", t.elapsed())
	}
}

func (t *trace) elapsed() string {
	return time.Since(t.startedAt).Round(100 * time.Microsecond).String()
}
