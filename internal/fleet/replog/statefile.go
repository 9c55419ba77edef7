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

var (
	stateBucket = []byte("state")
	stateKey    = []byte("last")
)

var stateSchema = store.Schema{Kind: "fleet-state", Migrations: []func(*store.Tx) error{func(tx *store.Tx) error {
	_, err := tx.CreateBucket(stateBucket)
	return err
}}}

// again is how soon after a write the next is made, and a disk that failed is tried.
const diskRetryInterval = time.Second

// stateFile keeps the last known state on disk, so that a member that starts alone has
// something to go by. Nothing is promised by it: it may be behind. One goroutine uses it.
type stateFile struct {
	replica      *Replica
	store        *store.Store
	writtenIndex uint64
	failing      bool // said once
}

func (f *stateFile) path() string { return filepath.Join(f.replica.options.Dir, "state.db") }

// open opens the file, if it is not open, and returns the state in it, if there is one.
func (f *stateFile) open() (state *logentry.State, err error) {
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
			slog.Warn("record: state set aside", "why", file.QuarantineReason, "as", file.QuarantinePath)
		}
		var encoded []byte
		err = file.View(func(tx *store.Tx) error {
			encoded = append(encoded, tx.Bucket(stateBucket).Get(stateKey)...)
			return nil
		})
		label := "torn"
		if err == nil && len(encoded) > 0 {
			if state, err = decodeState(encoded); err == nil {
				if err = state.AttachGenesis(f.replica.options.Genesis); err != nil {
					label = "foreign"
				}
			}
		}
		if err == nil {
			f.store = file
			return state, nil
		}
		_ = file.Close()
		quarantinePath, renameErr := quarantineFile(f.path(), label)
		if renameErr != nil {
			return nil, errors.Join(err, renameErr)
		}
		slog.Warn("record: state set aside", "why", err, "as", quarantinePath)
	}
	return nil, fmt.Errorf("store %s: a fresh one is bad too", f.path())
}

func (f *stateFile) load() {
	state, err := f.open()
	if err == nil && state != nil {
		f.writtenIndex = state.Index
		f.replica.publisher.publishState(state, nil)
	}
	f.reportResult(err)
}

// run writes the state when it has changed, at most once in a while, and at the end.
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
		case <-ticker.C: // the disk may have come back
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

func (f *stateFile) write() {
	_, err := f.open()
	state := f.replica.publisher.view.Load().State
	if err != nil || state.Index <= f.writtenIndex {
		f.reportResult(err)
		return
	}
	encoded, err := encodeState(state)
	if err == nil {
		if err = f.replica.options.InjectFault("state"); err == nil {
			err = f.store.Update(func(tx *store.Tx) error { return tx.Bucket(stateBucket).Put(stateKey, encoded) })
		}
	}
	if err == nil {
		f.writtenIndex = state.Index
	} else if f.store != nil { // bbolt is not trusted after a write that failed
		_ = f.store.Close()
		f.store = nil
	}
	f.reportResult(err)
}

// tell says once that the disk fails, and once that it does no more.
func (f *stateFile) reportResult(err error) {
	switch {
	case err != nil && !f.failing:
		slog.Warn("record: the state can't be written, going on in memory", "err", err)
	case err == nil && f.failing:
		slog.Info("record: the state is written again")
	default:
		return
	}
	f.failing = err != nil
	if !f.replica.isVoter { // a voter's word is about its votes
		f.replica.publisher.updateView(func(v *View) { v.DiskError = errorText(err) })
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
