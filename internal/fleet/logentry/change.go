package logentry

import (
	"crypto/ed25519"
	"errors"
	"fmt"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// errMemberDecision reports a signed entry whose change may only be decided by members, which
// base the decision on their own observations.
var errMemberDecision = errors.New("decided by members only, not with a key")

// verifySignature checks the entry's signature. An entry without a key is a member's own
// decision; whether it is accepted depends on its kind: see applyChange.
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

// applyChange applies the entry's change to s. After an error s must be discarded.
func (s *State) applyChange(entry *Entry) error {
	switch entry.Kind {
	case KindZones:
		return s.applyZones(entry)
	case KindAccounts:
		return s.applyAccounts(entry)
	case KindContracts:
		return s.applyContracts(entry)
	case KindSettings:
		return errors.New("no entry of this kind is taken yet")
	default:
		return errors.New("unknown kind")
	}
}

func (s *State) applyZones(entry *Entry) error {
	var change zonestatus.Change
	if err := UnmarshalStrict(entry.Body, &change); err != nil {
		return err
	}
	if entry.KeyName != "" {
		return errMemberDecision
	}
	var err error
	s.Zones, err = s.Zones.Apply(s.Genesis.Zones, change)
	return err
}

func (s *State) applyAccounts(entry *Entry) error {
	var change account.Change
	if err := UnmarshalStrict(entry.Body, &change); err != nil {
		return err
	}
	var err error
	s.Accounts, err = s.Accounts.Apply(change, entry.KeyName)
	return err
}

func (s *State) applyContracts(entry *Entry) error {
	var change slo.Change
	if err := UnmarshalStrict(entry.Body, &change); err != nil {
		return err
	}
	if entry.KeyName != "" && len(change.Allocations) > 0 {
		return errMemberDecision
	}
	authorize := func(holder string) error { return s.Accounts.AuthorizeContract(entry.KeyName, holder) }
	var err error
	s.Contracts, err = s.Contracts.Apply(change, entry.ProposedAt, authorize)
	return err
}
