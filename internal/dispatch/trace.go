package dispatch

// One debug line for each transaction: its branches, where they went and how it ended.

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"coralrelay/balance"
)

var outcomes = map[balance.Outcome]string{balance.OK: "ok", balance.Errored: "error", balance.AtCapacity: "full",
	balance.TimedOut: "timed out", balance.ConnectFailed: "not connected", balance.Reset: "reset",
	balance.Cancelled: "cancelled", balance.NotSent: "not sent"}

// trace is what the line says. A nil one costs nothing: debug lines were off when its
// transaction came.
type trace struct {
	begun    time.Time
	branches []string // next hop, when it was chosen, and how it went
}

// traced returns a trace where debug lines are written.
func traced() *trace {
	if !slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		return nil
	}
	return &trace{begun: time.Now()}
}

// branch notes that an attempt goes to a next hop.
func (t *trace) branch(server string) {
	if t != nil {
		t.branches = append(t.branches, fmt.Sprintf("%s at %s", server, t.age()))
	}
}

// word notes what has become of the latest attempt.
func (t *trace) word(what string) {
	if t != nil && len(t.branches) > 0 {
		last := &t.branches[len(t.branches)-1]
		*last += fmt.Sprintf(", %s at %s", what, t.age())
	}
}

// end writes the line.
func (t *trace) end(r *Request, how string) {
	if t != nil {
		slog.Debug("transaction", "id", r.ID, "class", r.Class, "group", r.Group, "again", r.Retry || r.Returned,
			"left", time.Until(r.Deadline).Round(time.Millisecond), "branches", t.branches, "ended", how, "after", t.age())
	}
}

func (t *trace) age() string { return time.Since(t.begun).Round(100 * time.Microsecond).String() }
