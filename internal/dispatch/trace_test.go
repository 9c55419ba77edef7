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
func TestTrace(t *testing.T) {
	var out bytes.Buffer
	was := slog.Default()
	t.Cleanup(func() { slog.SetDefault(was); _ = logging.SetLevel("info") })
	logging.Setup(&out, false)
	for _, level := range []string{"info", "debug"} {
		if err := logging.SetLevel(level); err != nil {
			t.Fatal(err)
		}
		c, p := start(t)
		load := balance.EmptyLoadReport
		load.Utilization = 0.1
		x := submit(c, p, Request{ID: "followed"})
		for attempt, o := range []balance.Outcome{balance.ConnectFailed, balance.Reset} {
			c.ProbeEnded(wait(t, p.probed), balance.OK, time.Millisecond, load)
			c.AttemptEnded(x, attempt, wait(t, p.started), o, time.Millisecond, balance.EmptyLoadReport)
		}
		wait(t, x.done)
		c.ExportLearnedState() // what was told before it is done
		var lines []string
		for _, l := range strings.Split(out.String(), "\n") {
			if strings.Contains(l, `"followed"`) {
				lines = append(lines, l)
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
func BenchmarkTraceOff(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		t := traced()
		t.branch("s1")
		t.word("up")
		t.end(&Request{}, "ok")
	}
}
