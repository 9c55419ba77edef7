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

// One placement can be followed by its id: its attempts in order, where they went, how each
// ended, and its end. With debug lines off nothing is kept of it.
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
		loop.ExportLearnedState() // all that was posted before it is done
		var lines []string
		for _, line := range strings.Split(out.String(), "\n") {
			if strings.Contains(line, `"followed"`) {
				lines = append(lines, line)
			}
		}
		if level == "info" {
			if len(lines) > 0 {
				t.Errorf("with debug lines off: %q", lines)
			}
			continue
		}
		if len(lines) != 1 || strings.Index(lines[0], "connect failed") > strings.Index(lines[0], "reset") ||
			!strings.Contains(lines[0], `"outcome": "rejected", "reason": "repeat_harmful"`) {
			t.Errorf("lines of one placement: %q", lines)
		}
	}
}

// A disabled trace costs nothing.
func BenchmarkDisabledTrace(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		t := newTrace()
		t.attemptStarted("s1")
		t.attemptStatus("up")
		t.log(&Request{}, "ok")
	}
}
