package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/logging"
)

// With debug logging, one line with the id of a placement has its attempts in order, with their servers
// and results, and its outcome. Without debug logging there is no line.
func TestTraceWritesOneDebugLinePerPlacement(t *testing.T) {
	var out bytes.Buffer
	previous := slog.Default()
	t.Cleanup(func() { slog.SetDefault(previous); _ = logging.SetLevel("info") })
	logging.Setup(&out, false)
	for _, level := range []string{"info", "debug"} {
		if err := logging.SetLevel(level); err != nil {
			t.Fatal(err)
		}
		loop, endpoints := startWithEndpoints(t)
		placement := submit(loop, endpoints, Request{ID: "followed"})
		for attempt, outcome := range []balance.Outcome{balance.ConnectFailed, balance.Reset} {
			loop.ProbeEnded(receive(t, endpoints.probed), balance.OK, time.Millisecond, lightLoad())
			loop.AttemptEnded(placement, attempt, receive(t, endpoints.started), outcome, time.Millisecond,
				balance.EmptyLoadReport)
		}
		receive(t, placement.done)
		loop.ExportLearnedState() // waits for everything that was posted before
		var lines []string
		for _, line := range strings.Split(out.String(), "\n") {
			if strings.Contains(line, `"followed"`) {
				lines = append(lines, line)
			}
		}
		if level == "info" {
			if len(lines) > 0 {
				t.Errorf("debug logging is disabled, got lines %q", lines)
			}
			continue
		}
		if len(lines) != 1 || strings.Index(lines[0], "connect failed") > strings.Index(lines[0], "reset") ||
			!strings.Contains(lines[0], `"outcome": "rejected", "reason": "repeat_harmful"`) {
			t.Errorf("got lines %q, want one line for the placement", lines)
		}
	}
}

// BenchmarkDisabledTrace measures a trace with debug logging disabled, which should cost nothing.
func BenchmarkDisabledTrace(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		t := newTrace()
		t.attemptStarted("s1")
		t.attemptStatus("up")
		t.log(&Request{}, "ok")
	}
}
