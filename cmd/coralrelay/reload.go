package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/neterr"
	"coralrelay/internal/operatorconfig"
)

// reloadRetryInterval is the pause between attempts to open a file while no descriptor is free.
const reloadRetryInterval = 50 * time.Millisecond

// reloadOnSIGHUP reloads both configuration files on each SIGHUP, until ctx ends.
func (n *node) reloadOnSIGHUP(ctx context.Context, sighups <-chan os.Signal) {
	operatorFile := n.operatorFile // the file in force; n.operatorFile keeps the one of the start
	for {
		select {
		case <-ctx.Done():
			return
		case <-sighups:
		}
		n.retryWhileExhausted(ctx, n.active.reload)
		n.retryWhileExhausted(ctx, func() (err error) {
			operatorFile, err = reloadOperatorFile(operatorFile, n.operatorPath, n.resumption)
			return err
		})
	}
}

// retryWhileExhausted repeats a reload until it no longer fails for lack of a descriptor, or ctx ends,
// since one SIGHUP must be enough for a reload. After each failure it closes the idle probe connections
// to free descriptors.
func (n *node) retryWhileExhausted(ctx context.Context, reload func() error) {
	for err := reload(); err != nil; err = reload() {
		n.reloadLog.Warn("cannot open configuration, retrying", "component", componentReload, "error", err)
		n.pool.CloseIdleProbeConns()
		select {
		case <-ctx.Done():
			return
		case <-time.After(reloadRetryInterval):
		}
	}
}

// reloadOperatorFile reads the operator's file again, if there is one, and returns the configuration that
// is in force from now on. Invalid values leave the old ones in force. It returns an error only if no
// descriptor was free to open the file.
func reloadOperatorFile(
	current operatorconfig.File, path string, tokens *tokenResumption,
) (operatorconfig.File, error) {
	if path == "" {
		return current, nil
	}
	next, err := operatorconfig.Load(path)
	if neterr.IsExhausted(err) {
		return current, err
	}
	if err != nil {
		slog.Error("operator file reload rejected, the old one stays", "component", componentReload, "error", err)
		return current, nil
	}
	if restartKeys := current.ChangedRestartKeys(&next); len(restartKeys) > 0 {
		slog.Warn("changed keys need a restart", "component", componentReload, "keys", restartKeys)
	}
	if err := logging.SetLevel(next.Log.Level); err != nil {
		slog.Error("log level reload rejected, the old one stays", "component", componentReload, "error", err)
	}
	if err := tokens.updateConfig(next.Resume); err != nil {
		slog.Error("resume keys reload rejected, the old ones stay", "component", componentReload, "error", err)
	}
	return next, nil
}
