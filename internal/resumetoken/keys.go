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
	token           []byte
	bind            []byte
	peer            []byte
}

// NewKey derives a key from a secret of SecretSize bytes.
func NewKey(id KeyID, signsFrom time.Time, secret []byte) (*Key, error) {
	if len(secret) != SecretSize {
		return nil, fmt.Errorf("key %v: secret has %d bytes, want %d", id, len(secret), SecretSize)
	}
	k := &Key{ID: id, SigningStartsAt: signsFrom}
	for use, to := range map[string]*[]byte{"token": &k.token, "bind": &k.bind, "peer": &k.peer} {
		sub, err := hkdf.Key(sha256.New, secret, nil, "coralrelay resume v1 "+use, sha256.Size)
		if err != nil {
			return nil, fmt.Errorf("key %v: %w", id, err)
		}
		*to = sub
	}
	return k, nil
}

// Bind returns the binding to a client.
func (k *Key) BindingFor(flowKey, group string) (b Binding) {
	m := hmac.New(sha256.New, k.bind)
	var size [8]byte // so that no two pairs give the same bytes
	binary.BigEndian.PutUint64(size[:], uint64(len(flowKey)))
	m.Write(size[:])
	m.Write([]byte(flowKey))
	m.Write([]byte(group))
	copy(b[:], m.Sum(nil))
	return b
}

// Peer authenticates what one ledger says to another.
func (k *Key) PeerMAC(parts ...string) []byte {
	m := hmac.New(sha256.New, k.peer)
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		m.Write(size[:])
		m.Write([]byte(p))
	}
	return m.Sum(nil)[:macSize]
}

// Ring holds the keys of an installation: one signs, all verify. It does not
// change; a rotation makes another.
type KeyRing struct{ keys []*Key } // by SignsFrom, the latest first

// NewRing returns a ring of keys.
func NewKeyRing(keys ...*Key) (*KeyRing, error) {
	if len(keys) == 0 {
		return nil, errors.New("no keys")
	}
	r := &KeyRing{keys: slices.Clone(keys)}
	slices.SortFunc(r.keys, func(a, b *Key) int {
		if c := b.SigningStartsAt.Compare(a.SigningStartsAt); c != 0 {
			return c
		}
		return int(int64(b.ID) - int64(a.ID)) // a tie falls the same way on every node
	})
	for i, k := range r.keys {
		for _, other := range r.keys[:i] {
			if other.ID == k.ID {
				return nil, fmt.Errorf("key %v: given twice", k.ID)
			}
		}
	}
	return r, nil
}

// Get returns the key with the id.
func (r *KeyRing) Get(id KeyID) (*Key, bool) {
	for _, k := range r.keys {
		if k.ID == id {
			return k, true
		}
	}
	return nil, false
}

// Signer returns the key that signs now: the latest whose time has come.
func (r *KeyRing) SigningKey(now time.Time) (*Key, bool) {
	for _, k := range r.keys {
		if !k.SigningStartsAt.After(now) {
			return k, true
		}
	}
	return nil, false
}

// Keys lists the keys, that which signs last first.
func (r *KeyRing) Keys() []*Key { return slices.Clone(r.keys) }
