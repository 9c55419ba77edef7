package logentry

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// Outcome is the result of a proposed entry.
type Outcome struct {
	Index    uint64 `json:"index"`            // position in the log; 0 if rejected before it was logged
	Accepted bool   `json:"taken"`            // whether the entry changed the state
	Reason   string `json:"reason,omitempty"` // why the entry was not accepted
}

// State is the result of applying all entries up to Index. A State is never modified in
// place, so any goroutine may keep it and read it.
type State struct {
	Genesis   Genesis          `json:"genesis"`
	Index     uint64           `json:"index"`
	Hash      Hash             `json:"hash"` // head of the hash chain at Index
	Zones     zonestatus.State `json:"zones"`
	Accounts  account.State    `json:"accounts"`
	Contracts slo.State        `json:"contracts"`
}

// NewState returns the state before the first entry. It returns an error if the root key or
// the zone configuration is invalid.
func NewState(genesis Genesis) (*State, error) {
	if len(genesis.RootKey) != 0 && len(genesis.RootKey) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("root: %d bytes are no Ed25519 public key", len(genesis.RootKey))
	}
	if err := genesis.Zones.Validate(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(genesis)
	if err != nil {
		return nil, err
	}
	s := &State{Genesis: genesis, Hash: sha256.Sum256(raw), Accounts: account.New(genesis.RootKey)}
	s.Accounts.DisabledChecks = genesis.DisabledChecks
	return s, nil
}

// ErrGenesisMismatch reports a state that is based on another Genesis.
var ErrGenesisMismatch = errors.New("state: of another genesis, root or zones differ")

// AttachGenesis completes a state that was decoded from JSON: it checks that the state is
// based on genesis, and sets the fields that the JSON omits.
func (s *State) AttachGenesis(genesis Genesis) error {
	stored, err := json.Marshal(s.Genesis)
	if err != nil {
		return err
	}
	configured, err := json.Marshal(genesis)
	if err != nil {
		return err
	}
	if !bytes.Equal(stored, configured) {
		return ErrGenesisMismatch
	}
	s.Genesis = genesis
	s.Accounts.DisabledChecks = genesis.DisabledChecks
	return nil
}

// Apply returns the state after one more entry; raw is the entry as stored in the log. An
// entry that is not accepted changes only the index and the hash.
func (s *State) Apply(raw []byte) (*State, Outcome) {
	next := *s
	next.Index++
	hasher := sha256.New()
	hasher.Write(s.Hash[:])
	_ = binary.Write(hasher, binary.BigEndian, next.Index)
	hasher.Write(raw)
	hasher.Sum(next.Hash[:0])
	changed, err := s.evaluate(raw)
	if err != nil {
		return &next, Outcome{Index: next.Index, Reason: err.Error()}
	}
	next.Zones, next.Accounts, next.Contracts = changed.Zones, changed.Accounts, changed.Contracts
	return &next, Outcome{Index: next.Index, Accepted: true}
}

// Check returns the reason for which s does not accept an entry, or nil if s accepts it.
func (s *State) Check(raw []byte) error {
	_, err := s.evaluate(raw)
	return err
}

// evaluate returns a copy of s with the entry's change applied, and with s's index and hash.
func (s *State) evaluate(raw []byte) (*State, error) {
	if len(raw) > MaxSize {
		return nil, fmt.Errorf("entry: %d bytes, at most %d are taken", len(raw), MaxSize)
	}
	var entry Entry
	if err := UnmarshalStrict(raw, &entry); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if err := s.verifySignature(&entry); err != nil {
		return nil, fmt.Errorf("%s: %w", entry.Kind, err)
	}
	next := *s
	if err := next.applyChange(&entry); err != nil {
		return nil, fmt.Errorf("%s: %w", entry.Kind, err)
	}
	return &next, nil
}
