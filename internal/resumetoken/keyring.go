package resumetoken

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// KeyRing holds the keys of an installation: one signs, all verify. It does not change; a
// rotation makes another.
type KeyRing struct{ keys []*Key } // by SigningStartsAt, the latest first

// NewKeyRing returns a ring of keys. It is an error if there is none or two have the same id.
func NewKeyRing(keys ...*Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("no keys")
	}
	ring := &KeyRing{keys: slices.Clone(keys)}
	slices.SortFunc(ring.keys, compareKeys)
	for i, key := range ring.keys {
		for _, other := range ring.keys[:i] {
			if other.ID == key.ID {
				return nil, fmt.Errorf("key %v: given twice", key.ID)
			}
		}
	}
	return ring, nil
}

// compareKeys orders the latest start of signing first. A tie falls the same way on every node.
func compareKeys(a, b *Key) int {
	if order := b.SigningStartsAt.Compare(a.SigningStartsAt); order != 0 {
		return order
	}
	return int(int64(b.ID) - int64(a.ID))
}

// Get returns the key with the id.
func (r *KeyRing) Get(id KeyID) (*Key, bool) {
	for _, key := range r.keys {
		if key.ID == id {
			return key, true
		}
	}
	return nil, false
}

// SigningKey returns the key that signs now: the latest whose time has come. It is false if
// there is none yet.
func (r *KeyRing) SigningKey(now time.Time) (*Key, bool) {
	for _, key := range r.keys {
		if !key.SigningStartsAt.After(now) {
			return key, true
		}
	}
	return nil, false
}

// Keys returns the keys, the one that signs last first.
func (r *KeyRing) Keys() []*Key { return slices.Clone(r.keys) }
