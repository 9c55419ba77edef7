package resumetoken

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// KeyRing holds the keys of an installation. At any time one key signs and all of them verify.
// A ring is immutable; a key rotation creates a new one.
type KeyRing struct{ keys []*Key } // sorted by SigningStartsAt, the latest first

// NewKeyRing returns a ring of the given keys. It is an error if there are none or if two of them
// have the same id.
func NewKeyRing(keys ...*Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("key ring has no keys")
	}
	ring := &KeyRing{keys: slices.Clone(keys)}
	slices.SortFunc(ring.keys, compareKeys)
	for i, key := range ring.keys {
		for _, other := range ring.keys[:i] {
			if other.ID == key.ID {
				return nil, fmt.Errorf("key %v: duplicate id", key.ID)
			}
		}
	}
	return ring, nil
}

// compareKeys sorts by the start of signing, the latest first. Keys with the same start are
// sorted by id, so that all nodes choose the same signing key.
func compareKeys(a, b *Key) int {
	if order := b.SigningStartsAt.Compare(a.SigningStartsAt); order != 0 {
		return order
	}
	return int(int64(b.ID) - int64(a.ID))
}

// Get returns the key with the given id, and false if the ring does not contain it.
func (r *KeyRing) Get(id KeyID) (*Key, bool) {
	for _, key := range r.keys {
		if key.ID == id {
			return key, true
		}
	}
	return nil, false
}

// SigningKey returns the key that signs at the time now, which is the one whose signing started
// last. It returns false if no key signs yet.
func (r *KeyRing) SigningKey(now time.Time) (*Key, bool) {
	for _, key := range r.keys {
		if !key.SigningStartsAt.After(now) {
			return key, true
		}
	}
	return nil, false
}

// Keys returns the keys, sorted by the start of signing, the latest first.
func (r *KeyRing) Keys() []*Key { return slices.Clone(r.keys) }
