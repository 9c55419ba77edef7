package replayguard

import (
	"bytes"
	"errors"

	"coralrelay/internal/mutation"
	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// spendWrite is a store.Write that decides on one token and records a new grant.
type spendWrite struct {
	backend      *durableBackend
	token        *resumetoken.Token
	redemptionID resumetoken.RedemptionID
	reply        func(resumetoken.Verdict)
	verdict      resumetoken.Verdict
	isNew        bool // the verdict is a grant that has no record yet
}

// Apply decides on the token and writes the record of a new grant.
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

// Done replies with the verdict. If the write failed, the verdict is GuardUnavailable; if it was
// not queued, the verdict is GuardFull.
func (w *spendWrite) Done(err error) {
	backend := w.backend
	if errors.Is(err, store.ErrQueueFull) {
		// Done was called in the goroutine of Submit, which must not access the arbiter.
		w.reply(resumetoken.GuardFull)
		return
	}
	if err != nil {
		backend.recordWriteFailure(err)
		if w.isNew {
			backend.arbiter.RecordCount--
		}
		w.verdict = resumetoken.GuardUnavailable
	} else if w.isNew {
		backend.guard.lastWriteFailed.Store(false)
	}
	backend.publishRecordCount()
	w.reply(w.verdict)
}

// lookup returns the redemption that a token was granted to, and false if the token is unspent.
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

// keepInMemory records a grant in memory only. It is used by the mutation ledger-volatile, which
// loses the records when the process ends.
func (d *durableBackend) keepInMemory(nonce resumetoken.Nonce, id resumetoken.RedemptionID) {
	if d.volatileRecords == nil {
		d.volatileRecords = map[resumetoken.Nonce]resumetoken.RedemptionID{}
	}
	d.volatileRecords[nonce] = id
}

// sweepWrite is a store.Write that removes the records of expired windows.
type sweepWrite struct {
	backend *durableBackend
	removed int // number of records
}

// Apply deletes the windows whose tokens have all expired, and stores the last of them.
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
	// The last swept window is stored in the transaction of the deletion, so that the swept
	// tokens stay expired if the clock is set back later.
	if err := tx.Bucket(stateBucket).Put(sweptThroughKey, windowKey(through)); err != nil {
		return err
	}
	w.removed = removed
	w.backend.arbiter.SweptThrough = through
	return nil
}

// deleteWindows deletes all windows up to and including through, and returns the number of
// records in them.
func deleteWindows(spent *store.Bucket, through resumetoken.Window) (removed int, err error) {
	var expired [][]byte
	_ = spent.ForEachBucket(func(key []byte) error {
		if windowFromKey(key) <= through {
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

// Done updates the record count. A sweep that was not queued is repeated at the next tick of
// Guard.Run.
func (w *sweepWrite) Done(err error) {
	backend := w.backend
	if errors.Is(err, store.ErrQueueFull) {
		return
	}
	if err != nil {
		backend.recordWriteFailure(err)
		return
	}
	backend.arbiter.RecordCount -= w.removed
	backend.publishRecordCount()
	if backend.arbiter.RecordCount < backend.arbiter.MaxRecords {
		backend.guard.lastWriteFailed.Store(false)
	}
}
