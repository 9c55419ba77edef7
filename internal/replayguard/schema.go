package replayguard

import (
	"encoding/binary"
	"errors"

	"coralrelay/internal/resumetoken"
	"coralrelay/internal/store"
)

// FileName is the name of a guard's file in its directory.
const FileName = "ledger.db"

// The names of the buckets and keys in the file. They are part of the file format.
var (
	spentBucket     = []byte("spent")
	stateBucket     = []byte("rules")
	sweptThroughKey = []byte("swept")
)

// windowKeySize is the size of the key of a window, in bytes.
const windowKeySize = 8

// Schema is the schema of a guard's file. The bucket "spent" contains a bucket for each window,
// keyed by the number of the window, which maps the nonce of each spent token to the id of the
// redemption that it was granted to. The bucket "rules" contains the last swept window.
var Schema = store.Schema{Kind: "ledger", Migrations: []func(*store.Tx) error{createBuckets}}

func createBuckets(tx *store.Tx) error {
	_, spentErr := tx.CreateBucket(spentBucket)
	_, stateErr := tx.CreateBucket(stateBucket)
	return errors.Join(spentErr, stateErr)
}

// ForEachWindow calls visit for each window in a guard's file, in chronological order, with the
// number of spent tokens that expire in it.
func ForEachWindow(tx *store.Tx, visit func(window resumetoken.Window, spent int)) error {
	windows := tx.Bucket(spentBucket)
	return windows.ForEachBucket(func(key []byte) error {
		visit(windowFromKey(key), windows.Bucket(key).Stats().KeyN)
		return nil
	})
}

func windowKey(window resumetoken.Window) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(window))
}

func windowFromKey(key []byte) resumetoken.Window {
	return resumetoken.Window(binary.BigEndian.Uint64(key))
}
