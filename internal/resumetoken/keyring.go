package resumetoken

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"time"
)

// SecretSize is the length of a key's secret, in bytes.
const SecretSize = 32

// KeyID names a key among those of an installation.
type KeyID uint32

// String is the id as eight hexadecimal digits.
func (id KeyID) String() string { return fmt.Sprintf("%08x", uint32(id)) }

// Key seals tokens, binds them to clients and authenticates ledgers to each
// other, each under a subkey of its own (HKDF, RFC 5869).
type Key struct {
	ID              KeyID
	SigningStartsAt time.Time // it verifies at once, and signs from then on
	tokenSubkey     []byte
	bindingSubkey   []byte
	peerSubkey      []byte
}

// NewKey derives a key from a secret of SecretSize bytes.
func NewKey(id KeyID, signsFrom time.Time, secret []byte) (*Key, error) {
	if len(secret) != SecretSize {
		return nil, fmt.Errorf("key %v: secret has %d bytes, want %d", id, len(secret), SecretSize)
	}
	key := &Key{ID: id, SigningStartsAt: signsFrom}
	for label, subkey := range map[string]*[]byte{"token": &key.tokenSubkey, "bind": &key.bindingSubkey, "peer": &key.peerSubkey} {
		derived, err := hkdf.Key(sha256.New, secret, nil, "coralrelay resume v1 "+label, sha256.Size)
		if err != nil {
			return nil, fmt.Errorf("key %v: %w", id, err)
		}
		*subkey = derived
	}
	return key, nil
}

// Bind returns the binding to a client.
func (k *Key) BindingFor(flowKey, group string) (binding Binding) {
	mac := hmac.New(sha256.New, k.bindingSubkey)
	var length [8]byte // so that no two pairs give the same bytes
	binary.BigEndian.PutUint64(length[:], uint64(len(flowKey)))
	mac.Write(length[:])
	mac.Write([]byte(flowKey))
	mac.Write([]byte(group))
	copy(binding[:], mac.Sum(nil))
	return binding
}

// Peer authenticates what one ledger says to another.
func (k *Key) PeerMAC(parts ...string) []byte {
	mac := hmac.New(sha256.New, k.peerSubkey)
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	return mac.Sum(nil)[:macSize]
}

// Ring holds the keys of an installation: one signs, all verify. It does not
// change; a rotation makes another.
type KeyRing struct{ keys []*Key } // by SignsFrom, the latest first

// NewRing returns a ring of keys.
func NewKeyRing(keys ...*Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("no keys")
	}
	ring := &KeyRing{keys: slices.Clone(keys)}
	slices.SortFunc(ring.keys, func(a, b *Key) int {
		if c := b.SigningStartsAt.Compare(a.SigningStartsAt); c != 0 {
			return c
		}
		return int(int64(b.ID) - int64(a.ID)) // a tie falls the same way on every node
	})
	for i, key := range ring.keys {
		for _, other := range ring.keys[:i] {
			if other.ID == key.ID {
				return nil, fmt.Errorf("key %v: given twice", key.ID)
			}
		}
	}
	return ring, nil
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

// Signer returns the key that signs now: the latest whose time has come.
func (r *KeyRing) SigningKey(now time.Time) (*Key, bool) {
	for _, key := range r.keys {
		if !key.SigningStartsAt.After(now) {
			return key, true
		}
	}
	return nil, false
}

// Keys lists the keys, that which signs last first.
func (r *KeyRing) Keys() []*Key { return slices.Clone(r.keys) }
