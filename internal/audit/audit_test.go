package audit

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"coralrelay/internal/lifecycle"
)

// captureLog redirects log lines to the returned buffer until the test ends.
func captureLog(t *testing.T) *bytes.Buffer {
	t.Helper()
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug})))
	t.Cleanup(func() { slog.SetDefault(previous) })
	return &log
}

// Violations are counted by kind, passed to the handler, and logged at most once a second with the latest
// state changes of their session.
func TestViolationsAreCountedAndLogged(t *testing.T) {
	log := captureLog(t)
	handled := 0
	SetViolationHandler(func(kind Violation, id string) {
		if kind != ConcurrentAttempt || id != "a" {
			t.Errorf("handled %v by %q", kind, id)
		}
		handled++
	})
	defer SetViolationHandler(nil)
	StateChanged("a", lifecycle.AttemptStarted, lifecycle.Waiting, lifecycle.Attempting)
	StateChanged("b", lifecycle.ClientLeft, lifecycle.Waiting, lifecycle.ClientGone)
	before := ViolationCount()
	for range 3 {
		ReportViolation(ConcurrentAttempt, "a", "endpoint", "s1")
	}
	if count := ViolationCount() - before; count != 3 || handled != 3 {
		t.Errorf("%d counted, %d handled, want 3", count, handled)
	}
	lines := 0
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "invariant violated") {
			lines++
			for _, part := range []string{"id=a", "endpoint=s1", "waiting to attempting", "second attempt out"} {
				if !strings.Contains(line, part) {
					t.Errorf("line %q does not contain %q", line, part)
				}
			}
			if strings.Contains(line, "client gone") {
				t.Errorf("line %q contains a state change of another session", line)
			}
		}
	}
	if lines != 1 {
		t.Errorf("%d lines within a second, want 1", lines)
	}
	nextViolationLogAt.Store(int64(time.Since(processStart)))
	if ReportViolation(ConcurrentAttempt, "a"); strings.Count(log.String(), "invariant violated") != 2 {
		t.Error("no new line after one second")
	}
}

// The ring keeps the latest state changes. History returns them oldest first.
func TestHistoryIsBounded(t *testing.T) {
	for i := range 2 * ringSize {
		StateChanged(fmt.Sprint("h", i%4), lifecycle.Event(i%2), lifecycle.Waiting, lifecycle.Attempting)
	}
	if lines := History("h3"); len(lines) != ringSize/4 {
		t.Errorf("%d lines from a ring of %d state changes", len(lines), ringSize)
	}
	StateChanged("h3", lifecycle.CloseEnded, lifecycle.Closing, lifecycle.Closed)
	lines := History("h3")
	if last := lines[len(lines)-1]; !strings.Contains(last, "closing to closed") {
		t.Errorf("last line is %q, want the latest state change", last)
	}
}

func TestReasonsAreNamedAndCounted(t *testing.T) {
	names := map[string]bool{}
	for reason := range reasonCount {
		names[reason.String()] = true
	}
	if len(names) != int(reasonCount) || names[""] {
		t.Errorf("%d names for %d reasons", len(names), reasonCount)
	}
	Count(RetryAtCapacity)
	CountAttemptRefusal(lifecycle.EndpointDraining)
	CountRequestRefusal(lifecycle.None)
	if text := fmt.Sprint(Counts()...); !strings.Contains(text, "retry_at_capacity") || !strings.Contains(text, "refuse_attempt_draining") {
		t.Errorf("counts are %q", text)
	}
}

// Each state change is logged at debug level with the session's id.
func TestStateChangesAreLoggedAtDebugLevel(t *testing.T) {
	log := captureLog(t)
	StateChanged("z", lifecycle.ClientLeft, lifecycle.Waiting, lifecycle.ClientGone)
	if line := log.String(); !strings.Contains(line, "id=z") || !strings.Contains(line, `to="client gone"`) {
		t.Errorf("log line %q", line)
	}
}
