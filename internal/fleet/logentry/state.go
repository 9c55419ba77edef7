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

// Outcome says what became of an entry.
type Outcome struct {
	Index    uint64 `json:"index"`
	Accepted bool   `json:"taken"`
	Reason   string `json:"reason,omitempty"` // why it was not
}

// State is what all entries up to Index add up to. It is never changed in place, so that
// readers may keep it.
type State struct {
	Genesis   Genesis          `json:"genesis"`
	Index     uint64           `json:"index"`
	Hash      Hash             `json:"hash"`
	Zones     zonestatus.State `json:"zones"`
	Accounts  account.State    `json:"accounts"`
	Contracts slo.State        `json:"contracts"`
}

// New returns the state before the first entry.
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

// Adopt takes over a state that was written down, before it is used: it must have begun as
// g says, and gets what is not written.
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
		return errors.New("state: of another beginning, root or zones differ")
	}
	s.Genesis, s.Accounts.DisabledChecks = genesis, genesis.DisabledChecks
	return nil
}

// Apply returns the state after one more entry, as it stands in the log. One that is not
// taken changes nothing but index and hash.
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

// Check tells whether an entry would be taken now, as Apply does.
func (s *State) Check(raw []byte) error {
	_, err := s.evaluate(raw)
	return err
}

// errMembers is that a key signs what the fleet's members decide among themselves.
var errMemberDecision = errors.New("this is the members' own decision, and no key's")

// take returns a state of which only the rooms count.
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
	var err error
	switch entry.Kind {
	case KindZones:
		var change zonestatus.Change
		if err = UnmarshalStrict(entry.Body, &change); err == nil && entry.KeyName != "" {
			err = errMemberDecision
		}
		if err == nil {
			next.Zones, err = s.Zones.Apply(s.Genesis.Zones, change)
		}
	case KindAccounts:
		var change account.Change
		if err = UnmarshalStrict(entry.Body, &change); err == nil {
			next.Accounts, err = s.Accounts.Apply(change, entry.KeyName)
		}
	case KindContracts:
		var change slo.Change
		if err = UnmarshalStrict(entry.Body, &change); err == nil && entry.KeyName != "" && len(change.Allocations) > 0 {
			err = errMemberDecision
		}
		if err == nil {
			next.Contracts, err = s.Contracts.Apply(change, entry.ProposedAt, func(holder string) error { return s.Accounts.AuthorizeContract(entry.KeyName, holder) })
		}
	case KindSettings:
		err = errors.New("no entry of this kind is taken yet")
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", entry.Kind, err)
	}
	return &next, nil
}

// signed holds an entry to its signature. Without a key it is a member's own, and the room
// decides what such a one may change.
func (s *State) verifySignature(entry *Entry) error {
	if entry.KeyName == "" {
		if len(entry.Signature) > 0 {
			return errors.New("a signature, but no key")
		}
		return nil
	}
	publicKey, ok := s.Accounts.PublicKey(entry.KeyName)
	if !ok {
		return fmt.Errorf("key %.40q: nobody's", entry.KeyName)
	}
	if !ed25519.Verify(publicKey, entry.SignedBytes(), entry.Signature) {
		return fmt.Errorf("key %.40q: the signature is not good", entry.KeyName)
	}
	return nil
}
