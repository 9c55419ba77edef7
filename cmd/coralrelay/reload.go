package main

import (
	"context"
	"log/slog"
	"os"

	"coralrelay/internal/logging"
	"coralrelay/internal/operatorconfig"
)

// reloadOnHangUp reads both files again on each hang-up, until ctx ends.
func (n *node) reloadOnHangUp(ctx context.Context, hangUps <-chan os.Signal) {
	operatorFile := n.operatorFile // the active one, which comes to differ from the start's
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		n.active.reload()
		operatorFile = reloadOperatorFile(operatorFile, n.operatorPath, n.resumption)
	}
}

// reloadOperatorFile reads the operator's file again, if there is one, and returns the one that is
// in force from now on. What can't be used of it leaves the old in place.
func reloadOperatorFile(current operatorconfig.File, path string, tokens *tokenResumption) operatorconfig.File {
	if path == "" {
		return current
	}
	next, err := operatorconfig.Load(path)
	if err != nil {
		slog.Error("operator file reload rejected, the old one stays", "component", componentReload, "error", err)
		return current
	}
	if fixed := current.ChangedRestartKeys(&next); len(fixed) > 0 {
		slog.Warn("changed keys need a restart", "component", componentReload, "keys", fixed)
	}
	if err := logging.SetLevel(next.Log.Level); err != nil {
		slog.Error("log level reload rejected, the old one stays", "component", componentReload, "error", err)
	}
	if err := tokens.updateConfig(next.Resume); err != nil {
		slog.Error("resume keys reload rejected, the old ones stay", "component", componentReload, "error", err)
	}
	return next
}
