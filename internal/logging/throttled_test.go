package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A burst of events produces one line, and the next line has the count of the suppressed events.
func TestBurstIsLoggedAsCount(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(previous)
	var rejected Throttled
	for range 1000 {
		rejected.Warn("rejected")
	}
	rejected.nextAt = rejected.nextAt.Add(-throttleInterval)
	rejected.Warn("rejected")
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "count=1") ||
		!strings.Contains(lines[1], "count=1000") {
		t.Errorf("logged %q", lines)
	}
}
