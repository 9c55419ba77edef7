package audit

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"coralrelay/internal/lifecycle"
)

// ringSize is the number of state changes that are kept.
const ringSize = 256

// stateChange is a state change of a session.
type stateChange struct {
	at       time.Time
	id       string
	event    lifecycle.Event
	from, to lifecycle.State
}

// ring holds the latest state changes of all sessions.
var ring struct {
	sync.Mutex
	changes [ringSize]stateChange
	next    int // index of the oldest entry, which is overwritten next
}

// StateChanged records a state change, and logs it at debug level.
func StateChanged(id string, event lifecycle.Event, from, to lifecycle.State) {
	ring.Lock()
	ring.changes[ring.next] = stateChange{at: time.Now(), id: id, event: event, from: from, to: to}
	ring.next = (ring.next + 1) % ringSize
	ring.Unlock()
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("session state changed", "component", "audit", "id", id, "event", event.String(),
			"from", from.String(), "to", to.String())
	}
}

// History returns the state changes of a session that are still in the ring, oldest first, each with its
// age.
func History(id string) (lines []string) {
	ring.Lock()
	defer ring.Unlock()
	for i := range ringSize {
		change := &ring.changes[(ring.next+i)%ringSize]
		if change.id == id && !change.at.IsZero() {
			lines = append(lines, fmt.Sprintf("%v ago: %s: %s to %s",
				time.Since(change.at).Round(10*time.Microsecond), change.event, change.from, change.to))
		}
	}
	return lines
}
