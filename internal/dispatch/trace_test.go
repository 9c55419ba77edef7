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

// One transaction can be followed by its id: its branches in order, where they went, how
// each ended, and its end. With debug lines off nothing is kept of it.
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
		load := balance.EmptyLoadReport
		load.Utilization = 0.1
		placement := submit(loop, endpoints, Request{ID: "followed"})
		for attempt, outcome := range []balance.Outcome{balance.ConnectFailed, balance.Reset} {
			loop.ProbeEnded(receive(t, endpoints.probed), balance.OK, time.Millisecond, load)
			loop.AttemptEnded(placement, attempt, receive(t, endpoints.started), outcome, time.Millisecond, balance.EmptyLoadReport)
		}
		receive(t, placement.done)
		loop.ExportLearnedState() // what was told before it is done
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
		if len(lines) != 1 || strings.Index(lines[0], "not connected") > strings.Index(lines[0], "reset") ||
			!strings.Contains(lines[0], `"ended": "refused"`) {
			t.Errorf("lines of one transaction: %q", lines)
		}
	}
}

// What is off costs nothing.
func BenchmarkDisabledTrace(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		t := newTrace()
		t.attemptStarted("s1")
		t.attemptStatus("up")
		t.log(&Request{}, "ok")
	}
}
