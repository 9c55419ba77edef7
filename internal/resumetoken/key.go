package resumetoken

import (
	"crypto/hkdf"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"
	"time"
)

// SecretSize is the length of a key's secret, in bytes.
const SecretSize = 32

// The subkeys' labels in HKDF, which never change.
const (
	subkeyLabelPrefix  = "coralrelay resume v1 "
	tokenSubkeyLabel   = subkeyLabelPrefix + "token"
	bindingSubkeyLabel = subkeyLabelPrefix + "bind"
	peerSubkeyLabel    = subkeyLabelPrefix + "peer"
)

// KeyID names a key among those of an installation.
type KeyID uint32

// String returns the id as eight hexadecimal digits.
func (id KeyID) String() string { return fmt.Sprintf("%08x", uint32(id)) }

// Key authenticates tokens, binds them to clients, and authenticates guards to each other,
// each under a subkey of its own (HKDF, RFC 5869).
type Key struct {
	ID              KeyID
	SigningStartsAt time.Time // it verifies at once, and signs from then on
	tokenSubkey     []byte
	bindingSubkey   []byte
	peerSubkey      []byte
}

// NewKey derives a key from a secret of SecretSize bytes; another length is an error.
func NewKey(id KeyID, signingStartsAt time.Time, secret []byte) (*Key, error) {
	if len(secret) != SecretSize {
		return nil, fmt.Errorf("key %v: secret has %d bytes, want %d", id, len(secret), SecretSize)
	}
	key := &Key{ID: id, SigningStartsAt: signingStartsAt}
	for label, subkey := range map[string]*[]byte{
		tokenSubkeyLabel:   &key.tokenSubkey,
		bindingSubkeyLabel: &key.bindingSubkey,
		peerSubkeyLabel:    &key.peerSubkey,
	} {
		derived, err := hkdf.Key(sha256.New, secret, nil, label, sha256.Size)
		if err != nil {
			return nil, fmt.Errorf("key %v: %w", id, err)
		}
		*subkey = derived
	}
	return key, nil
}

// BindingFor returns the binding to a client with this flow key and group.
func (k *Key) BindingFor(flowKey, group string) (binding Binding) {
	mac := hmac.New(sha256.New, k.bindingSubkey)
	writeLengthPrefixed(mac, flowKey)
	mac.Write([]byte(group))
	copy(binding[:], mac.Sum(nil))
	return binding
}

// PeerMAC authenticates a message between guards: HMAC-SHA-256 truncated to 128 bits.
func (k *Key) PeerMAC(parts ...string) []byte {
	mac := hmac.New(sha256.New, k.peerSubkey)
	for _, part := range parts {
		writeLengthPrefixed(mac, part)
	}
	return mac.Sum(nil)[:macSize]
}

// tokenMAC authenticates a token's bytes: HMAC-SHA-256 truncated to 128 bits (RFC 2104,
// section 5).
func (k *Key) tokenMAC(sealed []byte) []byte {
	mac := hmac.New(sha256.New, k.tokenSubkey)
	mac.Write(sealed)
	return mac.Sum(nil)[:macSize]
}

// writeLengthPrefixed writes a text behind its length, so that no two lists of texts give the
// same bytes.
func writeLengthPrefixed(mac hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	mac.Write(length[:])
	mac.Write([]byte(text))
}
