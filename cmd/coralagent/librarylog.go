package main

import (
	"context"
	"log/slog"
	"strings"
)

// libraryLog takes the log lines of memberlist and raft, which begin with their level.
type libraryLog struct{}

func (libraryLog) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	level := slog.LevelDebug
	if strings.HasPrefix(text, "[ERR") || strings.HasPrefix(text, "[WARN]") {
		level = slog.LevelInfo // a peer that is gone is no fault of this one
	}
	slog.Log(context.Background(), level, text)
	return len(b), nil
}
