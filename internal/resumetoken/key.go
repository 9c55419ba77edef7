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

// SecretSize is the size of the secret of a key, in bytes.
const SecretSize = 32

// The HKDF labels of the subkeys. They must never change, or existing keys would derive other
// subkeys.
const (
	subkeyLabelPrefix  = "coralrelay resume v1 "
	tokenSubkeyLabel   = subkeyLabelPrefix + "token"
	bindingSubkeyLabel = subkeyLabelPrefix + "bind"
	peerSubkeyLabel    = subkeyLabelPrefix + "peer"
)

// KeyID identifies a key of an installation.
type KeyID uint32

// String returns the id as eight hexadecimal digits.
func (id KeyID) String() string { return fmt.Sprintf("%08x", uint32(id)) }

// Key authenticates tokens, binds them to clients, and authenticates the messages between
// guards. Each purpose has its own subkey (HKDF, RFC 5869).
type Key struct {
	ID              KeyID
	SigningStartsAt time.Time // from then on it signs; it verifies at any time
	tokenSubkey     []byte
	bindingSubkey   []byte
	peerSubkey      []byte
}

// NewKey derives a key from a secret. It is an error if the secret does not have SecretSize
// bytes.
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

// BindingFor returns the binding of a token to the client with this flow key and group.
func (k *Key) BindingFor(flowKey, group string) (binding Binding) {
	mac := hmac.New(sha256.New, k.bindingSubkey)
	writeLengthPrefixed(mac, flowKey)
	mac.Write([]byte(group))
	copy(binding[:], mac.Sum(nil))
	return binding
}

// PeerMAC returns the MAC of a message between guards: HMAC-SHA-256 truncated to 128 bits.
func (k *Key) PeerMAC(parts ...string) []byte {
	mac := hmac.New(sha256.New, k.peerSubkey)
	for _, part := range parts {
		writeLengthPrefixed(mac, part)
	}
	return mac.Sum(nil)[:macSize]
}

// tokenMAC returns the MAC of the encoded fields of a token: HMAC-SHA-256 truncated to 128 bits
// (RFC 2104, section 5).
func (k *Key) tokenMAC(payload []byte) []byte {
	mac := hmac.New(sha256.New, k.tokenSubkey)
	mac.Write(payload)
	return mac.Sum(nil)[:macSize]
}

// writeLengthPrefixed writes the length of a text and then the text. The length ensures that
// different lists of texts are never written as the same bytes.
func writeLengthPrefixed(mac hash.Hash, text string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(text)))
	mac.Write(length[:])
	mac.Write([]byte(text))
}
