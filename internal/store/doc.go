// Package store is the one place that opens the embedded database: bbolt files that have an
// identity, a kind, a layout version with migrations, a greatest size, and a Writer that
// commits in batches.
//
// A file that is corrupt, of another kind, or written by a later release is never used and
// never deleted. Open moves it to a quarantine path, creates an empty store in its place, and
// reports both in Store.QuarantinePath and Store.QuarantineReason.
//
// The package starts no goroutine. Writer.Run works in its caller's goroutine and returns
// after the context ends.
//
// Failures of Open, and damage found later, are of type *Error. The sentinels ErrLocked,
// ErrNewerLayout, ErrUnrecognized, ErrCorrupt and ErrQueueFull tell the cases apart with
// errors.Is.
package store
