package logging

import (
	"log/slog"
	"sync"
	"time"
)

// throttleInterval is the least time between two lines of one Throttled.
const throttleInterval = 10 * time.Second

// Throttled logs one kind of event that may come in floods, such as malformed input of
// clients: the first at once, later ones as a count, with the latest as the example. zap's
// own sampler drops lines without a count. The zero value is ready to use, by several
// goroutines at once.
type Throttled struct {
	mu     sync.Mutex
	count  int
	nextAt time.Time // no line before
}

// Warn counts the event, and logs it as a warning, with the count of events since the last
// line, unless a line was logged within the last ten seconds.
func (t *Throttled) Warn(message string, attributes ...any) {
	now := time.Now()
	t.mu.Lock()
	t.count++
	count := t.count
	if now.Before(t.nextAt) {
		t.mu.Unlock()
		return
	}
	t.count = 0
	t.nextAt = now.Add(throttleInterval)
	t.mu.Unlock()
	slog.Warn(message, append(attributes, "count", count)...)
}
