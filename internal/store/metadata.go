package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
)

// The bucket that every store has, and its keys. They are part of the file format.
var (
	metadataBucket   = []byte("meta")
	kindKey          = []byte("kind")
	layoutVersionKey = []byte("layout")
	idKey            = []byte("id")
)

// uint64Size is the size of a number in the file, in bytes; numbers are big endian.
const uint64Size = 8

// Schema is what one kind of store holds.
type Schema struct {
	// Kind is a name such as "ledger". A file of another kind is not recognized.
	Kind string
	// Migrations make the layouts: the first makes layout 1 in an empty file, each other
	// one turns a layout into the next. The last one makes the current layout.
	Migrations []func(*Tx) error
}

// currentLayout is the layout version that the migrations lead to.
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
		err := fmt.Errorf("layout %d, not yet brought to %d", layout, schema.currentLayout())
		return &Error{Op: OpOpen, Path: s.path, Err: err}
	}
	if err := s.db.Update(func(tx *Tx) error { return s.migrate(tx, schema, layout) }); err != nil {
		return &Error{Op: OpMigrate, Path: s.path, Err: err}
	}
	return nil
}

// readMetadata sets the store's identity and returns the file's layout version, which is 0
// for an empty file.
func (s *Store) readMetadata(tx *Tx, schema Schema) (layout uint64, err error) {
	metadata := tx.Bucket(metadataBucket)
	if metadata == nil {
		if name, _ := tx.Cursor().First(); name != nil {
			return 0, ErrUnrecognized
		}
		return 0, nil
	}
	if kind := string(metadata.Get(kindKey)); kind != schema.Kind {
		return 0, fmt.Errorf("%w: it is %.40q, not %q", ErrUnrecognized, kind, schema.Kind)
	}
	encodedLayout, id := metadata.Get(layoutVersionKey), metadata.Get(idKey)
	if len(encodedLayout) != uint64Size || len(id) != len(s.ID) {
		return 0, fmt.Errorf("%w: no layout or identity", ErrCorrupt)
	}
	layout = binary.BigEndian.Uint64(encodedLayout)
	copy(s.ID[:], id)
	if layout > schema.currentLayout() {
		return 0, fmt.Errorf("%w: layout %d, this one knows %d", ErrNewerLayout, layout, schema.currentLayout())
	}
	return layout, nil
}

// migrate turns the layout into the current one. A file of layout 0 gets its kind and a
// random identity.
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
			return fmt.Errorf("to layout %d: %w", layout+1, err)
		}
	}
	return metadata.Put(layoutVersionKey, binary.BigEndian.AppendUint64(nil, layout))
}

// Layout returns the layout version that the file has; 0 if it can't be read.
func (s *Store) Layout() (layout uint64) {
	_ = s.View(func(tx *Tx) error {
		if encoded := tx.Bucket(metadataBucket).Get(layoutVersionKey); len(encoded) == uint64Size {
			layout = binary.BigEndian.Uint64(encoded)
		}
		return nil
	})
	return layout
}
