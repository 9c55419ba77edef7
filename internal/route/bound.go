package route

import (
	"cmp"
	"slices"

	"coralrelay/balance"
	"coralrelay/internal/fleet/agentapi/routeupdate"
)

// resolveConstraint returns the zones in which a route's sessions may be placed, or nil for all zones. The
// zones follow from these rules, and no rule widens what an earlier one allows:
//
//  1. Package balance's own constraints: rules, slow start and drain limits, then the status of the
//     zones, which arrives as a grant. The result can only narrow what these allow.
//  2. The owner's zones: shares and contracts cannot add other zones.
//  3. The route's shares: a zone with 0 percent, or without a share if the route has shares, is closed.
//  4. The contract's allocation: it weights the remaining zones. For a route with shares, the weight is
//     the product of both. An allocation that contains none of the remaining zones is ignored.
//  5. Locality is not considered: the remaining endpoints are drawn evenly.
//
// Shares are of sessions, but package balance takes shares of draws. A zone with twice the endpoints is
// drawn twice as often, so its weight is halved for the same share of sessions.
func resolveConstraint(
	entry *routeupdate.Entry, allocation *routeupdate.Allocation, readyEndpoints map[string]int,
) *balance.ZoneConstraint {
	weights := shareWeights(entry)
	if allocation != nil {
		if weighted := allocationWeights(entry, allocation, weights); len(weighted) > 0 {
			weights = weighted
		} else if len(entry.ZoneShares) == 0 {
			allocation = nil // only the owner's zones apply
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

// zoneWeights are weights by zone; a zone without a weight is closed.
type zoneWeights map[string]float64

// shareWeights returns the route's own shares of the owner's zones.
func shareWeights(entry *routeupdate.Entry) zoneWeights {
	weights := zoneWeights{}
	for _, share := range entry.ZoneShares {
		if share.Percent > 0 && isAllowedZone(entry, share.Zone) {
			weights[share.Zone] = share.Percent
		}
	}
	return weights
}

// allocationWeights returns a contract's allocation for the owner's zones, multiplied by the route's own
// shares if it has any.
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

// constraintZones converts weights of sessions to shares of draws, scaled so that the largest is 1.
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
