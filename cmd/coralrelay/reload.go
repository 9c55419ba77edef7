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

// reloadRetryInterval is the pause before a file is opened again that could not be for want of a descriptor.
const reloadRetryInterval = 50 * time.Millisecond

// reloadOnHangUp reads both files again on each hang-up, until ctx ends.
func (n *node) reloadOnHangUp(ctx context.Context, hangUps <-chan os.Signal) {
	operatorFile := n.operatorFile // the active one, which comes to differ from the start's
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		n.whileExhausted(ctx, n.active.reload)
		n.whileExhausted(ctx, func() (err error) {
			operatorFile, err = reloadOperatorFile(operatorFile, n.operatorPath, n.resumption)
			return err
		})
	}
}

// whileExhausted does what may fail for want of a descriptor until it does not, or ctx ends: nobody asks
// for it a second time. Idle probe connections make way.
func (n *node) whileExhausted(ctx context.Context, do func() error) {
	for err := do(); err != nil; err = do() {
		n.reloadLog.Warn("configuration can't be read yet", "component", componentReload, "error", err)
		n.pool.CloseIdleProbeConns()
		select {
		case <-ctx.Done():
			return
		case <-time.After(reloadRetryInterval):
		}
	}
}

// reloadOperatorFile reads the operator's file again, if there is one, and returns the one that is
// in force from now on. What can't be used of it leaves the old in place. The error is that of a file
// that could not be opened for want of a descriptor.
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
	if fixed := current.ChangedRestartKeys(&next); len(fixed) > 0 {
		slog.Warn("changed keys need a restart", "component", componentReload, "keys", fixed)
	}
	if err := logging.SetLevel(next.Log.Level); err != nil {
		slog.Error("log level reload rejected, the old one stays", "component", componentReload, "error", err)
	}
	if err := tokens.updateConfig(next.Resume); err != nil {
		slog.Error("resume keys reload rejected, the old ones stay", "component", componentReload, "error", err)
	}
	return next, nil
}
