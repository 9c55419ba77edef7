// Package tally keeps the log readable, and cheap, where a line may come in
// floods: bad callers send thousands.
package tally

import (
	"log/slog"
	"sync"
	"time"
)

// every is the least time between two lines of one Tally.
const every = 10 * time.Second

// Tally logs one kind of event: the first at once, later ones as a count with
// the latest as an example. Its zero value is ready to use.
type Tally struct {
	mu    sync.Mutex
	count int
	next  time.Time // no line before
}

// Warn counts the event, and logs it if no other was logged of late.
func (t *Tally) Warn(text string, args ...any) {
	now := time.Now()
	t.mu.Lock()
	t.count++
	count := t.count
	if now.Before(t.next) {
		t.mu.Unlock()
		return
	}
	t.count, t.next = 0, now.Add(every)
	t.mu.Unlock()
	slog.Warn(text, append(args, "count", count)...)
}
