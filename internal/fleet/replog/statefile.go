package replog

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"path/filepath"
	"time"

	"coralrelay/internal/fleet/logentry"
	"coralrelay/internal/store"
)

// stateFileName is the name of the state file in Options.Dir.
const stateFileName = "state.db"

// diskRetryInterval is the minimum time between two writes of the state, and the time until a
// failed disk is tried again.
const diskRetryInterval = time.Second

// The bucket and key of the state file.
var (
	stateBucket = []byte("state")
	stateKey    = []byte("last")
)

var stateSchema = store.Schema{Kind: "fleet-state", Migrations: []func(*store.Tx) error{createStateBucket}}

func createStateBucket(tx *store.Tx) error {
	_, err := tx.CreateBucket(stateBucket)
	return err
}

// stateFile persists the last known state, so that a member that starts with no peer reachable
// has a state to act on. The file may be out of date, since no vote depends on it. A stateFile
// must be used by one goroutine at a time.
type stateFile struct {
	replica      *Replica
	store        *store.Store // nil while the file is not open
	writtenIndex uint64       // index of the state in the file
	failing      bool         // whether the current failure was reported
}

func (f *stateFile) path() string { return filepath.Join(f.replica.options.Dir, stateFileName) }

// open opens the file if it is not open, and returns the state in it, or nil if there is none.
// A damaged file, or one of another fleet, is quarantined and replaced with a new one.
func (f *stateFile) open() (*logentry.State, error) {
	if f.store != nil {
		return nil, nil
	}
	if err := f.replica.options.InjectFault("state"); err != nil {
		return nil, err
	}
	for range 2 {
		file, err := store.Open(f.path(), stateSchema, store.Options{NoSync: f.replica.options.Mutations.SkipDiskSync})
		if err != nil {
			return nil, err
		}
		if file.QuarantinePath != "" {
			slog.Warn("state file quarantined", component, "reason", file.QuarantineReason, "path", file.QuarantinePath)
		}
		state, label, err := f.read(file)
		if err == nil {
			f.store = file
			return state, nil
		}
		_ = file.Close()
		quarantinePath, renameErr := store.Quarantine(f.path(), label)
		if renameErr != nil {
			return nil, errors.Join(err, renameErr)
		}
		slog.Warn("state file quarantined", component, "reason", err, "path", quarantinePath)
	}
	return nil, fmt.Errorf("store %s: a fresh one is bad too", f.path())
}

// read returns the state in an open file, or nil if there is none. With an error it also
// returns the label under which the file is to be quarantined.
func (f *stateFile) read(file *store.Store) (state *logentry.State, label string, err error) {
	var encoded []byte
	err = file.View(func(tx *store.Tx) error {
		encoded = append(encoded, tx.Bucket(stateBucket).Get(stateKey)...)
		return nil
	})
	if err != nil || len(encoded) == 0 {
		return nil, "torn", err
	}
	state, err = decodeState(encoded)
	if err != nil {
		return nil, "torn", err
	}
	if err = state.AttachGenesis(f.replica.options.Genesis); err != nil {
		return nil, "foreign", err
	}
	return state, "", nil
}

// load opens the file and publishes the state in it, if there is one.
func (f *stateFile) load() {
	state, err := f.open()
	if err == nil && state != nil {
		f.writtenIndex = state.Index
		f.replica.publisher.publishState(state, nil)
	}
	f.reportResult(err)
}

// run writes the state after each change, at most once per diskRetryInterval, until ctx ends.
// Then it writes the last state and closes the file.
func (f *stateFile) run(ctx context.Context) {
	ticker := time.NewTicker(diskRetryInterval)
	defer ticker.Stop()
	defer func() {
		f.write()
		if f.store != nil {
			_ = f.store.Close()
		}
	}()
	for {
		changed := f.replica.Changed()
		f.write()
		select {
		case <-ticker.C: // retries after a failure of the disk
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// write writes the current state if it is later than the one in the file.
func (f *stateFile) write() {
	_, err := f.open()
	state := f.replica.publisher.view.Load().State
	if err != nil || state.Index <= f.writtenIndex {
		f.reportResult(err)
		return
	}
	if err = f.put(state); err == nil {
		f.writtenIndex = state.Index
	} else { // after a failed write bbolt's state is not relied on
		_ = f.store.Close()
		f.store = nil
	}
	f.reportResult(err)
}

// put writes a state to the open file.
func (f *stateFile) put(state *logentry.State) error {
	encoded, err := encodeState(state)
	if err != nil {
		return err
	}
	if err := f.replica.options.InjectFault("state"); err != nil {
		return err
	}
	return f.store.Update(func(tx *store.Tx) error { return tx.Bucket(stateBucket).Put(stateKey, encoded) })
}

// reportResult logs and publishes a change between a failing and a working disk.
func (f *stateFile) reportResult(err error) {
	switch {
	case err != nil && !f.failing:
		slog.Warn("state file failed, continuing in memory", component, "error", err)
	case err == nil && f.failing:
		slog.Info("state file usable again", component)
	default:
		return
	}
	f.failing = err != nil
	if !f.replica.isVoter { // a voter's DiskError describes its voterStore
		f.replica.publisher.updateView(func(v *View) { v.DiskError = errorText(err) })
	}
}

// errorText returns the error's text, or an empty string for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
