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
	i, ok := slices.BinarySearchFunc(s.Contracts, name, func(c Contract, n string) int { return cmp.Compare(c.Name, n) })
	if !ok {
		return Contract{}, false
	}
	return s.Contracts[i], true
}

// Allocation returns where a contract's transactions go, if that was ever decided.
func (s State) Allocation(name string) (Allocation, bool) {
	i, ok := s.allocationIndex(name)
	if !ok {
		return Allocation{}, false
	}
	return s.Allocations[i], true
}

func (s State) allocationIndex(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Allocations, name, func(a Allocation, n string) int { return cmp.Compare(a.Contract, n) })
}

// Apply returns the state after a change made at a time (Unix ms), or why it is not taken;
// may tells whether its author may give contracts to a holder.
func (s State) Apply(c Change, at int64, may func(holder string) error) (State, error) {
	authored := len(c.Set) + len(c.Drop)
	switch {
	case c.BaseVersion != s.Version:
		return s, fmt.Errorf("made on version %d of the contracts, which are at %d", c.BaseVersion, s.Version)
	case authored == 0 && len(c.Allocations) == 0:
		return s, errors.New("changes nothing")
	case authored > 0 && len(c.Allocations) > 0:
		return s, errors.New("sets contracts and steers them: one entry does one of both")
	case at <= 0 || at > 1<<52:
		return s, fmt.Errorf("at %d: no time", at)
	case len(c.Allocations) > 0:
		return s.applyAllocations(c, at)
	}
	return s.applyContracts(c, may)
}

func (s State) applyContracts(c Change, may func(holder string) error) (State, error) {
	of := map[string]Contract{}
	for _, k := range s.Contracts {
		of[k.Name] = k
	}
	named := map[string]bool{}
	for _, name := range c.Drop {
		k, ok := of[name]
		if !ok {
			return s, fmt.Errorf("contract %.64q: there is none", name)
		}
		if err := may(k.Holder); err != nil {
			return s, fmt.Errorf("contract %q: %w", name, err)
		}
		delete(of, name)
	}
	for _, k := range c.Set {
		if err := k.validate(); err != nil {
			return s, err
		}
		if named[k.Name] {
			return s, fmt.Errorf("contract %q: set twice", k.Name)
		}
		named[k.Name] = true
		holders := []string{k.Holder}
		if old, ok := of[k.Name]; ok && old.Holder != k.Holder {
			holders = append(holders, old.Holder)
		}
		for _, h := range holders {
			if err := may(h); err != nil {
				return s, fmt.Errorf("contract %q: %w", k.Name, err)
			}
		}
		k.Zones = slices.Clone(k.Zones)
		of[k.Name] = k
	}
	if len(of) > maxContracts {
		return s, fmt.Errorf("%d contracts, at most %d", len(of), maxContracts)
	}
	next := State{Version: s.Version + 1, AllocationVersion: s.AllocationVersion}
	for _, name := range slices.Sorted(maps.Keys(of)) {
		next.Contracts = append(next.Contracts, of[name])
	}
	// What was decided stands, unless its contract no longer allows it.
	for _, a := range s.Allocations {
		if k, ok := of[a.Contract]; ok && k.checkZones(a.Shares) == nil {
			next.Allocations = append(next.Allocations, a)
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
func toThousandths(x float64) (int, bool) {
	if !(x >= 0 && x <= 1) {
		return 0, false
	}
	return int(math.Round(x * thousandths)), true
}

func (s State) applyAllocations(c Change, at int64) (State, error) {
	if c.BaseAllocationVersion != s.AllocationVersion {
		return s, fmt.Errorf("decided after step %d, and %d have been taken", c.BaseAllocationVersion, s.AllocationVersion)
	}
	next := s
	next.AllocationVersion++
	next.Allocations = slices.Clone(s.Allocations)
	named := map[string]bool{}
	for _, a := range c.Allocations {
		k, ok := s.Contract(a.Contract)
		if !ok {
			return s, fmt.Errorf("contract %.64q: there is none", a.Contract)
		}
		if named[a.Contract] {
			return s, fmt.Errorf("contract %q: steered twice in one entry", a.Contract)
		}
		named[a.Contract] = true
		if err := a.normalize(&k); err != nil {
			return s, err
		}
		i, ok := next.allocationIndex(a.Contract)
		if ok {
			old := next.Allocations[i]
			// A clock behind the last proposer's gains nothing.
			now := max(at, old.SteeredAt)
			if old.PreviouslySteeredAt > 0 && now < old.PreviouslySteeredAt+minSteerIntervalMs {
				return s, fmt.Errorf("contract %q: steered twice within %d s", a.Contract, minSteerIntervalMs/1000)
			}
			a.SteeredAt, a.PreviouslySteeredAt = now, old.SteeredAt
			next.Allocations[i] = a
			continue
		}
		a.SteeredAt, a.PreviouslySteeredAt = at, 0
		next.Allocations = slices.Insert(next.Allocations, i, a)
	}
	return next, nil
}

// sound checks an allocation and brings its shares to whole thousandths, in a map of its own.
func (a *Allocation) normalize(c *Contract) error {
	sum, shares := 0, make(map[string]float64, len(a.Shares))
	if len(a.Shares) > maxZones {
		return fmt.Errorf("contract %q: %d zones, at most %d", c.Name, len(a.Shares), maxZones)
	}
	for _, zone := range slices.Sorted(maps.Keys(a.Shares)) {
		k, ok := toThousandths(a.Shares[zone])
		if !ok || !isValidName(zone, 64) {
			return fmt.Errorf("contract %q: zone %.64q: a share is 0 to 1", c.Name, zone)
		}
		if sum += k; k > 0 {
			shares[zone] = float64(k) / thousandths
		}
	}
	if sum != thousandths {
		return fmt.Errorf("contract %q: shares add up to %d thousandths", c.Name, sum)
	}
	over, ok := toThousandths(a.Overflow)
	if !ok || len(a.UnmetReason) > 256 {
		return fmt.Errorf("contract %q: over is 0 to 1, a reason at most 256 bytes", c.Name)
	}
	a.Shares, a.Overflow = shares, float64(over)/thousandths
	return c.checkZones(shares)
}
