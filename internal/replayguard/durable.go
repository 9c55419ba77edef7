package replayguard

import (
	"context"
	"errors"
	"log/slog"
	"path/filepath"
	"time"

	"coralrelay/internal/logging"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

const (
	// defaultMaxBatch is the default maximum number of writes in a batch.
	defaultMaxBatch = 512
	// maxQueuedWrites is the maximum number of queued writes. When the queue is full, the
	// verdict on a token is GuardFull.
	maxQueuedWrites = 2048
	// lockTimeout is how long opening the file waits for its lock. A killed node may take a
	// moment to release the lock; without the wait its restart would fail as if another node
	// used the same directory.
	lockTimeout = time.Second

	// The maximum file size, in bytes, is baseFileBytes plus bytesPerRecord for each record. A
	// record takes about 100 bytes, including bbolt's overhead for random keys. The rest is
	// reserved for free pages that have not been reused yet, and is needed because bbolt counts
	// the mapped size, which grows by doubling.
	baseFileBytes  = 64 << 20
	bytesPerRecord = 400
)

// durableBackend keeps records in a store. After the backend has been opened, only the goroutine
// of the store's writer may access the arbiter. Apply and Done of the writes run in it, except Done
// with store.ErrQueueFull.
type durableBackend struct {
	guard           *Guard
	store           *store.Store
	writer          *store.Writer
	arbiter         resumetoken.Arbiter
	writeFailureLog logging.Throttled
	// volatileRecords is used only by the mutation ledger-volatile.
	volatileRecords map[resumetoken.Nonce]resumetoken.RedemptionID
}

// openDurableBackend opens the file in the directory options.Dir and loads its state. The arbiter
// gets the id of the file.
func openDurableBackend(
	guard *Guard, arbiter resumetoken.Arbiter, options Options,
) (*durableBackend, error) {
	guardStore, err := store.Open(filepath.Join(options.Dir, FileName), Schema, store.Options{
		MaxBytes:    baseFileBytes + bytesPerRecord*options.MaxRecords,
		NoSync:      options.NoSync,
		LockTimeout: lockTimeout,
	})
	if err != nil {
		return nil, err
	}
	if guardStore.QuarantinePath != "" {
		slog.Warn("replay guard file quarantined, tokens that name it are rejected", "component", component,
			"quarantine_path", guardStore.QuarantinePath, "error", guardStore.QuarantineReason)
	}
	maxBatch := options.MaxBatch
	if maxBatch == 0 {
		maxBatch = defaultMaxBatch
	}
	arbiter.ID = resumetoken.GuardID(guardStore.ID)
	backend := &durableBackend{
		guard:   guard,
		store:   guardStore,
		writer:  store.NewWriter(guardStore, maxBatch, maxQueuedWrites),
		arbiter: arbiter,
	}
	if err := backend.loadState(); err != nil {
		return nil, errors.Join(err, guardStore.Close())
	}
	return backend, nil
}

// loadState loads the last swept window and counts the records.
func (d *durableBackend) loadState() error {
	return d.store.View(func(tx *store.Tx) error {
		if swept := tx.Bucket(stateBucket).Get(sweptThroughKey); len(swept) == windowKeySize {
			d.arbiter.SweptThrough = windowFromKey(swept)
		}
		err := ForEachWindow(tx, func(_ resumetoken.Window, spent int) { d.arbiter.RecordCount += spent })
		d.publishRecordCount()
		return err
	})
}

func (d *durableBackend) run(ctx context.Context) { d.writer.Run(ctx) }
func (d *durableBackend) close() error            { return d.store.Close() }

func (d *durableBackend) spend(
	token *resumetoken.Token, id resumetoken.RedemptionID, reply func(resumetoken.Verdict),
) {
	d.writer.Submit(&spendWrite{backend: d, token: token, redemptionID: id, reply: reply})
}

func (d *durableBackend) sweep() {
	d.writer.Submit(&sweepWrite{backend: d})
}

// publishRecordCount copies the arbiter's record count to the guard, where other goroutines read
// it.
func (d *durableBackend) publishRecordCount() {
	d.guard.recordCount.Store(int64(d.arbiter.RecordCount))
}

// recordWriteFailure makes the guard not ready and logs the error.
func (d *durableBackend) recordWriteFailure(err error) {
	d.guard.lastWriteFailed.Store(true)
	d.writeFailureLog.Warn("replay guard write failed, tokens are rejected",
		"component", component, "error", err)
}
