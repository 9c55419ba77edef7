// Package logentry defines what the fleet's replicated log holds: typed entries, a hash
// chain over them, and the state that they add up to. Members that have applied the same
// entries hold the same state, byte for byte: applying depends on no clock and on no map's
// order. The package does no I/O and starts no goroutine.
//
// # Errors
//
// An entry that is not accepted is no error of Apply: Outcome.Reason says why, in the text
// that Check returns as an error. AttachGenesis returns ErrGenesisMismatch for a state of
// another fleet. All other errors report malformed input; no caller tells them apart.
package logentry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/zonestatus"
)

// Kind is which part of the state an entry changes.
type Kind string

// The kinds of entry, as they are stored.
const (
	KindZones     Kind = "zones"     // package zonestatus
	KindAccounts  Kind = "accounts"  // package account
	KindContracts Kind = "contracts" // package slo: service level objectives
	KindSettings  Kind = "settings"  // reserved: none is accepted yet
)

// MaxSize is how long an entry may be, in bytes of JSON.
const MaxSize = 256 << 10

// Entry is one change as it is proposed. One without a KeyName is a member's own decision:
// only zones and the allocations of contracts are decided so, and these only so.
type Entry struct {
	Kind       Kind            `json:"kind"`
	ProposedBy string          `json:"by"`            // name of the member that an operator sent it to, or that decided it
	ProposedAt int64           `json:"at"`            // Unix ms by the proposer's clock, the only clock that counts
	Reason     string          `json:"why,omitempty"` // for people
	KeyName    string          `json:"key,omitempty"` // name of the key that signs it
	Signature  []byte          `json:"sig,omitempty"` // Ed25519, over SignedBytes
	Body       json.RawMessage `json:"body"`          // a Change of the kind's package
}

// SignedBytes returns what a signature is over. ProposedBy is left out: the signer does not
// know which member will propose the entry. The body counts as encoding/json writes it, since
// that is how it is sent.
func (e *Entry) SignedBytes() []byte {
	var buffer bytes.Buffer
	body, err := json.Marshal(e.Body)
	if err != nil {
		body = e.Body // malformed, and never accepted
	}
	fields := [][]byte{[]byte("coralrelay-entry-1"), []byte(e.Kind), []byte(e.Reason), []byte(e.KeyName), body}
	for _, field := range fields {
		_ = binary.Write(&buffer, binary.BigEndian, uint32(len(field)))
		buffer.Write(field)
	}
	_ = binary.Write(&buffer, binary.BigEndian, e.ProposedAt)
	return buffer.Bytes()
}

// Genesis is what all members are configured with alike before the first entry. Members that
// differ in it have different hashes from the start, and never accept each other's entries.
type Genesis struct {
	RootKey        []byte                 `json:"root,omitempty"` // public key that may create accounts; empty for none
	Zones          zonestatus.Config      `json:"zone"`
	DisabledChecks account.DisabledChecks `json:"-"` // guards switched off in a scenario; not shared
}

// UnmarshalStrict reads exactly one JSON value into value, which must know all its names.
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
