package store

import "errors"

var (
	// ErrLocked means that another process has the file open.
	ErrLocked = errors.New("store is locked by another process")
	// ErrNewerLayout means that a later release wrote the file.
	ErrNewerLayout = errors.New("store was written by a later release")
	// ErrUnrecognized means that the file is not a store, or is a store of another kind.
	ErrUnrecognized = errors.New("file is not a store of this kind")
	// ErrCorrupt means that the file is damaged.
	ErrCorrupt = errors.New("store is corrupt")
	// ErrQueueFull means that a write was rejected because the queue of its Writer is full.
	ErrQueueFull = errors.New("store: write queue is full")
)

// Operation is a kind of operation on a store file, as named in an Error.
type Operation string

// Operations that can fail with an Error.
const (
	OpOpen       Operation = "open"
	OpMigrate    Operation = "migrate"
	OpQuarantine Operation = "quarantine"
	OpRead       Operation = "read"
	OpWrite      Operation = "write"
)

// Error is a failed operation on a store file. Err is or wraps the sentinel that applies. If
// none does, it is the error of the operating system or of bbolt.
type Error struct {
	Op    Operation
	Path  string
	Owner string // set with ErrLocked: the process that has the file open; empty if unknown
	Err   error
}

// Error returns the operation, the path, the cause and, if known, the owner of the file.
func (e *Error) Error() string {
	text := string(e.Op) + " store " + e.Path + ": " + e.Err.Error()
	if e.Owner != "" {
		text += ": " + e.Owner
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
