// Package entry is what the fleet's record holds: typed entries, a chain of hashes over
// them, and the state that they add up to. Members who have applied the same entries hold
// the same state, byte for byte: applying reads no clock and no map's order. It does no
// I/O and starts no goroutine.
package entry

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/promise"
	"coralrelay/internal/fleet/zone"
)

// Kind is what an entry changes.
type Kind string

// The kinds of entry. Settings is reserved: no entry of it is taken yet.
const (
	Zones     Kind = "zones"
	Accounts  Kind = "accounts"
	Contracts Kind = "contracts"
	Settings  Kind = "settings"
)

// Largest is how long an entry may be, in bytes of JSON.
const Largest = 256 << 10

// Entry is one change as it is proposed. Its zero Key is nobody's: such an entry is a
// member's own decision, which only zones and allocations may be.
type Entry struct {
	Kind Kind            `json:"kind"`
	By   string          `json:"by"`            // the member that took it
	At   int64           `json:"at"`            // Unix ms by the proposer's clock; nobody else's is read
	Why  string          `json:"why,omitempty"` // for people
	Key  string          `json:"key,omitempty"` // name of the key that signs it
	Sig  []byte          `json:"sig,omitempty"` // of Signed, Ed25519
	Body json.RawMessage `json:"body"`          // a Change of the kind's room
}

// Signed is what a signature is over. By is left out: who signs does not know which member
// takes it. The body counts as encoding/json writes it, as that is how it travels.
func (e *Entry) Signed() []byte {
	var b bytes.Buffer
	body, err := json.Marshal(e.Body)
	if err != nil {
		body = e.Body // no JSON, and never taken
	}
	for _, field := range [][]byte{[]byte("coralrelay-entry-1"), []byte(e.Kind), []byte(e.Why), []byte(e.Key), body} {
		_ = binary.Write(&b, binary.BigEndian, uint32(len(field)))
		b.Write(field)
	}
	_ = binary.Write(&b, binary.BigEndian, e.At)
	return b.Bytes()
}

// Genesis is what all members are given alike before the first entry. Members who differ in
// it have other hashes from the start, and never take each other's entries.
type Genesis struct {
	Root   []byte         `json:"root,omitempty"` // public key of who may found accounts; empty for nobody
	Zone   zone.Config    `json:"zone"`
	Ignore account.Guards `json:"-"` // of accounts, for a rig; each member's own
}

// Hash is of a chain: of its last entry and of all before it.
type Hash [sha256.Size]byte

// MarshalText writes it in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText reads it.
func (h *Hash) UnmarshalText(b []byte) error {
	if hex.DecodedLen(len(b)) != len(h) {
		return fmt.Errorf("hash: %d digits, want %d", len(b), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], b)
	return err
}

// Outcome says what became of an entry.
type Outcome struct {
	Index  uint64 `json:"index"`
	Taken  bool   `json:"taken"`
	Reason string `json:"reason,omitempty"` // why it was not
}

// State is what all entries up to Index add up to. It is never changed in place, so that
// readers may keep it.
type State struct {
	Genesis   Genesis       `json:"genesis"`
	Index     uint64        `json:"index"`
	Hash      Hash          `json:"hash"`
	Zones     zone.State    `json:"zones"`
	Accounts  account.State `json:"accounts"`
	Contracts promise.State `json:"contracts"`
}

// New returns the state before the first entry.
func New(g Genesis) (*State, error) {
	if len(g.Root) != 0 && len(g.Root) != ed25519.PublicKeySize {
		return nil, fmt.Errorf("root: %d bytes are no Ed25519 public key", len(g.Root))
	}
	if err := g.Zone.Check(); err != nil {
		return nil, err
	}
	raw, err := json.Marshal(g)
	if err != nil {
		return nil, err
	}
	s := &State{Genesis: g, Hash: sha256.Sum256(raw), Accounts: account.New(g.Root)}
	s.Accounts.Ignore = g.Ignore
	return s, nil
}

// Adopt takes over a state that was written down, before it is used: it must have begun as
// g says, and gets what is not written.
func (s *State) Adopt(g Genesis) error {
	theirs, err := json.Marshal(s.Genesis)
	if err != nil {
		return err
	}
	ours, err := json.Marshal(g)
	if err != nil {
		return err
	}
	if !bytes.Equal(theirs, ours) {
		return errors.New("state: of another beginning, root or zones differ")
	}
	s.Genesis, s.Accounts.Ignore = g, g.Ignore
	return nil
}

// Apply returns the state after one more entry, as it stands in the log. One that is not
// taken changes nothing but index and hash.
func (s *State) Apply(raw []byte) (*State, Outcome) {
	next := *s
	next.Index++
	h := sha256.New()
	h.Write(s.Hash[:])
	_ = binary.Write(h, binary.BigEndian, next.Index)
	h.Write(raw)
	h.Sum(next.Hash[:0])
	changed, err := s.take(raw)
	if err != nil {
		return &next, Outcome{Index: next.Index, Reason: err.Error()}
	}
	next.Zones, next.Accounts, next.Contracts = changed.Zones, changed.Accounts, changed.Contracts
	return &next, Outcome{Index: next.Index, Taken: true}
}

// Check tells whether an entry would be taken now, as Apply does.
func (s *State) Check(raw []byte) error {
	_, err := s.take(raw)
	return err
}

// take returns a state of which only the rooms count.
func (s *State) take(raw []byte) (*State, error) {
	if len(raw) > Largest {
		return nil, fmt.Errorf("entry: %d bytes, at most %d are taken", len(raw), Largest)
	}
	var e Entry
	if err := Strict(raw, &e); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if err := s.signed(&e); err != nil {
		return nil, fmt.Errorf("%s: %w", e.Kind, err)
	}
	next := *s
	var err error
	switch e.Kind {
	case Zones:
		var c zone.Change
		if err = Strict(e.Body, &c); err == nil {
			next.Zones, err = s.Zones.Apply(s.Genesis.Zone, c)
		}
	case Accounts:
		var c account.Change
		if err = Strict(e.Body, &c); err == nil {
			next.Accounts, err = s.Accounts.Apply(c, e.Key)
		}
	case Contracts:
		var c promise.Change
		if err = Strict(e.Body, &c); err == nil {
			next.Contracts, err = s.Contracts.Apply(c, e.At, func(holder string) error { return s.Accounts.MayPromise(e.Key, holder) })
		}
	case Settings:
		err = errors.New("no entry of this kind is taken yet")
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", e.Kind, err)
	}
	return &next, nil
}

// signed holds an entry to its signature. Without a key it is a member's own, and the room
// decides what such a one may change.
func (s *State) signed(e *Entry) error {
	if e.Key == "" {
		if len(e.Sig) > 0 {
			return errors.New("a signature, but no key")
		}
		return nil
	}
	public, ok := s.Accounts.Public(e.Key)
	if !ok {
		return fmt.Errorf("key %.40q: nobody's", e.Key)
	}
	if !ed25519.Verify(public, e.Signed(), e.Sig) {
		return fmt.Errorf("key %.40q: the signature is not good", e.Key)
	}
	return nil
}

// Strict reads one JSON value, all of whose names are known.
func Strict(raw []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one value")
	}
	return nil
}

// KeyName is the name of a public key: what entries and grants call it.
func KeyName(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return base64.RawURLEncoding.EncodeToString(sum[:9])
}
