package replayguard

import (
	"encoding/binary"
	"errors"

	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// FileName is the guard's file in its directory.
const FileName = "ledger.db"

// The buckets and keys of the file. They are part of its format.
var (
	spentBucket     = []byte("spent")
	stateBucket     = []byte("rules")
	sweptThroughKey = []byte("swept")
)

// windowKeySize is the size of a window's key, in bytes.
const windowKeySize = 8

// Schema is the layout of a guard's file. The bucket "spent" has a bucket for each window,
// keyed by the window's number, in which redemption ids are kept by nonce. The bucket "rules"
// has the last window that was swept.
var Schema = store.Schema{Kind: "ledger", Migrations: []func(*store.Tx) error{createBuckets}}

func createBuckets(tx *store.Tx) error {
	_, spentErr := tx.CreateBucket(spentBucket)
	_, stateErr := tx.CreateBucket(stateBucket)
	return errors.Join(spentErr, stateErr)
}

// ForEachWindow calls visit for each window in a guard's file, in the order of time, with the
// number of spent tokens that expire in it.
func ForEachWindow(tx *store.Tx, visit func(window resumetoken.Window, spent int)) error {
	windows := tx.Bucket(spentBucket)
	return windows.ForEachBucket(func(key []byte) error {
		visit(windowOf(key), windows.Bucket(key).Stats().KeyN)
		return nil
	})
}

func windowKey(window resumetoken.Window) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(window))
}

func windowOf(key []byte) resumetoken.Window {
	return resumetoken.Window(binary.BigEndian.Uint64(key))
}
