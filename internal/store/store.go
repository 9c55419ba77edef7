// Package store is the one place that opens the embedded store: bbolt files with
// an identity, a layout version and migrations, one writer that commits in
// groups, and a greatest size.
//
// A file that can't be trusted is never dropped silently and never used: it is
// set aside under another name and reported.
package store

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"time"

	bolt "go.etcd.io/bbolt"
)

// Tx and Bucket are the store's own, as bbolt has them.
type (
	Tx     = bolt.Tx
	Bucket = bolt.Bucket
)

// Schema is what one kind of store holds.
type Schema struct {
	Kind       string            // such as "ledger"; a file of another kind is foreign
	Migrations []func(*Tx) error // the first makes layout 1 from nothing, each other the next layout
}

// Options bound a store.
type Options struct {
	MaxBytes    int           // of the file; 0 for no bound
	LockTimeout time.Duration // for another process to let the file go; at least a moment is waited
	ReadOnly    bool          // look, change nothing; migrations are not made
	NoSync      bool          // commits survive a crash of the process, but not of the machine
}

// ID is a store's identity, drawn when its file is made.
type ID [8]byte

// Store is one open file.
type Store struct {
	ID               ID
	QuarantinePath   string // where an untrusted file was moved; empty if there was none
	QuarantineReason error  // what was wrong with that file
	db               *bolt.DB
	ownerPath        string // the file that tells who has it
}

var (
	// ErrHeld is that another process has the file open.
	ErrLocked = errors.New("store is held by another process")
	// ErrNewer is that a later release wrote the file. It is set aside too.
	ErrNewerLayout = errors.New("store was written by a later release")
	// ErrForeign is a file that is no store, or one of another kind.
	ErrUnrecognized = errors.New("file is no store of this kind")
	// ErrTorn is a store that is damaged.
	ErrCorrupt = errors.New("store is damaged")
)

var (
	metadataBucket   = []byte("meta")
	kindKey          = []byte("kind")
	layoutVersionKey = []byte("layout")
	idKey            = []byte("id")
)

// Open opens the store at path, or makes one. A file that is torn, foreign or
// newer is set aside and a fresh store made in its place, which has another ID;
// Aside and Why tell of it. With ReadOnly it is an error instead.
func Open(path string, schema Schema, options Options) (*Store, error) {
	if !options.ReadOnly {
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return nil, fmt.Errorf("store %s: %w", path, err)
		}
	}
	s, err := open(path, schema, options)
	if err == nil || options.ReadOnly || !needsQuarantine(err) {
		return s, err
	}
	quarantinePath, quarantineErr := quarantine(path, err)
	if quarantineErr != nil {
		return nil, errors.Join(err, quarantineErr)
	}
	reason := err
	if s, err = open(path, schema, options); err != nil {
		return nil, err
	}
	s.QuarantinePath, s.QuarantineReason = quarantinePath, reason
	return s, nil
}

func needsQuarantine(err error) bool {
	return errors.Is(err, ErrCorrupt) || errors.Is(err, ErrUnrecognized) || errors.Is(err, ErrNewerLayout)
}

// setAside moves the file to a name of its own that tells why.
func quarantine(path string, reason error) (string, error) {
	suffix := "torn"
	switch {
	case errors.Is(reason, ErrNewerLayout):
		suffix = "newer"
	case errors.Is(reason, ErrUnrecognized):
		suffix = "foreign"
	}
	for attempt := 1; ; attempt++ {
		quarantinePath := fmt.Sprintf("%s.%s-%d", path, suffix, attempt)
		// Link fails where the name is taken, which a rename would overwrite.
		err := os.Link(path, quarantinePath)
		if errors.Is(err, os.ErrExist) {
			continue
		}
		if err != nil {
			return "", fmt.Errorf("store %s: set aside: %w", path, err)
		}
		return quarantinePath, os.Remove(path)
	}
}

func open(path string, schema Schema, options Options) (s *Store, err error) {
	// A damaged file may send bbolt to pages that are not there, which panics or,
	// in the mapped file, faults. So it is inspected first, under the lock, that
	// nobody writes meanwhile.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	var db *bolt.DB
	defer func() {
		if fault := recover(); fault != nil {
			s, err = nil, fmt.Errorf("store %s: %w: %v", path, ErrCorrupt, fault)
		}
		if err != nil && db != nil {
			_ = db.Close()
		}
	}()
	ownerPath := path + ".owner"
	lockFile, err := acquireLock(path, options)
	if err != nil {
		return nil, fmt.Errorf("store %s: %w%s", path, err, describeOwner(ownerPath))
	}
	err = verifyFile(path)
	_ = lockFile.Close() // another process may come between: then bbolt's own lock tells
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: max(options.LockTimeout, 20*time.Millisecond), MaxSize: options.MaxBytes,
		ReadOnly: options.ReadOnly, NoSync: options.NoSync, FreelistType: bolt.FreelistMapType, NoFreelistSync: true})
	switch {
	case errors.Is(err, bolt.ErrTimeout):
		return nil, fmt.Errorf("store %s: %w%s", path, ErrLocked, describeOwner(ownerPath))
	case errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission):
		return nil, fmt.Errorf("store %s: %w", path, err)
	case err != nil && isCorruption(err):
		return nil, fmt.Errorf("store %s: %w: %w", path, ErrCorrupt, err)
	case err != nil:
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	s = &Store{db: db, ownerPath: ownerPath}
	if err := s.checkMetadata(path, schema, options); err != nil {
		return nil, err
	}
	if !options.ReadOnly {
		ownerText := fmt.Sprintf("pid %d (%s)\n", os.Getpid(), filepath.Base(os.Args[0]))
		_ = os.WriteFile(ownerPath, []byte(ownerText), 0o600) // only for people
	}
	return s, nil
}

