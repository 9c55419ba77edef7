package replayguard

import (
	"bytes"
	"errors"

	"coralrelay/internal/mutation"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// spendWrite decides on one token and records a new grant.
type spendWrite struct {
	backend      *durableBackend
	token        *resumetoken.Token
	redemptionID resumetoken.RedemptionID
	reply        func(resumetoken.Verdict)
	verdict      resumetoken.Verdict
	isNew        bool // a grant that was not recorded before
}

// Apply decides and, for a new grant, writes the record.
func (w *spendWrite) Apply(tx *store.Tx) error {
	arbiter, spent := &w.backend.arbiter, tx.Bucket(spentBucket)
	lookup := func(window resumetoken.Window, nonce resumetoken.Nonce) (resumetoken.RedemptionID, bool) {
		return w.backend.lookup(spent, window, nonce)
	}
	w.verdict, w.isNew = arbiter.Decide(w.backend.guard.now(), w.token, w.redemptionID, lookup)
	if !w.isNew {
		return nil
	}
	arbiter.RecordCount++
	if mutation.Enabled("ledger-volatile") {
		w.backend.keepInMemory(w.token.Nonce, w.redemptionID)
		return nil
	}
	records, err := spent.CreateBucketIfNotExists(windowKey(resumetoken.WindowOf(w.token.ExpiresAt)))
	if err != nil {
		return err
	}
	return records.Put(w.token.Nonce[:], w.redemptionID[:])
}

// Done replies with the verdict, which a failed write turns into GuardUnavailable.
func (w *spendWrite) Done(err error) {
	backend := w.backend
	if errors.Is(err, store.ErrQueueFull) {
		// This is Submit's goroutine: the arbiter must not be touched.
		w.reply(resumetoken.GuardFull)
		return
	}
	if err != nil {
		backend.recordFailure(err)
		if w.isNew {
			backend.arbiter.RecordCount--
		}
		w.verdict = resumetoken.GuardUnavailable
	} else if w.isNew {
		backend.guard.writeFailed.Store(false)
	}
	backend.publishRecordCount()
	w.reply(w.verdict)
}

// lookup returns the redemption that was granted a token.
func (d *durableBackend) lookup(
	spent *store.Bucket, window resumetoken.Window, nonce resumetoken.Nonce,
) (id resumetoken.RedemptionID, ok bool) {
	if id, ok := d.volatileRecords[nonce]; ok {
		return id, true
	}
	records := spent.Bucket(windowKey(window))
	if records == nil {
		return id, false
	}
	stored := records.Get(nonce[:])
	if len(stored) != len(id) {
		return id, false
	}
	return resumetoken.RedemptionID(stored), true
}

// keepInMemory records a grant without writing it, for the mutation that forgets what was
// granted when the process ends.
func (d *durableBackend) keepInMemory(nonce resumetoken.Nonce, id resumetoken.RedemptionID) {
	if d.volatileRecords == nil {
		d.volatileRecords = map[resumetoken.Nonce]resumetoken.RedemptionID{}
	}
	d.volatileRecords[nonce] = id
}

// sweepWrite forgets whole windows.
type sweepWrite struct {
	backend *durableBackend
	removed int // records
}

// Apply deletes the windows whose tokens have all expired, and notes the last of them.
func (w *sweepWrite) Apply(tx *store.Tx) error {
	w.removed = 0
	through, ok := w.backend.arbiter.SweepableThrough(w.backend.guard.now())
	if !ok {
		return nil
	}
	removed, err := deleteWindows(tx.Bucket(spentBucket), through)
	if err != nil {
		return err
	}
	// The mark is stored with the deletion: a clock that is set back later finds it.
	if err := tx.Bucket(stateBucket).Put(sweptThroughKey, windowKey(through)); err != nil {
		return err
	}
	w.removed = removed
	w.backend.arbiter.SweptThrough = through
	return nil
}

// deleteWindows deletes all windows up to through and returns how many records they had.
func deleteWindows(spent *store.Bucket, through resumetoken.Window) (removed int, err error) {
	var expired [][]byte
	_ = spent.ForEachBucket(func(key []byte) error {
		if windowOf(key) <= through {
			expired = append(expired, bytes.Clone(key))
		}
		return nil
	})
	for _, key := range expired {
		records := spent.Bucket(key).Stats().KeyN
		if err := spent.DeleteBucket(key); err != nil {
			return removed, err
		}
		removed += records
	}
	return removed, nil
}

// Done adjusts the record count; a sweep that was not queued is repeated at the next tick.
func (w *sweepWrite) Done(err error) {
	backend := w.backend
	if errors.Is(err, store.ErrQueueFull) {
		return
	}
	if err != nil {
		backend.recordFailure(err)
		return
	}
	backend.arbiter.RecordCount -= w.removed
	backend.publishRecordCount()
	if backend.arbiter.RecordCount < backend.arbiter.MaxRecords {
		backend.guard.writeFailed.Store(false)
	}
}
