// Package entry is what the fleet's record holds: typed entries, a chain of hashes over
// them, and the state that they add up to. Members who have applied the same entries hold
// the same state, byte for byte: applying reads no clock and no map's order. It does no
// I/O and starts no goroutine.
package logentry

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/zonestatus"
)

// Kind is what an entry changes.
type Kind string

// The kinds of entry. Settings is reserved: no entry of it is taken yet.
const (
	KindZones     Kind = "zones"
	KindAccounts  Kind = "accounts"
	KindContracts Kind = "contracts"
	KindSettings  Kind = "settings"
)

// Largest is how long an entry may be, in bytes of JSON.
const MaxSize = 256 << 10

// Entry is one change as it is proposed. Its zero Key is nobody's: such an entry is a
// member's own decision, which only zones and allocations may be.
type Entry struct {
	Kind       Kind            `json:"kind"`
	ProposedBy string          `json:"by"`            // the member that took it
	ProposedAt int64           `json:"at"`            // Unix ms by the proposer's clock; nobody else's is read
	Reason     string          `json:"why,omitempty"` // for people
	KeyName    string          `json:"key,omitempty"` // name of the key that signs it
	Signature  []byte          `json:"sig,omitempty"` // of Signed, Ed25519
	Body       json.RawMessage `json:"body"`          // a Change of the kind's room
}

// Signed is what a signature is over. By is left out: who signs does not know which member
// takes it. The body counts as encoding/json writes it, as that is how it travels.
func (e *Entry) SignedBytes() []byte {
	var buffer bytes.Buffer
	body, err := json.Marshal(e.Body)
	if err != nil {
		body = e.Body // no JSON, and never taken
	}
	for _, field := range [][]byte{[]byte("coralrelay-entry-1"), []byte(e.Kind), []byte(e.Reason), []byte(e.KeyName), body} {
		_ = binary.Write(&buffer, binary.BigEndian, uint32(len(field)))
		buffer.Write(field)
	}
	_ = binary.Write(&buffer, binary.BigEndian, e.ProposedAt)
	return buffer.Bytes()
}

// Genesis is what all members are given alike before the first entry. Members who differ in
// it have other hashes from the start, and never take each other's entries.
type Genesis struct {
	RootKey        []byte                 `json:"root,omitempty"` // public key of who may found accounts; empty for nobody
	Zones          zonestatus.Config      `json:"zone"`
	DisabledChecks account.DisabledChecks `json:"-"` // of accounts, for a rig; each member's own
}

// Hash is of a chain: of its last entry and of all before it.
type Hash [sha256.Size]byte

// MarshalText writes it in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText reads it.
func (h *Hash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("hash: %d digits, want %d", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Strict reads one JSON value, all of whose names are known.
func UnmarshalStrict(raw []byte, value any) error {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("more than one value")
	}
	return nil
}
