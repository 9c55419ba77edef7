package zonestatus

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// String names the posture as people read it.
func (s Status) String() string {
	if s < Active || s > HeldBack {
		return fmt.Sprintf("posture %d", int(s))
	}
	return [...]string{"open", "suspect", "leaving", "left", "returning", "held"}[s]
}

// gone tells whether nothing new is sent.
func (s Status) isEvacuated() bool { return s == Evacuating || s == Evacuated || s == HeldBack }

// most of an Over, of the times that a zone is counted as failed, and of a rate.
const maxShed, maxFailures, maxRecoveryRate = 0.95, 1 << 20, 1e6

func comparePairs(a, b PairStatus) int {
	return cmp.Or(strings.Compare(a.From, b.From), strings.Compare(a.To, b.To))
}

// seen returns the posture of a zone from another: Open with share 1 if it is not named.
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

// Apply returns the state after a change, or why it is not taken: its base, a name, a
// posture that can't follow the last one, or more zones left than the panic rule allows.
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
	for i, pair := range change.Set {
		if i > 0 && comparePairs(change.Set[i-1], pair) >= 0 {
			return s, fmt.Errorf("zones: %s to %s: out of order, or twice", pair.From, pair.To)
		}
		if err := checkTransition(cfg, s.pair(pair.From, pair.To), pair); err != nil {
			return s, fmt.Errorf("zones: %.64s to %.64s: %w", pair.From, pair.To, err)
		}
	}
	next := State{Version: s.Version + 1, Pairs: mergePairs(s.Pairs, change.Set), Zones: slices.Clone(change.Zones), Shed: change.Shed}
	for _, pair := range next.Pairs {
		for _, zone := range []string{pair.From, pair.To} {
			if _, ok := slices.BinarySearch(next.Zones, zone); !ok {
				return s, fmt.Errorf("zones: %.64q is not among the change's zones", zone)
			}
		}
	}
	if err := next.checkEvacuatedFraction(cfg, change.Set); err != nil {
		return s, err
	}
	return next, nil
}

// listed checks a change's list of all zones.
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

// merged returns the rows with those of set in their place. What is as if it were not
// named is dropped.
func mergePairs(pairs, changes []PairStatus) []PairStatus {
	var merged []PairStatus
	add := func(pair PairStatus) {
		if pair.Status != Active || pair.Share != 1 || pair.Failures != 0 {
			merged = append(merged, pair)
		}
	}
	for len(pairs) > 0 || len(changes) > 0 {
		switch {
		case len(changes) == 0 || len(pairs) > 0 && comparePairs(pairs[0], changes[0]) < 0:
			add(pairs[0])
			pairs = pairs[1:]
		default:
			if len(pairs) > 0 && comparePairs(pairs[0], changes[0]) == 0 {
				pairs = pairs[1:]
			}
			add(changes[0])
			changes = changes[1:]
		}
	}
	return merged
}

// carries is the panic rule as far as the state alone can tell: no viewpoint that the
// change touches leaves more than its part of the zones, and none leaves all. A zone that
// is being returned to bears little yet, and counts as left.
func (s State) checkEvacuatedFraction(cfg Config, changes []PairStatus) error {
	maxEvacuated := cfg.maxEvacuatedZones(len(s.Zones))
	for i, pair := range changes {
		if !pair.Status.isEvacuated() || i > 0 && changes[i-1].From == pair.From && changes[i-1].Status.isEvacuated() {
			continue
		}
		if evacuated := s.evacuatedCount(pair.From); evacuated > maxEvacuated {
			return fmt.Errorf("zones: %s would have left %d of %d zones, at most %d may be (fleet.zones.most)",
				pair.From, evacuated, len(s.Zones), maxEvacuated)
		}
	}
	return nil
}

// left counts the zones that one viewpoint has left and those it is returning to.
func (s State) evacuatedCount(from string) (count int) {
	for _, pair := range s.Pairs {
		if pair.From == from && (pair.Status.isEvacuated() || pair.Status == Recovering) {
			count++
		}
	}
	return count
}

// Bounds returns what a node of one zone may send others, by name: a zone that is not
// named has no bound. Over, which is no zone's, is to be read from the state.
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
