package main

import (
	"context"
	"log/slog"
	"os"

	"coralrelay/internal/logging"
	"coralrelay/internal/operatorconfig"
)

// reload does what is given on each hang-up, until ctx ends.
func reload(ctx context.Context, hangUps <-chan os.Signal, do ...func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		for _, f := range do {
			f()
		}
	}
}

// reloadOwn reads the operator's file again, if there is one.
func reloadOwn(own operatorconfig.File, path string, r *tokenResumption) operatorconfig.File {
	if path == "" {
		return own
	}
	next, err := operatorconfig.Load(path)
	if err != nil {
		slog.Error("reload: the operator's old file stays", "err", err)
		return own
	}
	if fixed := own.ChangedRestartKeys(&next); len(fixed) > 0 {
		slog.Warn("reload: these keys change with a restart only", "keys", fixed)
	}
	if err := logging.SetLevel(next.Log.Level); err != nil {
		slog.Error("reload", "err", err)
	}
	if err := r.change(next.Resume); err != nil {
		slog.Error("reload: the old keys stay", "err", err)
	}
	return next
}
