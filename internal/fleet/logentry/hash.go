package logentry

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Hash is the head of the hash chain: it covers the last entry and all before it.
type Hash [sha256.Size]byte

// MarshalText returns the hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText reads hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("hash: %d digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}
