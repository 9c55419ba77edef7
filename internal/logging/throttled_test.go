package tally

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// A flood costs one line, and the next line tells how many there were.
func TestWarn(t *testing.T) {
	var log bytes.Buffer
	was := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	defer slog.SetDefault(was)
	var bad Tally
	for range 1000 {
		bad.Warn("rejected")
	}
	bad.next = bad.next.Add(-every)
	bad.Warn("rejected")
	lines := strings.Split(strings.TrimSpace(log.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], "count=1") || !strings.Contains(lines[1], "count=1000") {
		t.Errorf("logged %q", lines)
	}
}
