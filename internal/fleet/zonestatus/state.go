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
		r := &s.Pairs[mid]
		switch c := cmp.Or(strings.Compare(r.From, from), strings.Compare(r.To, to)); {
		case c == 0:
			return *r
		case c < 0:
			low = mid + 1
		default:
			high = mid
		}
	}
	return PairStatus{From: from, To: to, Share: 1}
}

// Apply returns the state after a change, or why it is not taken: its base, a name, a
// posture that can't follow the last one, or more zones left than the panic rule allows.
func (s State) Apply(cfg Config, c Change) (State, error) {
	cfg = cfg.withDefaults()
	if c.BaseVersion != s.Version {
		return s, fmt.Errorf("zones: decided on version %d, it is %d", c.BaseVersion, s.Version)
	}
	if !(c.Shed >= 0 && c.Shed <= maxShed) {
		return s, fmt.Errorf("zones: over %v is outside 0 to %v", c.Shed, maxShed)
	}
	if len(c.Set) == 0 && c.Shed == s.Shed {
		return s, errors.New("zones: changes nothing")
	}
	if err := checkZones(cfg, c.Zones); err != nil {
		return s, err
	}
	for i, n := range c.Set {
		if i > 0 && comparePairs(c.Set[i-1], n) >= 0 {
			return s, fmt.Errorf("zones: %s to %s: out of order, or twice", n.From, n.To)
		}
		if err := checkTransition(cfg, s.pair(n.From, n.To), n); err != nil {
			return s, fmt.Errorf("zones: %.64s to %.64s: %w", n.From, n.To, err)
		}
	}
	next := State{Version: s.Version + 1, Pairs: mergePairs(s.Pairs, c.Set), Zones: slices.Clone(c.Zones), Shed: c.Shed}
	for _, r := range next.Pairs {
		for _, z := range []string{r.From, r.To} {
			if _, ok := slices.BinarySearch(next.Zones, z); !ok {
				return s, fmt.Errorf("zones: %.64q is not among the change's zones", z)
			}
		}
	}
	if err := next.checkEvacuatedFraction(cfg, c.Set); err != nil {
		return s, err
	}
	return next, nil
}

// listed checks a change's list of all zones.
func checkZones(cfg Config, zones []string) error {
	if len(zones) == 0 || len(zones) > maxZones {
		return fmt.Errorf("zones: %d zones are named, 1 to %d are taken", len(zones), maxZones)
	}
	for i, z := range zones {
		if !isValidName(z) || i > 0 && zones[i-1] >= z {
			return fmt.Errorf("zones: %.80q: no name, out of order, or twice", z)
		}
		if len(cfg.Zones) > 0 && !slices.Contains(cfg.Zones, z) {
			return fmt.Errorf("zones: %.80q is none of fleet.zones.zones", z)
		}
	}
	return nil
}

// merged returns the rows with those of set in their place. What is as if it were not
// named is dropped.
func mergePairs(rows, set []PairStatus) []PairStatus {
	var out []PairStatus
	add := func(r PairStatus) {
		if r.Status != Active || r.Share != 1 || r.Failures != 0 {
			out = append(out, r)
		}
	}
	for len(rows) > 0 || len(set) > 0 {
		switch {
		case len(set) == 0 || len(rows) > 0 && comparePairs(rows[0], set[0]) < 0:
			add(rows[0])
			rows = rows[1:]
		default:
			if len(rows) > 0 && comparePairs(rows[0], set[0]) == 0 {
				rows = rows[1:]
			}
			add(set[0])
			set = set[1:]
		}
	}
	return out
}

// carries is the panic rule as far as the state alone can tell: no viewpoint that the
// change touches leaves more than its part of the zones, and none leaves all. A zone that
// is being returned to bears little yet, and counts as left.
func (s State) checkEvacuatedFraction(cfg Config, set []PairStatus) error {
	most := cfg.maxEvacuatedZones(len(s.Zones))
	for i, n := range set {
		if !n.Status.isEvacuated() || i > 0 && set[i-1].From == n.From && set[i-1].Status.isEvacuated() {
			continue
		}
		if left := s.evacuatedCount(n.From); left > most {
			return fmt.Errorf("zones: %s would have left %d of %d zones, at most %d may be (fleet.zones.most)",
				n.From, left, len(s.Zones), most)
		}
	}
	return nil
}

// left counts the zones that one viewpoint has left and those it is returning to.
func (s State) evacuatedCount(from string) (n int) {
	for _, r := range s.Pairs {
		if r.From == from && (r.Status.isEvacuated() || r.Status == Recovering) {
			n++
		}
	}
	return n
}

// Bounds returns what a node of one zone may send others, by name: a zone that is not
// named has no bound. Over, which is no zone's, is to be read from the state.
func (s State) TrafficLimits(from string) (all []TrafficLimit) {
	for _, r := range s.Pairs {
		switch {
		case r.From != from:
		case r.Status.isEvacuated():
			all = append(all, TrafficLimit{Zone: r.To})
		case r.Share < 1 || r.Status == Recovering:
			all = append(all, TrafficLimit{Zone: r.To, Share: r.Share, Rate: r.Rate})
		}
	}
	return all
}
