package slo

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
)

// State is the contracts and where their transactions go. It is never changed in place.
type State struct {
	Version           uint64       `json:"version"`             // counts changes of contracts
	AllocationVersion uint64       `json:"steps,omitempty"`     // counts changes of allocations
	Contracts         []Contract   `json:"contracts,omitempty"` // by name
	Allocations       []Allocation `json:"steered,omitempty"`   // by contract; who is not named goes where the routes say
}

// Change is an entry of the record: contracts set and dropped, which the holder's authority
// signs, or allocations, which are the fleet's own decision. It does not hold both.
type Change struct {
	BaseVersion           uint64       `json:"base"`            // the State's Version that it was made on
	BaseAllocationVersion uint64       `json:"after,omitempty"` // for Steer, its Steps too
	Set                   []Contract   `json:"set,omitempty"`
	Drop                  []string     `json:"drop,omitempty"`
	Allocations           []Allocation `json:"steer,omitempty"` // Since and Before are set when it is taken
}

// spell is the time within which a contract is steered twice at most, in ms.
const minSteerIntervalMs = 60_000

// Contract returns the contract of that name.
func (s State) Contract(name string) (Contract, bool) {
	index, ok := slices.BinarySearchFunc(s.Contracts, name, func(contract Contract, target string) int { return cmp.Compare(contract.Name, target) })
	if !ok {
		return Contract{}, false
	}
	return s.Contracts[index], true
}

// Allocation returns where a contract's transactions go, if that was ever decided.
func (s State) Allocation(name string) (Allocation, bool) {
	index, ok := s.allocationIndex(name)
	if !ok {
		return Allocation{}, false
	}
	return s.Allocations[index], true
}

func (s State) allocationIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Allocations, name, func(allocation Allocation, target string) int { return cmp.Compare(allocation.Contract, target) })
}

// Apply returns the state after a change made at a time (Unix ms), or why it is not taken;
// may tells whether its author may give contracts to a holder.
func (s State) Apply(change Change, at int64, mayGrant func(holder string) error) (State, error) {
	contractChanges := len(change.Set) + len(change.Drop)
	switch {
	case change.BaseVersion != s.Version:
		return s, fmt.Errorf("made on version %d of the contracts, which are at %d", change.BaseVersion, s.Version)
	case contractChanges == 0 && len(change.Allocations) == 0:
		return s, errors.New("changes nothing")
	case contractChanges > 0 && len(change.Allocations) > 0:
		return s, errors.New("sets contracts and steers them: one entry does one of both")
	case at <= 0 || at > 1<<52:
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
	seen := map[string]bool{}
	for _, name := range change.Drop {
		contract, ok := contracts[name]
		if !ok {
			return s, fmt.Errorf("contract %.64q: there is none", name)
		}
		if err := mayGrant(contract.Holder); err != nil {
			return s, fmt.Errorf("contract %q: %w", name, err)
		}
		delete(contracts, name)
	}
	for _, contract := range change.Set {
		if err := contract.validate(); err != nil {
			return s, err
		}
		if seen[contract.Name] {
			return s, fmt.Errorf("contract %q: set twice", contract.Name)
		}
		seen[contract.Name] = true
		holders := []string{contract.Holder}
		if previous, ok := contracts[contract.Name]; ok && previous.Holder != contract.Holder {
			holders = append(holders, previous.Holder)
		}
		for _, holder := range holders {
			if err := mayGrant(holder); err != nil {
				return s, fmt.Errorf("contract %q: %w", contract.Name, err)
			}
		}
		contract.Zones = slices.Clone(contract.Zones)
		contracts[contract.Name] = contract
	}
	if len(contracts) > maxContracts {
		return s, fmt.Errorf("%d contracts, at most %d", len(contracts), maxContracts)
	}
	next := State{Version: s.Version + 1, AllocationVersion: s.AllocationVersion}
	for _, name := range slices.Sorted(maps.Keys(contracts)) {
		next.Contracts = append(next.Contracts, contracts[name])
	}
	// What was decided stands, unless its contract no longer allows it.
	for _, allocation := range s.Allocations {
		if contract, ok := contracts[allocation.Contract]; ok && contract.checkZones(allocation.Shares) == nil {
			next.Allocations = append(next.Allocations, allocation)
		}
	}
	return next, nil
}

// allows tells which of the zones is none of the contract's.
func (c *Contract) checkZones(shares map[string]float64) error {
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if len(c.Zones) > 0 && !slices.Contains(c.Zones, zone) {
			return fmt.Errorf("contract %q: may not use zone %.64q", c.Name, zone)
		}
	}
	return nil
}

// round returns the share in whole thousandths, or false for what is none.
func toThousandths(share float64) (int, bool) {
	if !(share >= 0 && share <= 1) {
		return 0, false
	}
	return int(math.Round(share * thousandths)), true
}

func (s State) applyAllocations(change Change, at int64) (State, error) {
	if change.BaseAllocationVersion != s.AllocationVersion {
		return s, fmt.Errorf("decided after step %d, and %d have been taken", change.BaseAllocationVersion, s.AllocationVersion)
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
		if ok {
			previous := next.Allocations[index]
			// A clock behind the last proposer's gains nothing.
			now := max(at, previous.SteeredAt)
			if previous.PreviouslySteeredAt > 0 && now < previous.PreviouslySteeredAt+minSteerIntervalMs {
				return s, fmt.Errorf("contract %q: steered twice within %d s", allocation.Contract, minSteerIntervalMs/1000)
			}
			allocation.SteeredAt, allocation.PreviouslySteeredAt = now, previous.SteeredAt
			next.Allocations[index] = allocation
			continue
		}
		allocation.SteeredAt, allocation.PreviouslySteeredAt = at, 0
		next.Allocations = slices.Insert(next.Allocations, index, allocation)
	}
	return next, nil
}

// sound checks an allocation and brings its shares to whole thousandths, in a map of its own.
func (a *Allocation) normalize(contract *Contract) error {
	sum, shares := 0, make(map[string]float64, len(a.Shares))
	if len(a.Shares) > maxZones {
		return fmt.Errorf("contract %q: %d zones, at most %d", contract.Name, len(a.Shares), maxZones)
	}
	for _, zone := range slices.Sorted(maps.Keys(a.Shares)) {
		share, ok := toThousandths(a.Shares[zone])
		if !ok || !isValidName(zone, 64) {
			return fmt.Errorf("contract %q: zone %.64q: a share is 0 to 1", contract.Name, zone)
		}
		if sum += share; share > 0 {
			shares[zone] = float64(share) / thousandths
		}
	}
	if sum != thousandths {
		return fmt.Errorf("contract %q: shares add up to %d thousandths", contract.Name, sum)
	}
	over, ok := toThousandths(a.Overflow)
	if !ok || len(a.UnmetReason) > 256 {
		return fmt.Errorf("contract %q: over is 0 to 1, a reason at most 256 bytes", contract.Name)
	}
	a.Shares, a.Overflow = shares, float64(over)/thousandths
	return contract.checkZones(shares)
}
