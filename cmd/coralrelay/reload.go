package main

import (
	"context"
	"log/slog"
	"os"

	"coralrelay/internal/logging"
	"coralrelay/internal/operatorconfig"
)

// reload does what is given on each hang-up, until ctx ends.
func reloadOnHangUp(ctx context.Context, hangUps <-chan os.Signal, reloaders ...func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		for _, reloadOne := range reloaders {
			reloadOne()
		}
	}
}

// reloadOwn reads the operator's file again, if there is one.
func reloadOperatorFile(current operatorconfig.File, path string, resumption *tokenResumption) operatorconfig.File {
	if path == "" {
		return current
	}
	next, err := operatorconfig.Load(path)
	if err != nil {
		slog.Error("reload: the operator's old file stays", "err", err)
		return current
	}
	if fixed := current.ChangedRestartKeys(&next); len(fixed) > 0 {
		slog.Warn("reload: these keys change with a restart only", "keys", fixed)
	}
	if err := logging.SetLevel(next.Log.Level); err != nil {
		slog.Error("reload", "err", err)
	}
	if err := resumption.updateConfig(next.Resume); err != nil {
		slog.Error("reload: the old keys stay", "err", err)
	}
	return next
}
