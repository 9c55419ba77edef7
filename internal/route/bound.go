package route

import (
	"cmp"
	"slices"

	"coralrelay/balance"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// resolveBound says in which zones a route's sessions may be placed; nil for anywhere. What comes
// first is never widened by what comes later:
//
//  1. Package balance's own constraints: rules, slow start and drain limits, then the zones'
//     status, which comes as a grant. A bound only takes from what these leave.
//  2. The owner's zones: no share and no contract leads out of them.
//  3. The route's shares: a zone of 0 percent, or of none where there are shares, stays closed.
//  4. The contract's allocation: it weighs the zones that are left, those of a route with shares
//     by the product of both. If it names none of them it says nothing.
//  5. Locality does not count: what is left is drawn evenly.
//
// Shares are of sessions, and package balance keeps shares of draws: a zone with twice the
// endpoints is drawn twice as often, so that its weight is halved for the same share.
func resolveBound(
	entry *routeupdate.Entry, allocation *routeupdate.Allocation, readyEndpoints map[string]int,
) *balance.ZoneConstraint {
	weights := shareWeights(entry)
	if allocation != nil {
		if weighed := allocationWeights(entry, allocation, weights); len(weighed) > 0 {
			weights = weighed
		} else if len(entry.ZoneShares) == 0 {
			allocation = nil // what the owner may use is all there is
		}
	}
	switch {
	case len(entry.ZoneShares) > 0 || allocation != nil:
		return &balance.ZoneConstraint{Name: entry.Path(), Zones: constraintZones(weights, readyEndpoints)}
	case len(entry.AllowedZones) > 0:
		return &balance.ZoneConstraint{Name: entry.Path(), Zones: evenZones(entry.AllowedZones)}
	}
	return nil
}

func isAllowedZone(entry *routeupdate.Entry, zone string) bool {
	return len(entry.AllowedZones) == 0 || slices.Contains(entry.AllowedZones, zone)
}

// zoneWeights are weights by zone; a zone that is not there is closed.
type zoneWeights map[string]float64

// shareWeights returns the route's own shares within the owner's zones.
func shareWeights(entry *routeupdate.Entry) zoneWeights {
	weights := zoneWeights{}
	for _, share := range entry.ZoneShares {
		if share.Percent > 0 && isAllowedZone(entry, share.Zone) {
			weights[share.Zone] = share.Percent
		}
	}
	return weights
}

// allocationWeights returns a contract's allocation within the owner's zones, weighed by the
// route's own shares if it has some.
func allocationWeights(
	entry *routeupdate.Entry, allocation *routeupdate.Allocation, shares zoneWeights,
) zoneWeights {
	weights := zoneWeights{}
	for zone, share := range allocation.Shares {
		weight := 1.0
		if len(entry.ZoneShares) > 0 {
			weight = shares[zone]
		}
		if share*weight > 0 && isAllowedZone(entry, zone) {
			weights[zone] = share * weight
		}
	}
	return weights
}

// constraintZones turns weights of sessions into shares of draws, the largest of them 1.
func constraintZones(weights zoneWeights, readyEndpoints map[string]int) []balance.ZoneShare {
	largest := 0.0
	for zone, weight := range weights {
		weights[zone] = weight / float64(max(readyEndpoints[zone], 1))
		largest = max(largest, weights[zone])
	}
	var zones []balance.ZoneShare
	for zone, weight := range weights {
		zones = append(zones, balance.ZoneShare{Zone: zone, Share: weight / largest})
	}
	slices.SortFunc(zones, func(a, b balance.ZoneShare) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}

func evenZones(allowed []string) []balance.ZoneShare {
	var zones []balance.ZoneShare
	for _, zone := range allowed {
		zones = append(zones, balance.ZoneShare{Zone: zone, Share: 1})
	}
	return zones
}