func isCorruption(err error) bool {
	for _, corruption := range []error{bolt.ErrInvalid, bolt.ErrVersionMismatch, bolt.ErrChecksum} {
		if errors.Is(err, corruption) {
			return true
		}
	}
	return strings.Contains(err.Error(), "file size too small") || strings.Contains(err.Error(), "freepages")
}

// who tells who has the store, as far as is known.
func describeOwner(path string) string {
	text, err := os.ReadFile(path)
	if err != nil || len(text) == 0 {
		return ""
	}
	return ": " + strings.TrimSpace(string(text[:min(len(text), 200)]))
}

// identify checks kind and layout, and brings the layout up to date.
func (s *Store) checkMetadata(path string, schema Schema, options Options) error {
	layout := uint64(0)
	err := s.db.View(func(tx *Tx) error {
		metadata := tx.Bucket(metadataBucket)
		if metadata == nil {
			if k, _ := tx.Cursor().First(); k != nil {
				return ErrUnrecognized
			}
			return nil
		}
		if kind := string(metadata.Get(kindKey)); kind != schema.Kind {
			return fmt.Errorf("%w: it is %.40q, not %q", ErrUnrecognized, kind, schema.Kind)
		}
		layoutBytes, id := metadata.Get(layoutVersionKey), metadata.Get(idKey)
		if len(layoutBytes) != 8 || len(id) != len(s.ID) {
			return fmt.Errorf("%w: no layout or identity", ErrCorrupt)
		}
		layout = binary.BigEndian.Uint64(layoutBytes)
		copy(s.ID[:], id)
		if layout > uint64(len(schema.Migrations)) {
			return fmt.Errorf("%w: layout %d, this one knows %d", ErrNewerLayout, layout, len(schema.Migrations))
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("store %s: %w", path, err)
	}
	if layout == uint64(len(schema.Migrations)) {
		return nil
	}
	if options.ReadOnly {
		return fmt.Errorf("store %s: layout %d, not yet brought to %d", path, layout, len(schema.Migrations))
	}
	err = s.db.Update(func(tx *Tx) error {
		metadata, err := tx.CreateBucketIfNotExists(metadataBucket)
		if err != nil {
			return err
		}
		if layout == 0 {
			_, _ = rand.Read(s.ID[:])
			if err := errors.Join(metadata.Put(idKey, s.ID[:]), metadata.Put(kindKey, []byte(schema.Kind))); err != nil {
				return err
			}
		}
		for ; layout < uint64(len(schema.Migrations)); layout++ {
			if err := schema.Migrations[layout](tx); err != nil {
				return fmt.Errorf("to layout %d: %w", layout+1, err)
			}
		}
		return metadata.Put(layoutVersionKey, binary.BigEndian.AppendUint64(nil, layout))
	})
	if err != nil {
		return fmt.Errorf("store %s: migration: %w", path, err)
	}
	return nil
}

// Layout is the layout that the file has.
func (s *Store) Layout() (layout uint64) {
	_ = s.View(func(tx *Tx) error {
		if b := tx.Bucket(metadataBucket).Get(layoutVersionKey); len(b) == 8 {
			layout = binary.BigEndian.Uint64(b)
		}
		return nil
	})
	return layout
}

// View reads.
func (s *Store) View(f func(*Tx) error) error {
	return recoverFault(func() error { return s.db.View(f) })
}

// Update writes one transaction; it is durable when Update returns without error.
func (s *Store) Update(f func(*Tx) error) error {
	return recoverFault(func() error { return s.db.Update(f) })
}

// guard turns what a damaged page does to bbolt into an error: one store that goes
// bad must not end the node.
func recoverFault(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w: %v", ErrCorrupt, fault)
		}
	}()
	return f()
}

// Size is the file's size in bytes.
func (s *Store) Size() (size int64) {
	_ = s.View(func(tx *Tx) error { size = tx.Size(); return nil })
	return size
}

// Close lets the file go.
func (s *Store) Close() error {
	if !s.db.IsReadOnly() {
		_ = os.Remove(s.ownerPath)
	}
	return s.db.Close()
}

// String is the identity in hexadecimal digits.
func (id ID) String() string { return hex.EncodeToString(id[:]) }
