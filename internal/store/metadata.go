package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
)

// The metadata bucket of every store and its keys. They are part of the file format.
var (
	metadataBucket   = []byte("meta")
	kindKey          = []byte("kind")
	layoutVersionKey = []byte("layout")
	idKey            = []byte("id")
)

// uint64Size is the size of a stored number, in bytes. Numbers are stored in big-endian order.
const uint64Size = 8

// Schema describes a kind of store.
type Schema struct {
	// Kind is a name such as "ledger". Open treats a file of another kind as unrecognized.
	Kind string
	// Migrations create and upgrade the layout: the first creates layout 1 in an empty
	// file, each later one upgrades the file by one layout version. The last one leads to
	// the current layout.
	Migrations []func(*Tx) error
}

// currentLayout returns the layout version that the migrations lead to.
func (s Schema) currentLayout() uint64 { return uint64(len(s.Migrations)) }

// checkMetadata reads the file's identity, and migrates the file to the current layout.
func (s *Store) checkMetadata(schema Schema, options Options) error {
	var layout uint64
	err := s.db.View(func(tx *Tx) (err error) {
		layout, err = s.readMetadata(tx, schema)
		return err
	})
	if err != nil {
		return &Error{Op: OpOpen, Path: s.path, Err: err}
	}
	if layout == schema.currentLayout() {
		return nil
	}
	if options.ReadOnly {
		err := fmt.Errorf("layout %d is not migrated to %d", layout, schema.currentLayout())
		return &Error{Op: OpOpen, Path: s.path, Err: err}
	}
	if err := s.db.Update(func(tx *Tx) error { return s.migrate(tx, schema, layout) }); err != nil {
		return &Error{Op: OpMigrate, Path: s.path, Err: err}
	}
	return nil
}

// readMetadata sets the store's identity and returns the layout version of the file, which is 0
// if the file is empty.
func (s *Store) readMetadata(tx *Tx, schema Schema) (layout uint64, err error) {
	metadata := tx.Bucket(metadataBucket)
	if metadata == nil {
		if name, _ := tx.Cursor().First(); name != nil {
			return 0, ErrUnrecognized
		}
		return 0, nil
	}
	if kind := string(metadata.Get(kindKey)); kind != schema.Kind {
		return 0, fmt.Errorf("%w: kind is %.40q, want %q", ErrUnrecognized, kind, schema.Kind)
	}
	encodedLayout, id := metadata.Get(layoutVersionKey), metadata.Get(idKey)
	if len(encodedLayout) != uint64Size || len(id) != len(s.ID) {
		return 0, fmt.Errorf("%w: layout version or identity is missing", ErrCorrupt)
	}
	layout = binary.BigEndian.Uint64(encodedLayout)
	copy(s.ID[:], id)
	if layout > schema.currentLayout() {
		return 0, fmt.Errorf("%w: layout %d, this release supports up to %d",
			ErrNewerLayout, layout, schema.currentLayout())
	}
	return layout, nil
}

// migrate upgrades the file from the given layout to the current one. A file of layout 0 gets
// its kind and a random identity.
func (s *Store) migrate(tx *Tx, schema Schema, layout uint64) error {
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
	for ; layout < schema.currentLayout(); layout++ {
		if err := schema.Migrations[layout](tx); err != nil {
			return fmt.Errorf("migration to layout %d: %w", layout+1, err)
		}
	}
	return metadata.Put(layoutVersionKey, binary.BigEndian.AppendUint64(nil, layout))
}

// Layout returns the layout version of the file, or 0 if it cannot be read.
func (s *Store) Layout() (layout uint64) {
	_ = s.View(func(tx *Tx) error {
		if encoded := tx.Bucket(metadataBucket).Get(layoutVersionKey); len(encoded) == uint64Size {
			layout = binary.BigEndian.Uint64(encoded)
		}
		return nil
	})
	return layout
}
