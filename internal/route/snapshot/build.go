// Package told makes what an agent tells its node of routes out of the record's state. It
// stands apart so that the node does not link what only the agent needs. It does no I/O,
// reads no clock and starts no goroutine.
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

// Whole returns all of it, at an index of the record: routes by path, allocations by
// contract. Regions are sets of zones by name; ready counts next hops by zone, as far as
// the node has told them. What it returns shares the state's slices and changes nothing.
func Build(index uint64, accounts account.State, contracts slo.State, regions map[string][]string, readyEndpoints map[string]int) routeupdate.Update {
	update := routeupdate.Update{Index: index, Complete: true, ReadyEndpoints: readyEndpoints}
	byHolder := map[string][]slo.Contract{}
	for _, held := range contracts.Contracts {
		byHolder[held.Holder] = append(byHolder[held.Holder], held)
	}
	for _, path := range slices.Sorted(maps.Keys(accounts.Routes)) {
		r := accounts.Routes[path]
		update.Set = append(update.Set, routeupdate.Entry{Name: r.Name, Owner: r.Owner, Match: r.Match, ZoneShares: zoneShares(r.ZoneShares, regions, readyEndpoints),
			AllowedZones: allowedZones(accounts, r.Owner, regions), Contract: contractOf(r, contracts, byHolder)})
	}
	for _, allocation := range contracts.Allocations {
		shares := map[string]float64{}
		for _, name := range slices.Sorted(maps.Keys(allocation.Shares)) {
			spreadOverZones(name, allocation.Shares[name], regions, readyEndpoints, func(zone string, share float64) { shares[zone] += share })
		}
		update.Allocations = append(update.Allocations, routeupdate.Allocation{Contract: allocation.Contract, Shares: shares, RejectedShare: allocation.Overflow})
	}
	return update
}

// spread deals the part of a zone or region among its zones, by their next hops.
func spreadOverZones(name string, share float64, regions map[string][]string, readyEndpoints map[string]int, add func(zone string, share float64)) {
	zones, total := regions[name], 0
	if len(zones) == 0 {
		add(name, share)
		return
	}
	for _, zone := range zones {
		total += readyEndpoints[zone]
	}
	for _, zone := range zones {
		if total == 0 {
			add(zone, share/float64(len(zones)))
		} else {
			add(zone, share*float64(readyEndpoints[zone])/float64(total))
		}
	}
}

func zoneShares(shares []account.ZoneShare, regions map[string][]string, readyEndpoints map[string]int) []account.ZoneShare {
	if len(shares) == 0 {
		return nil
	}
	sums := map[string]float64{}
	for _, share := range shares {
		spreadOverZones(share.Zone, share.Percent, regions, readyEndpoints, func(zone string, share float64) { sums[zone] += share })
	}
	var zones []account.ZoneShare
	for _, zone := range slices.Sorted(maps.Keys(sums)) {
		zones = append(zones, account.ZoneShare{Zone: zone, Percent: sums[zone]})
	}
	return zones
}

// zonesOf returns what an owner may use: its own list, or that of the nearest above that
// has one, as a list is never wider than one above it.
func allowedZones(accounts account.State, owner string, regions map[string][]string) (zones []string) {
	for path := owner; path != ""; path = parent(path) {
		if node := accounts.Nodes[path]; node != nil && len(node.Scope.Zones) > 0 {
			for _, name := range node.Scope.Zones {
				spreadOverZones(name, 1, regions, nil, func(zone string, _ float64) { zones = append(zones, zone) })
			}
			slices.Sort(zones)
			return slices.Compact(zones)
		}
	}
	return nil
}

// contract names the contract that a route goes by: the one that it states, or that of the
// nearest holder, of several the first by priority that was ever steered.
func contractOf(route *account.Route, contracts slo.State, byHolder map[string][]slo.Contract) string {
	if route.Contract != "" {
		return route.Contract
	}
	for path := route.Path(); path != ""; path = parent(path) {
		if candidates := byHolder[path]; len(candidates) > 0 {
			best := slices.MinFunc(candidates, func(a, b slo.Contract) int {
				return cmp.Or(cmp.Compare(unsteeredLast(contracts, a), unsteeredLast(contracts, b)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
			})
			return best.Name
		}
	}
	return ""
}

func unsteeredLast(contracts slo.State, contract slo.Contract) int {
	if _, ok := contracts.Allocation(contract.Name); ok {
		return 0
	}
	return 1
}

// above returns the path above: of a route its owner, of an account none.
func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ":/"), 0)]
}
