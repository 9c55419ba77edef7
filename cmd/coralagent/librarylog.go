package main

import (
	"context"
	"log/slog"
	"strings"
)

// libraryLog is an io.Writer that passes the log lines of memberlist and raft on to slog. Each
// line begins with its level.
type libraryLog struct{}

func (libraryLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	level := slog.LevelDebug
	if strings.HasPrefix(text, "[ERR") || strings.HasPrefix(text, "[WARN]") {
		level = slog.LevelInfo // not an error: an unreachable peer is not a fault of this agent
	}
	slog.Log(context.Background(), level, text)
	return len(b), nil
}
