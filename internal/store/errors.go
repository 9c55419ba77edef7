package store

import "errors"

var (
	// ErrLocked means that another process has the file open.
	ErrLocked = errors.New("store is held by another process")
	// ErrNewerLayout means that a later release wrote the file.
	ErrNewerLayout = errors.New("store was written by a later release")
	// ErrUnrecognized means that the file is no store, or a store of another kind.
	ErrUnrecognized = errors.New("file is no store of this kind")
	// ErrCorrupt means that the store is damaged.
	ErrCorrupt = errors.New("store is damaged")
	// ErrQueueFull means that a Writer has as many writes waiting as its queue holds.
	ErrQueueFull = errors.New("store: too much waits to be written")
)

// Operation is what was being done to a store's file when it failed.
type Operation string

// The operations.
const (
	OpOpen       Operation = "open"
	OpMigrate    Operation = "migrate"
	OpQuarantine Operation = "quarantine"
	OpRead       Operation = "read"
	OpWrite      Operation = "write"
)

// Error is a failed operation on a store's file. Err is or wraps one of the sentinels where
// one applies, else it is the error of the operating system or of bbolt.
type Error struct {
	Op    Operation
	Path  string
	Owner string // with ErrLocked: the process that has the file open; empty if unknown
	Err   error
}

// Error names the operation, the file, the cause and, if known, the file's owner.
func (e *Error) Error() string {
	text := string(e.Op) + " store " + e.Path + ": " + e.Err.Error()
	if e.Owner != "" {
		text += ": " + e.Owner
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
