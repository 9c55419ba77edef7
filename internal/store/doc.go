// Package store opens the embedded database; no other package does so. A store is a bbolt file
// with an identity, a kind, a layout version with migrations and a maximum size. A Writer
// commits changes in batches.
//
// A file that is corrupt, of another kind, or written by a later release is never used and
// never deleted. Open moves it to a quarantine path, creates an empty store in its place, and
// reports both in Store.QuarantinePath and Store.QuarantineReason.
//
// The package starts no goroutine. Writer.Run works in its caller's goroutine and returns
// after the context ends.
//
// Failures of Open, and damage that is found later, are returned as *Error. errors.Is tells
// the cases apart by the sentinels ErrLocked, ErrNewerLayout, ErrUnrecognized, ErrCorrupt and
// ErrQueueFull.
package store
