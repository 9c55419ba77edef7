package logging

import (
	"log/slog"
	"sync"
	"time"
)

// throttleInterval is the minimum time between two lines of one Throttled.
const throttleInterval = 10 * time.Second

// Throttled rate-limits the log lines of one kind of event that may occur in bursts, such as
// malformed input of clients. The first event is logged at once. Later ones are counted, and the
// next line has the count and the attributes of the latest event. zap's sampler is not used because
// it drops lines without a count. The zero value is ready to use. It is safe for concurrent use.
type Throttled struct {
	mu     sync.Mutex
	count  int
	nextAt time.Time // earliest time of the next line
}

// Warn counts the event. Unless a line was logged within throttleInterval, it logs a warning with
// the number of events since the last line.
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
