package slo

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// State is the replicated state: the contracts and their allocations. It is never changed in place.
type State struct {
	Version           uint64     `json:"version"`             // counts changes of contracts
	AllocationVersion uint64     `json:"steps,omitempty"`     // counts changes of allocations
	Contracts         []Contract `json:"contracts,omitempty"` // sorted by name
	// Allocations are sorted by contract. The sessions of a contract without an allocation follow
	// its routes.
	Allocations []Allocation `json:"steered,omitempty"`
}

// Change is an entry of the replicated log. It either sets and drops contracts, signed under the
// holder's authority, or sets allocations, which the fleet decides itself, but not both.
type Change struct {
	BaseVersion           uint64     `json:"base"`            // the State.Version that it applies to
	BaseAllocationVersion uint64     `json:"after,omitempty"` // with Allocations, also State.AllocationVersion
	Set                   []Contract `json:"set,omitempty"`
	Drop                  []string   `json:"drop,omitempty"`
	// The times of Allocations are set when the change is applied.
	Allocations []Allocation `json:"steer,omitempty"`
}

const (
	// minSteerIntervalMs is the period in ms within which a contract is steered at most twice.
	minSteerIntervalMs = 60_000

	// maxUnixMs is the latest accepted time, which no working clock reaches.
	maxUnixMs = 1 << 52
)

// Contract returns the contract with the given name, if there is one.
func (s State) Contract(name string) (Contract, bool) {
	index, ok := slices.BinarySearchFunc(s.Contracts, name, func(contract Contract, target string) int {
		return strings.Compare(contract.Name, target)
	})
	if !ok {
		return Contract{}, false
	}
	return s.Contracts[index], true
}

// Allocation returns the allocation of the contract with the given name, if there is one.
func (s State) Allocation(name string) (Allocation, bool) {
	index, ok := s.allocationIndex(name)
	if !ok {
		return Allocation{}, false
	}
	return s.Allocations[index], true
}

func (s State) allocationIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Allocations, name, func(allocation Allocation, target string) int {
		return strings.Compare(allocation.Contract, target)
	})
}

// Apply returns the state after a change made at a time (Unix ms). If it rejects the change, it
// returns the unchanged state and the reason as an error. mayGrant returns an error if the author
// of the change may not grant contracts to a holder; it is not called for allocations.
func (s State) Apply(change Change, at int64, mayGrant func(holder string) error) (State, error) {
	contractChanges := len(change.Set) + len(change.Drop)
	switch {
	case change.BaseVersion != s.Version:
		return s, fmt.Errorf("made on version %d of the contracts, which are at %d", change.BaseVersion, s.Version)
	case contractChanges == 0 && len(change.Allocations) == 0:
		return s, errors.New("changes nothing")
	case contractChanges > 0 && len(change.Allocations) > 0:
		return s, errors.New("sets contracts and steers them: one entry does one of both")
	case at <= 0 || at > maxUnixMs:
		return s, fmt.Errorf("at %d: no time", at)
	case len(change.Allocations) > 0:
		return s.applyAllocations(change, at)
	}
	return s.applyContracts(change, mayGrant)
}

func (s State) applyContracts(change Change, mayGrant func(holder string) error) (State, error) {
	contracts := map[string]Contract{}
	for _, contract := range s.Contracts {
		contracts[contract.Name] = contract
	}
	if err := dropContracts(contracts, change.Drop, mayGrant); err != nil {
		return s, err
	}
	if err := setContracts(contracts, change.Set, mayGrant); err != nil {
		return s, err
	}
	if len(contracts) > maxContracts {
		return s, fmt.Errorf("%d contracts, at most %d", len(contracts), maxContracts)
	}
	next := State{Version: s.Version + 1, AllocationVersion: s.AllocationVersion}
	for _, name := range slices.Sorted(maps.Keys(contracts)) {
		next.Contracts = append(next.Contracts, contracts[name])
	}
	// Allocations remain in effect unless their contract no longer allows them.
	for _, allocation := range s.Allocations {
		if contract, ok := contracts[allocation.Contract]; ok && contract.checkZones(allocation.Shares) == nil {
			next.Allocations = append(next.Allocations, allocation)
		}
	}
	return next, nil
}

func dropContracts(contracts map[string]Contract, names []string, mayGrant func(holder string) error) error {
	for _, name := range names {
		contract, ok := contracts[name]
		if !ok {
			return fmt.Errorf("contract %.64q: there is none", name)
		}
		if err := mayGrant(contract.Holder); err != nil {
			return fmt.Errorf("contract %q: %w", name, err)
		}
		delete(contracts, name)
	}
	return nil
}

// setContracts adds or replaces contracts. The author needs permission for the new holder and, if
// the holder changes, for the previous one.
func setContracts(contracts map[string]Contract, set []Contract, mayGrant func(holder string) error) error {
	seen := map[string]bool{}
	for _, contract := range set {
		if err := contract.validate(); err != nil {
			return err
		}
		if seen[contract.Name] {
			return fmt.Errorf("contract %q: set twice", contract.Name)
		}
		seen[contract.Name] = true
		holders := []string{contract.Holder}
		if previous, ok := contracts[contract.Name]; ok && previous.Holder != contract.Holder {
			holders = append(holders, previous.Holder)
		}
		for _, holder := range holders {
			if err := mayGrant(holder); err != nil {
				return fmt.Errorf("contract %q: %w", contract.Name, err)
			}
		}
		contract.Zones = slices.Clone(contract.Zones)
		contracts[contract.Name] = contract
	}
	return nil
}

func (s State) applyAllocations(change Change, at int64) (State, error) {
	if change.BaseAllocationVersion != s.AllocationVersion {
		return s, fmt.Errorf("decided after step %d, and %d have been taken",
			change.BaseAllocationVersion, s.AllocationVersion)
	}
	next := s
	next.AllocationVersion++
	next.Allocations = slices.Clone(s.Allocations)
	seen := map[string]bool{}
	for _, allocation := range change.Allocations {
		contract, ok := s.Contract(allocation.Contract)
		if !ok {
			return s, fmt.Errorf("contract %.64q: there is none", allocation.Contract)
		}
		if seen[allocation.Contract] {
			return s, fmt.Errorf("contract %q: steered twice in one entry", allocation.Contract)
		}
		seen[allocation.Contract] = true
		if err := allocation.normalize(&contract); err != nil {
			return s, err
		}
		index, ok := next.allocationIndex(allocation.Contract)
		if !ok {
			allocation.SteeredAt, allocation.PreviouslySteeredAt = at, 0
			next.Allocations = slices.Insert(next.Allocations, index, allocation)
			continue
		}
		previous := &next.Allocations[index]
		// SteeredAt never decreases, so a clock behind the previous proposer's clock does not allow
		// more frequent changes.
		steeredAt := max(at, previous.SteeredAt)
		if previous.PreviouslySteeredAt > 0 && steeredAt < previous.PreviouslySteeredAt+minSteerIntervalMs {
			return s, fmt.Errorf("contract %q: steered twice within %d s", allocation.Contract, minSteerIntervalMs/1000)
		}
		allocation.SteeredAt, allocation.PreviouslySteeredAt = steeredAt, previous.SteeredAt
		*previous = allocation
	}
	return next, nil
}
