package logentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash is the head of the hash chain. It covers the last entry and all entries before it.
type Hash [sha256.Size]byte

// MarshalText encodes the hash as hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText decodes a hash from hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("hash: %d digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}
