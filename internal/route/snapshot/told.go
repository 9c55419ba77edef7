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
	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/route"
)

// Whole returns all of it, at an index of the record: routes by path, allocations by
// contract. Regions are sets of zones by name; ready counts next hops by zone, as far as
// the node has told them. What it returns shares the state's slices and changes nothing.
func Build(index uint64, a account.State, p slo.State, regions map[string][]string, ready map[string]int) route.Update {
	w := route.Update{Index: index, Complete: true, ReadyEndpoints: ready}
	held := map[string][]slo.Contract{}
	for _, c := range p.Contracts {
		held[c.Holder] = append(held[c.Holder], c)
	}
	for _, path := range slices.Sorted(maps.Keys(a.Routes)) {
		r := a.Routes[path]
		w.Set = append(w.Set, route.Entry{Name: r.Name, Owner: r.Owner, Match: r.Match, ZoneShares: parts(r.ZoneShares, regions, ready),
			AllowedZones: zonesOf(a, r.Owner, regions), Contract: contract(r, p, held)})
	}
	for _, s := range p.Allocations {
		shares := map[string]float64{}
		for _, name := range slices.Sorted(maps.Keys(s.Shares)) {
			spread(name, s.Shares[name], regions, ready, func(zone string, part float64) { shares[zone] += part })
		}
		w.Allocations = append(w.Allocations, route.Allocation{Contract: s.Contract, Shares: shares, RejectedShare: s.Overflow})
	}
	return w
}

// spread deals the part of a zone or region among its zones, by their next hops.
func spread(name string, part float64, regions map[string][]string, ready map[string]int, each func(zone string, part float64)) {
	zones, all := regions[name], 0
	if len(zones) == 0 {
		each(name, part)
		return
	}
	for _, zone := range zones {
		all += ready[zone]
	}
	for _, zone := range zones {
		if all == 0 {
			each(zone, part/float64(len(zones)))
		} else {
			each(zone, part*float64(ready[zone])/float64(all))
		}
	}
}

func parts(list []account.ZoneShare, regions map[string][]string, ready map[string]int) []account.ZoneShare {
	if len(list) == 0 {
		return nil
	}
	sums := map[string]float64{}
	for _, p := range list {
		spread(p.Zone, p.Percent, regions, ready, func(zone string, part float64) { sums[zone] += part })
	}
	var zones []account.ZoneShare
	for _, zone := range slices.Sorted(maps.Keys(sums)) {
		zones = append(zones, account.ZoneShare{Zone: zone, Percent: sums[zone]})
	}
	return zones
}

// zonesOf returns what an owner may use: its own list, or that of the nearest above that
// has one, as a list is never wider than one above it.
func zonesOf(a account.State, owner string, regions map[string][]string) (zones []string) {
	for path := owner; path != ""; path = above(path) {
		if n := a.Nodes[path]; n != nil && len(n.Scope.Zones) > 0 {
			for _, name := range n.Scope.Zones {
				spread(name, 1, regions, nil, func(zone string, _ float64) { zones = append(zones, zone) })
			}
			slices.Sort(zones)
			return slices.Compact(zones)
		}
	}
	return nil
}

// contract names the contract that a route goes by: the one that it states, or that of the
// nearest holder, of several the first by priority that was ever steered.
func contract(r *account.Route, p slo.State, held map[string][]slo.Contract) string {
	if r.Contract != "" {
		return r.Contract
	}
	for path := r.Path(); path != ""; path = above(path) {
		if of := held[path]; len(of) > 0 {
			best := slices.MinFunc(of, func(a, b slo.Contract) int {
				return cmp.Or(cmp.Compare(unsteered(p, a), unsteered(p, b)), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
			})
			return best.Name
		}
	}
	return ""
}

func unsteered(p slo.State, c slo.Contract) int {
	if _, ok := p.Allocation(c.Name); ok {
		return 0
	}
	return 1
}

// above returns the path above: of a route its owner, of an account none.
func above(path string) string {
	return path[:max(strings.LastIndexAny(path, ":/"), 0)]
}
