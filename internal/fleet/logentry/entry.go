// Package logentry defines the contents of the fleet's replicated log: typed entries, a hash
// chain over them, and the state that results from applying them. Members that have applied
// the same entries hold the same state, byte for byte: applying an entry reads no clock and
// does not depend on map iteration order. The package does no I/O and starts no goroutine.
//
// # Errors
//
// Apply returns no error for an entry that is not accepted: Outcome.Reason holds the text
// that Check returns as an error. AttachGenesis returns ErrGenesisMismatch for a state of
// another fleet. All other errors report malformed input; no caller distinguishes them.
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

// Kind names the part of the state that an entry changes.
type Kind string

// The kinds of entry, as stored in the log.
const (
	KindZones     Kind = "zones"     // package zonestatus
	KindAccounts  Kind = "accounts"  // package account
	KindContracts Kind = "contracts" // package slo: service level objectives
	KindSettings  Kind = "settings"  // reserved: such entries are rejected
)

// MaxSize is the maximum length of an entry, in bytes of JSON.
const MaxSize = 256 << 10

// Entry is one proposed change. An entry without a KeyName is a member's own decision:
// members alone decide changes of zones and of contract allocations, and no other changes.
type Entry struct {
	Kind       Kind            `json:"kind"`
	ProposedBy string          `json:"by"`            // member that an operator sent it to or that decided it
	ProposedAt int64           `json:"at"`            // Unix ms by the proposer's clock, the only one used
	Reason     string          `json:"why,omitempty"` // free text for operators
	KeyName    string          `json:"key,omitempty"` // name of the signing key
	Signature  []byte          `json:"sig,omitempty"` // Ed25519 signature of SignedBytes
	Body       json.RawMessage `json:"body"`          // a Change of the kind's package
}

// SignedBytes returns the bytes that the signature covers. ProposedBy is excluded, since the
// signer cannot tell which member will propose the entry. The body is included as
// encoding/json writes it, since entries are sent in that form.
func (e *Entry) SignedBytes() []byte {
	var buffer bytes.Buffer
	body, err := json.Marshal(e.Body)
	if err != nil {
		body = e.Body // malformed JSON: the entry is rejected in any case
	}
	fields := [][]byte{[]byte("coralrelay-entry-1"), []byte(e.Kind), []byte(e.Reason), []byte(e.KeyName), body}
	for _, field := range fields {
		_ = binary.Write(&buffer, binary.BigEndian, uint32(len(field)))
		buffer.Write(field)
	}
	_ = binary.Write(&buffer, binary.BigEndian, e.ProposedAt)
	return buffer.Bytes()
}

// Genesis is the configuration before the first entry; it must be the same on all members.
// Members with different values have different hashes from the start and never accept each
// other's entries.
type Genesis struct {
	RootKey        []byte                 `json:"root,omitempty"` // public key that may create accounts; empty for none
	Zones          zonestatus.Config      `json:"zone"`
	DisabledChecks account.DisabledChecks `json:"-"` // guards that a scenario disables; not part of the JSON
}

// UnmarshalStrict decodes exactly one JSON value from raw and rejects unknown fields.
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
