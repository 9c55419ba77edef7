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

// Tx and Bucket are bbolt's, so that only this package imports it.
type (
	// Tx is a transaction, valid until the function that was given it returns.
	Tx = bolt.Tx
	// Bucket is a bucket of a transaction.
	Bucket = bolt.Bucket
)

// Options bound a store.
type Options struct {
	MaxBytes    int           // greatest size of the file; 0 for no bound
	LockTimeout time.Duration // how long another process's lock is waited for; 20 ms at least
	ReadOnly    bool          // change nothing: no migration, no quarantine
	NoSync      bool          // commits survive a crash of the process, but not of the machine
}

// ID is a store's identity, drawn at random when its file is created.
type ID [8]byte

// String returns the identity in hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Store is one open file. Its methods may be called from several goroutines.
type Store struct {
	ID               ID
	QuarantinePath   string // where Open moved a file that it could not use; empty if there was none
	QuarantineReason error  // why that file could not be used
	db               *bolt.DB
	path             string
}

// Open opens the store at path, or creates one. A file that is corrupt, unrecognized or has a
// newer layout is quarantined, and a new store with an identity of its own is created in its
// place. With Options.ReadOnly such a file is an error instead, as is one that is missing or
// has an older layout.
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

// open opens or creates the file, without quarantine.
func open(path string, schema Schema, options Options) (opened *Store, err error) {
	// A damaged file may send bbolt to pages that don't exist, which panics or, in the
	// mapped file, faults.
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

// verifyLocked checks the file's structure while no other process can write to it. One may
// come between its return and bbolt's own lock, which then reports that.
func verifyLocked(path string, options Options) error {
	lockFile, err := acquireLock(path, options)
	if err != nil {
		return err
	}
	defer func() { _ = lockFile.Close() }()
	return verifyFile(path)
}

// openError is the error of Open; for ErrLocked it names the owner.
func openError(path string, err error) error {
	failure := &Error{Op: OpOpen, Path: path, Err: err}
	if errors.Is(err, ErrLocked) {
		failure.Owner = readOwner(path)
	}
	return failure
}

// classifyBoltError adds the sentinel that applies to an error of bolt.Open.
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
// these errors have no sentinel.
func isCorruption(err error) bool {
	for _, corruption := range []error{bolterrors.ErrInvalid, bolterrors.ErrVersionMismatch, bolterrors.ErrChecksum} {
		if errors.Is(err, corruption) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") || strings.Contains(err.Error(), "freepages")
}

// View calls read in a read-only transaction, and returns its error. Damage that is found on
// the way is an *Error that wraps ErrCorrupt.
func (s *Store) View(read func(*Tx) error) error {
	return s.recoverFault(OpRead, func() error { return s.db.View(read) })
}

// Update calls write in a transaction and commits it if write returns nil. The change is
// durable when Update returns nil, and without effect if it returns an error.
func (s *Store) Update(write func(*Tx) error) error {
	return s.recoverFault(OpWrite, func() error { return s.db.Update(write) })
}

// recoverFault turns what a damaged page makes bbolt do, a panic or a memory fault, into an
// error: a store that is found damaged must not end the process.
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
