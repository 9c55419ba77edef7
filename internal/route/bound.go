package route

import (
	"slices"

	"coralrelay/balance"
	"coralrelay/internal/fleet/agentapi/routeupdate"
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
func resolveBound(entry *routeupdate.Entry, allocation *routeupdate.Allocation, readyEndpoints map[string]int) *balance.ZoneConstraint {
	if len(entry.ZoneShares) == 0 && len(entry.AllowedZones) == 0 && allocation == nil {
		return nil
	}
	bound := &balance.ZoneConstraint{Name: entry.Path()}
	isAllowed := func(zone string) bool {
		return len(entry.AllowedZones) == 0 || slices.Contains(entry.AllowedZones, zone)
	}
	if len(entry.ZoneShares) == 0 && allocation == nil {
		for _, zone := range entry.AllowedZones {
			bound.Zones = append(bound.Zones, balance.ZoneShare{Zone: zone, Share: 1})
		}
		return bound
	}
	weights := map[string]float64{}
	for _, share := range entry.ZoneShares {
		if isAllowed(share.Zone) && share.Percent > 0 {
			weights[share.Zone] = share.Percent
		}
	}
	if allocation != nil {
		combined := map[string]float64{}
		for zone, share := range allocation.Shares {
			weight := 1.0
			if len(entry.ZoneShares) > 0 {
				weight = weights[zone]
			}
			if isAllowed(zone) && share*weight > 0 {
				combined[zone] = share * weight
			}
		}
		if len(combined) == 0 && len(entry.ZoneShares) == 0 { // what the owner may use is all there is
			return resolveBound(&routeupdate.Entry{Name: entry.Name, Owner: entry.Owner, AllowedZones: entry.AllowedZones}, nil, readyEndpoints)
		}
		if len(combined) > 0 {
			weights = combined
		}
	}
	largest := 0.0
	for zone, weight := range weights {
		weights[zone] = weight / float64(max(readyEndpoints[zone], 1))
		largest = max(largest, weights[zone])
	}
	for zone, weight := range weights {
		bound.Zones = append(bound.Zones, balance.ZoneShare{Zone: zone, Share: weight / largest})
	}
	slices.SortFunc(bound.Zones, func(a, b balance.ZoneShare) int {
		if a.Zone < b.Zone {
			return -1
		}
		return 1
	})
	return bound
}
