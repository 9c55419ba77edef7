package store

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Tx and Bucket are aliases of bbolt's types, so that only this package imports bbolt.
type (
	// Tx is a transaction. It is valid until the function that received it returns.
	Tx = bolt.Tx
	// Bucket is a bucket within a transaction.
	Bucket = bolt.Bucket
)

// Options configure how a store is opened.
type Options struct {
	MaxBytes    int           // maximum size of the file; 0 for no limit
	LockTimeout time.Duration // how long to wait for another process's lock; at least 20 ms
	ReadOnly    bool          // leave the file unchanged: no migration, no quarantine
	NoSync      bool          // commits survive a crash of the process, but not of the machine
}

// ID is the identity of a store, chosen at random when the file is created.
type ID [8]byte

// String returns the identity in hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Store is an open store file. Its methods are safe for concurrent use.
type Store struct {
	ID               ID
	QuarantinePath   string // where Open moved an unusable file; empty if there was none
	QuarantineReason error  // why that file was unusable
	db               *bolt.DB
	path             string
}

// Open opens the store at path, or creates it. A file that is corrupt, unrecognized or has a
// newer layout is quarantined, and a store with a new identity is created in its place. With
// Options.ReadOnly such a file is an error instead, and so is a file that is missing or has an
// older layout.
func Open(path string, schema Schema, options Options) (*Store, error) {
	if !options.ReadOnly {
		if err := os.MkdirAll(filepath.Dir(path), dirPermissions); err != nil {
			return nil, &Error{Op: OpOpen, Path: path, Err: err}
		}
	}
	opened, err := open(path, schema, options)
	if err == nil || options.ReadOnly {
		return opened, err
	}
	label, isUnusable := quarantineLabel(err)
	if !isUnusable {
		return nil, err
	}
	quarantinePath, quarantineErr := Quarantine(path, label)
	if quarantineErr != nil {
		return nil, errors.Join(err, quarantineErr)
	}
	reason := err
	if opened, err = open(path, schema, options); err != nil {
		return nil, err
	}
	opened.QuarantinePath, opened.QuarantineReason = quarantinePath, reason
	return opened, nil
}

// open opens or creates the file. It returns an error for an unusable file and leaves it in place.
func open(path string, schema Schema, options Options) (opened *Store, err error) {
	// In a damaged file bbolt may follow references to pages that do not exist. It then
	// panics, or the access to the mapped file is a memory fault.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bolt.DB
	defer func() {
		if fault := recover(); fault != nil {
			opened, err = nil, &Error{Op: OpOpen, Path: path, Err: fmt.Errorf("%w: %v", ErrCorrupt, fault)}
		}
		if err != nil && db != nil {
			_ = db.Close()
		}
	}()
	if err := verifyLocked(path, options); err != nil {
		return nil, openError(path, err)
	}
	db, err = bolt.Open(path, filePermissions, &bolt.Options{
		Timeout:        options.lockTimeout(),
		MaxSize:        options.MaxBytes,
		ReadOnly:       options.ReadOnly,
		NoSync:         options.NoSync,
		FreelistType:   bolt.FreelistMapType,
		NoFreelistSync: true,
	})
	if err != nil {
		return nil, openError(path, classifyBoltError(err))
	}
	opened = &Store{db: db, path: path}
	if err := opened.checkMetadata(schema, options); err != nil {
		return nil, err
	}
	if !options.ReadOnly {
		writeOwner(path)
	}
	return opened, nil
}

// verifyLocked checks the file's structure while it holds the lock, so that no other process
// can write to the file. If another process locks the file after verifyLocked returns, but
// before bolt.Open locks it, bolt.Open reports that.
func verifyLocked(path string, options Options) error {
	lockFile, err := acquireLock(path, options)
	if err != nil {
		return err
	}
	defer func() { _ = lockFile.Close() }()
	return verifyFile(path)
}

// openError returns the error of Open for a cause. For ErrLocked it includes the owner.
func openError(path string, err error) error {
	failure := &Error{Op: OpOpen, Path: path, Err: err}
	if errors.Is(err, ErrLocked) {
		failure.Owner = readOwner(path)
	}
	return failure
}

// classifyBoltError replaces or wraps an error of bolt.Open by the sentinel that applies, if any.
func classifyBoltError(err error) error {
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return ErrLocked
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission):
		return err
	case isCorruption(err):
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return err
}

// isCorruption reports whether an error of bbolt means that the file is damaged. Some of
// these errors have no sentinel in bbolt and are recognized by their text.
func isCorruption(err error) bool {
	for _, corruption := range []error{bolterrors.ErrInvalid, bolterrors.ErrVersionMismatch, bolterrors.ErrChecksum} {
		if errors.Is(err, corruption) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") || strings.Contains(err.Error(), "freepages")
}

// View calls read in a read-only transaction and returns its error. If bbolt meets a damaged
// page, the error is an *Error that wraps ErrCorrupt.
func (s *Store) View(read func(*Tx) error) error {
	return s.recoverFault(OpRead, func() error { return s.db.View(read) })
}

// Update calls write in a transaction and commits it if write returns nil. If Update returns
// nil, the change is durable; if it returns an error, the change has no effect.
func (s *Store) Update(write func(*Tx) error) error {
	return s.recoverFault(OpWrite, func() error { return s.db.Update(write) })
}

// recoverFault calls run and returns an error if bbolt panics or causes a memory fault, as it
// does on a damaged page: a damaged store must not end the process.
func (s *Store) recoverFault(op Operation, run func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = &Error{Op: op, Path: s.path, Err: fmt.Errorf("%w: %v", ErrCorrupt, fault)}
		}
	}()
	return run()
}

// Size returns the file's size in bytes.
func (s *Store) Size() (size int64) {
	_ = s.View(func(tx *Tx) error { size = tx.Size(); return nil })
	return size
}

// Close closes the file and releases its lock.
func (s *Store) Close() error {
	if !s.db.IsReadOnly() {
		_ = os.Remove(ownerPath(s.path))
	}
	return s.db.Close()
}
