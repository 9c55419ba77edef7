package replog

import (
	"io"
	"strings"
)

// raftLogWriter forwards raft's log lines at level debug and without their time. Raft's own
// level remains in the text.
type raftLogWriter struct{ output io.Writer }

// Write accepts one or more complete lines.
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
