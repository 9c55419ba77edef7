package route

import (
	"slices"

	"coralrelay/balance"
)

// resolve says where a route's transactions may be drawn; nil for anywhere. What comes
// first is never widened by what comes later:
//
//  1. The module's own: rules, cold and drain limits, then zones' postures, which come as
//     a grant. A bound only takes from what these leave.
//  2. The owner's zones: no part and no contract leads out of them.
//  3. The route's parts: a zone of 0 percent, or of none where there are parts, stays shut.
//  4. The contract's allocation: it weighs the zones that are left, those of a route with
//     parts by part times share. If it names none of them it says nothing.
//  5. Locality is nobody's: what is left is drawn evenly.
//
// Parts and shares are of transactions, and the module keeps parts of draws: a zone with
// twice the next hops is drawn twice as often, so that it keeps half for the same part.
func resolve(e *Entry, steered *Allocation, ready map[string]int) *balance.ZoneConstraint {
	if len(e.ZoneShares) == 0 && len(e.AllowedZones) == 0 && steered == nil {
		return nil
	}
	bound := &balance.ZoneConstraint{Name: e.Path()}
	open := func(zone string) bool { return len(e.AllowedZones) == 0 || slices.Contains(e.AllowedZones, zone) }
	if len(e.ZoneShares) == 0 && steered == nil {
		for _, zone := range e.AllowedZones {
			bound.Zones = append(bound.Zones, balance.ZoneShare{Zone: zone, Share: 1})
		}
		return bound
	}
	weights := map[string]float64{}
	for _, p := range e.ZoneShares {
		if open(p.Zone) && p.Percent > 0 {
			weights[p.Zone] = p.Percent
		}
	}
	if steered != nil {
		both := map[string]float64{}
		for zone, share := range steered.Shares {
			weight := 1.0
			if len(e.ZoneShares) > 0 {
				weight = weights[zone]
			}
			if open(zone) && share*weight > 0 {
				both[zone] = share * weight
			}
		}
		if len(both) == 0 && len(e.ZoneShares) == 0 { // what the owner may use is all there is
			return resolve(&Entry{Name: e.Name, Owner: e.Owner, AllowedZones: e.AllowedZones}, nil, ready)
		}
		if len(both) > 0 {
			weights = both
		}
	}
	greatest := 0.0
	for zone, w := range weights {
		weights[zone] = w / float64(max(ready[zone], 1))
		greatest = max(greatest, weights[zone])
	}
	for zone, w := range weights {
		bound.Zones = append(bound.Zones, balance.ZoneShare{Zone: zone, Share: w / greatest})
	}
	slices.SortFunc(bound.Zones, func(a, b balance.ZoneShare) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return bound
}
