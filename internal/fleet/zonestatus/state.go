package zonestatus

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// State is the replicated state. A pair that is not recorded is Active with share 1. Pairs are
// sorted by From and To, and a state is never changed in place.
type State struct {
	Version uint64       `json:"version"`
	Pairs   []PairStatus `json:"seen,omitempty"`
	Zones   []string     `json:"zones,omitempty"` // all zones that the last change listed, sorted
	// Shed is the fraction of all session set-ups, from 0 to 1, that the remaining zones have no
	// capacity for. Nodes reject these immediately with a Retry-After.
	Shed float64 `json:"over,omitempty"`
}

// Change is an entry of the replicated log. It is applied atomically.
type Change struct {
	BaseVersion uint64       `json:"base"`           // the State.Version that it applies to
	Set         []PairStatus `json:"set"`            // sorted by From and To
	Zones       []string     `json:"zones"`          // all zones, sorted; the panic threshold counts them
	Shed        float64      `json:"over,omitempty"` // as in State
}

// TrafficLimit limits the traffic from the nodes of one zone to another zone.
type TrafficLimit struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`          // fraction of the zone's usual traffic, 0 to 1
	Rate  float64 `json:"rate,omitempty"` // session set-ups per second of the whole fleet; 0 is unlimited
}

// Upper bounds on the values in a change.
const (
	maxShed         = 0.95
	maxFailures     = 1 << 20
	maxRecoveryRate = 1e6 // session set-ups per second
)

// pair returns the status of zone to as observed from zone from.
func (s State) pair(from, to string) PairStatus {
	low, high := 0, len(s.Pairs)
	for low < high {
		mid := (low + high) / 2
		pair := &s.Pairs[mid]
		switch order := cmp.Or(strings.Compare(pair.From, from), strings.Compare(pair.To, to)); {
		case order == 0:
			return *pair
		case order < 0:
			low = mid + 1
		default:
			high = mid
		}
	}
	return PairStatus{From: from, To: to, Share: 1}
}

// Apply returns the state after a change. It rejects a change with a different base version, an
// unlisted zone, a transition that is not allowed, or more evacuated zones than the panic
// threshold permits, and then returns s unchanged.
func (s State) Apply(cfg Config, change Change) (State, error) {
	cfg = cfg.withDefaults()
	if change.BaseVersion != s.Version {
		return s, fmt.Errorf("zones: decided on version %d, it is %d", change.BaseVersion, s.Version)
	}
	if !(change.Shed >= 0 && change.Shed <= maxShed) {
		return s, fmt.Errorf("zones: over %v is outside 0 to %v", change.Shed, maxShed)
	}
	if len(change.Set) == 0 && change.Shed == s.Shed {
		return s, errors.New("zones: changes nothing")
	}
	if err := checkZones(cfg, change.Zones); err != nil {
		return s, err
	}
	if err := s.checkTransitions(cfg, change.Set); err != nil {
		return s, err
	}
	next := State{
		Version: s.Version + 1,
		Pairs:   mergePairs(s.Pairs, change.Set),
		Zones:   slices.Clone(change.Zones),
		Shed:    change.Shed,
	}
	if err := next.checkPairsAreListed(); err != nil {
		return s, err
	}
	if err := next.checkEvacuatedFraction(cfg, change.Set); err != nil {
		return s, err
	}
	return next, nil
}

// checkZones checks the list of all zones in a change.
func checkZones(cfg Config, zones []string) error {
	if len(zones) == 0 || len(zones) > maxZones {
		return fmt.Errorf("zones: %d zones are named, 1 to %d are taken", len(zones), maxZones)
	}
	for i, zone := range zones {
		if !isValidName(zone) || i > 0 && zones[i-1] >= zone {
			return fmt.Errorf("zones: %.80q: no name, out of order, or twice", zone)
		}
		if len(cfg.Zones) > 0 && !slices.Contains(cfg.Zones, zone) {
			return fmt.Errorf("zones: %.80q is none of fleet.zones.zones", zone)
		}
	}
	return nil
}

// checkTransitions checks that the pairs are sorted and that each is a valid transition from the
// current pair.
func (s State) checkTransitions(cfg Config, set []PairStatus) error {
	for i, pair := range set {
		if i > 0 && comparePairs(set[i-1], pair) >= 0 {
			return fmt.Errorf("zones: %s to %s: out of order, or twice", pair.From, pair.To)
		}
		if err := checkTransition(cfg, s.pair(pair.From, pair.To), pair); err != nil {
			return fmt.Errorf("zones: %.64s to %.64s: %w", pair.From, pair.To, err)
		}
	}
	return nil
}

// checkPairsAreListed checks that the zones of every pair are in the state's list of zones.
func (s State) checkPairsAreListed() error {
	for _, pair := range s.Pairs {
		for _, zone := range []string{pair.From, pair.To} {
			if _, ok := slices.BinarySearch(s.Zones, zone); !ok {
				return fmt.Errorf("zones: %.64q is not among the change's zones", zone)
			}
		}
	}
	return nil
}

// checkEvacuatedFraction enforces the panic threshold as far as the state alone allows: no
// observing zone in the change may evacuate more than maxEvacuatedZones, and none may evacuate
// all zones. Recovering zones are included, as they have little capacity yet.
func (s State) checkEvacuatedFraction(cfg Config, changes []PairStatus) error {
	maxEvacuated := cfg.maxEvacuatedZones(len(s.Zones))
	for i, pair := range changes {
		checkedBefore := i > 0 && changes[i-1].From == pair.From && changes[i-1].Status.isEvacuated()
		if !pair.Status.isEvacuated() || checkedBefore {
			continue
		}
		if evacuated := s.evacuatedCount(pair.From); evacuated > maxEvacuated {
			return fmt.Errorf("zones: %s would have left %d of %d zones, at most %d may be (fleet.zones.most)",
				pair.From, evacuated, len(s.Zones), maxEvacuated)
		}
	}
	return nil
}

// evacuatedCount returns the number of zones that are evacuated or recovering as observed from
// one zone.
func (s State) evacuatedCount(from string) (count int) {
	for _, pair := range s.Pairs {
		if pair.From == from && (pair.Status.isEvacuated() || pair.Status == Recovering) {
			count++
		}
	}
	return count
}

// TrafficLimits returns the limits on the traffic from one zone to other zones, sorted by zone. A
// zone without an entry is unlimited. Shed applies to all zones and is not included.
func (s State) TrafficLimits(from string) (limits []TrafficLimit) {
	for _, pair := range s.Pairs {
		switch {
		case pair.From != from:
		case pair.Status.isEvacuated():
			limits = append(limits, TrafficLimit{Zone: pair.To})
		case pair.Share < 1 || pair.Status == Recovering:
			limits = append(limits, TrafficLimit{Zone: pair.To, Share: pair.Share, Rate: pair.Rate})
		}
	}
	return limits
}
