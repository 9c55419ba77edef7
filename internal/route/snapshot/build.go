// Package snapshot builds the complete update of routes that an agent sends to its node from the state of
// the replicated log. It is separate from package route so that the node does not link code that only the
// agent needs. It does no I/O, reads no clock, starts no goroutine and returns no errors.
package snapshot

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"coralrelay/internal/fleet/account"
	"coralrelay/internal/fleet/agentapi/routeupdate"
	"coralrelay/internal/fleet/slo"
)

// Build returns the complete update at an index: routes by path, allocations by contract. Regions are lists
// of zones by name; readyEndpoints are the counts by zone that the node has reported. The arguments are not
// modified, and the result shares slices with them.
func Build(
	index uint64, accounts account.State, contracts slo.State,
	regions map[string][]string, readyEndpoints map[string]int,
) routeupdate.Update {
	update := routeupdate.Update{Index: index, Complete: true, ReadyEndpoints: readyEndpoints}
	byHolder := map[string][]slo.Contract{}
	for _, contract := range contracts.Contracts {
		byHolder[contract.Holder] = append(byHolder[contract.Holder], contract)
	}
	zones := zoneMap{regions: regions, readyEndpoints: readyEndpoints}
	for _, path := range slices.Sorted(maps.Keys(accounts.Routes)) {
		route := accounts.Routes[path]
		update.Set = append(update.Set, routeupdate.Entry{
			Name:         route.Name,
			Owner:        route.Owner,
			Match:        route.Match,
			ZoneShares:   zones.zoneShares(route.ZoneShares),
			AllowedZones: zones.allowed(accounts, route.Owner),
			Contract:     contractOf(route, contracts, byHolder),
		})
	}
	for _, allocation := range contracts.Allocations {
		update.Allocations = append(update.Allocations, routeupdate.Allocation{
			Contract:      allocation.Contract,
			Shares:        zones.shares(allocation.Shares),
			RejectedShare: allocation.Overflow,
		})
	}
	return update
}

// zoneMap converts shares of zones and regions to shares of zones.
type zoneMap struct {
	regions        map[string][]string
	readyEndpoints map[string]int
}

// spread distributes the share of a zone or region among its zones in proportion to their ready endpoints,
// or evenly if there are none.
func (z zoneMap) spread(name string, share float64, add func(zone string, share float64)) {
	zones := z.regions[name]
	if len(zones) == 0 {
		add(name, share)
		return
	}
	total := 0
	for _, zone := range zones {
		total += z.readyEndpoints[zone]
	}
	for _, zone := range zones {
		if total == 0 {
			add(zone, share/float64(len(zones)))
		} else {
			add(zone, share*float64(z.readyEndpoints[zone])/float64(total))
		}
	}
}

// shares returns the shares of zones, summed in the order of the names of zones and regions.
func (z zoneMap) shares(byName map[string]float64) map[string]float64 {
	byZone := map[string]float64{}
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		z.spread(name, byName[name], func(zone string, share float64) { byZone[zone] += share })
	}
	return byZone
}

// zoneShares returns a route's shares of zones, ordered by zone, or nil if it has none.
func (z zoneMap) zoneShares(shares []account.ZoneShare) []account.ZoneShare {
	if len(shares) == 0 {
		return nil
	}
	byZone := map[string]float64{}
	for _, share := range shares {
		z.spread(share.Zone, share.Percent, func(zone string, percent float64) { byZone[zone] += percent })
	}
	var zones []account.ZoneShare
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		zones = append(zones, account.ZoneShare{Zone: zone, Percent: byZone[zone]})
	}
	return zones
}

// allowed returns the zones that an owner may use, in order, or nil for all zones. They are the owner's own
// list or that of its nearest ancestor with a list, because no list is wider than one of an ancestor.
func (z zoneMap) allowed(accounts account.State, owner string) []string {
	for path := owner; path != ""; path = parent(path) {
		node := accounts.Nodes[path]
		if node == nil || len(node.Scope.Zones) == 0 {
			continue
		}
		var zones []string
		for _, name := range node.Scope.Zones {
			if inRegion := z.regions[name]; len(inRegion) > 0 {
				zones = append(zones, inRegion...)
			} else {
				zones = append(zones, name)
			}
		}
		slices.Sort(zones)
		return slices.Compact(zones)
	}
	return nil
}

// contractOf returns the name of the contract of a route: the one that the route specifies, or one of the
// nearest holder above it. Of several contracts of that holder it is the first by priority, where contracts
// with an allocation come before those without one.
func contractOf(route *account.Route, contracts slo.State, byHolder map[string][]slo.Contract) string {
	if route.Contract != "" {
		return route.Contract
	}
	for path := route.Path(); path != ""; path = parent(path) {
		if candidates := byHolder[path]; len(candidates) > 0 {
			return preferred(candidates, contracts).Name
		}
	}
	return ""
}

// preferred returns the contract that applies among several of one holder.
func preferred(candidates []slo.Contract, contracts slo.State) slo.Contract {
	return slices.MinFunc(candidates, func(a, b slo.Contract) int {
		return cmp.Or(
			cmp.Compare(unallocated(contracts, a), unallocated(contracts, b)),
			cmp.Compare(a.Priority, b.Priority),
			cmp.Compare(a.Name, b.Name))
	})
}

// unallocated returns 1 for a contract without an allocation and 0 otherwise, to sort such contracts last.
func unallocated(contracts slo.State, contract slo.Contract) int {
	if _, ok := contracts.Allocation(contract.Name); ok {
		return 0
	}
	return 1
}

// parent returns the path of the parent: the owner for a route, and an empty path for an account.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ":/"), 0)]
}
