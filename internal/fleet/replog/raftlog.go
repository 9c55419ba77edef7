package replog

import (
	"io"
	"strings"
)

// raftLogWriter passes raft's own log lines on, each without its time and as a line of
// level debug; raft's level stays in the text.
type raftLogWriter struct{ output io.Writer }

// Write takes one or more whole lines.
func (w raftLogWriter) Write(p []byte) (int, error) {
	for _, line := range strings.Split(strings.TrimSpace(string(p)), "\n") {
		if levelAt := strings.IndexByte(line, '['); levelAt >= 0 {
			line = line[levelAt:]
		}
		if _, err := io.WriteString(w.output, "[DEBUG] replog: "+line+"\n"); err != nil {
			return 0, err
		}
	}
	return len(p), nil
}
