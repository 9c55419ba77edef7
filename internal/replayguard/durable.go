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
	// defaultMaxBatch is how many writes are made durable at once, at most.
	defaultMaxBatch = 512
	// maxQueuedWrites is how many writes may wait; beyond it a token's verdict is GuardFull.
	maxQueuedWrites = 2048
	// lockTimeout is how long a node that was killed may take to release its file. Its next
	// start would fail otherwise, as one of two nodes with the same directory.
	lockTimeout = time.Second

	// The greatest size of the file, in bytes. A record takes about 100 bytes with bbolt's
	// overhead for random keys. The rest is for free pages that are yet to be used again, and
	// because bbolt counts the mapped size, which doubles.
	baseFileBytes  = 64 << 20
	bytesPerRecord = 400
)

// durableBackend keeps records in a store. The arbiter belongs to the goroutine of the store's
// writer, in which Apply and Done of the writes run.
type durableBackend struct {
	guard           *Guard
	store           *store.Store
	writer          *store.Writer
	arbiter         resumetoken.Arbiter
	failures        logging.Throttled
	volatileRecords map[resumetoken.Nonce]resumetoken.RedemptionID // mutation: records that are not written
}

// openDurableBackend opens the file in the options' directory and reads its state. The
// arbiter gets the file's identity.
func openDurableBackend(guard *Guard, arbiter resumetoken.Arbiter, options Options) (*durableBackend, error) {
	opened, err := store.Open(filepath.Join(options.Dir, FileName), Schema, store.Options{
		MaxBytes:    baseFileBytes + bytesPerRecord*options.MaxRecords,
		NoSync:      options.NoSync,
		LockTimeout: lockTimeout,
	})
	if err != nil {
		return nil, err
	}
	if opened.QuarantinePath != "" {
		slog.Warn("replay guard file quarantined, tokens that name it are rejected", "component", component,
			"quarantine_path", opened.QuarantinePath, "error", opened.QuarantineReason)
	}
	maxBatch := options.MaxBatch
	if maxBatch == 0 {
		maxBatch = defaultMaxBatch
	}
	arbiter.ID = resumetoken.GuardID(opened.ID)
	backend := &durableBackend{
		guard:   guard,
		store:   opened,
		writer:  store.NewWriter(opened, maxBatch, maxQueuedWrites),
		arbiter: arbiter,
	}
	if err := backend.loadState(); err != nil {
		return nil, errors.Join(err, opened.Close())
	}
	return backend, nil
}

// loadState reads the last swept window and counts the records.
func (d *durableBackend) loadState() error {
	return d.store.View(func(tx *store.Tx) error {
		if swept := tx.Bucket(stateBucket).Get(sweptThroughKey); len(swept) == windowKeySize {
			d.arbiter.SweptThrough = windowOf(swept)
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

// publishRecordCount lets other goroutines see the arbiter's count.
func (d *durableBackend) publishRecordCount() {
	d.guard.recordCount.Store(int64(d.arbiter.RecordCount))
}

// recordFailure notes that a write failed.
func (d *durableBackend) recordFailure(err error) {
	d.guard.writeFailed.Store(true)
	d.failures.Warn("replay guard write failed, tokens are rejected", "component", component, "error", err)
}
