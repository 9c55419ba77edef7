package agent

import (
	"cmp"
	"maps"
	"slices"

	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// minOtherTraffic is the fraction of a region's capacity below which it is taken to serve no
// other traffic: its load and the counted set-ups are of different times.
const minOtherTraffic = 0.1

// zoneObservations is what members together observe of a zone.
type zoneObservations struct {
	warmEndpoints []float64 // one for each member; those that warm up count in part
	loads         []float64 // mean load, of members that know it
}

// regions returns the capacity of each region and the part of it that the zones' status
// leaves usable, by members' reports. Regions are named sets of zones, and zones that are in
// none.
func (k *objectiveKeeper) regions(state zonestatus.State, reports []zonestatus.Report,
	members []zonestatus.Member) []slo.Region {
	observingZones, alive := map[string]bool{k.zone: true}, map[string]bool{k.name: true}
	for _, m := range members {
		if m.Alive {
			observingZones[m.Zone], alive[m.Name] = true, true
		}
	}
	zones := k.combineReports(reports, alive)
	limits := findStrictestLimits(state, observingZones)
	byName := map[string]*slo.Region{}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		name := cmp.Or(k.Zones.RegionOf(zone), zone)
		if byName[name] == nil {
			byName[name] = &slo.Region{Name: name, Load: -1}
		}
		k.addZone(byName[name], zone, zones[zone], limits)
	}
	measured := k.setupRates().byRegion
	var all []slo.Region
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		region := byName[name]
		if other := region.Load*region.Capacity - measured[name]; other > minOtherTraffic*region.Capacity {
			region.OtherTraffic = other
		}
		all = append(all, *region)
	}
	return all
}

// combineReports returns what the members that are alive observe of each zone.
func (k *objectiveKeeper) combineReports(reports []zonestatus.Report,
	alive map[string]bool) map[string]*zoneObservations {
	zones := map[string]*zoneObservations{}
	for _, report := range reports {
		if !alive[report.Member] {
			continue
		}
		for _, observation := range report.Observations {
			zone := zones[observation.Zone]
			if zone == nil {
				zone = &zoneObservations{}
				zones[observation.Zone] = zone
			}
			warm := float64(observation.Endpoints-observation.WarmingUp) +
				float64(observation.WarmingUp)*k.Zones.ColdCapacityFraction
			zone.warmEndpoints = append(zone.warmEndpoints, warm)
			if observation.Load >= 0 {
				zone.loads = append(zone.loads, observation.Load)
			}
		}
	}
	return zones
}

// addZone adds a zone to its region: capacities add up, the rest is the mean by capacity.
func (k *objectiveKeeper) addZone(region *slo.Region, zone string, observed *zoneObservations, limits strictestLimits) {
	timeScale := float64(max(k.TimeScale, 1))
	capacity := median(observed.warmEndpoints) * k.Zones.EndpointSetupRate / timeScale
	usable, load := 1.0, -1.0
	if share, limited := limits.shares[zone]; limited {
		usable = share
	}
	if maxRate := limits.rates[zone] / timeScale; maxRate > 0 && maxRate < usable*capacity {
		usable = maxRate / capacity
	}
	if len(observed.loads) > 0 {
		load = median(observed.loads)
	}
	if all := region.Capacity + capacity; all > 0 {
		region.UsableFraction = (region.UsableFraction*region.Capacity + usable*capacity) / all
		if load >= 0 {
			region.Load = (max(region.Load, 0)*region.Capacity + load*capacity) / all
		}
	}
	region.Capacity += capacity
}

// strictestLimits are the least share and rate, by zone, at which any zone with members may
// send traffic there. A contract's traffic is allocated for all nodes alike, so it goes only
// where all of them may send it.
type strictestLimits struct {
	shares map[string]float64 // 0 to 1; a zone that is not named has no limit
	rates  map[string]float64 // connection set-ups a second; a zone that is not named has no limit
}

func findStrictestLimits(state zonestatus.State, observingZones map[string]bool) strictestLimits {
	strictest := strictestLimits{shares: map[string]float64{}, rates: map[string]float64{}}
	for _, observingZone := range slices.Sorted(maps.Keys(observingZones)) {
		for _, limit := range state.TrafficLimits(observingZone) {
			if share, ok := strictest.shares[limit.Zone]; !ok || limit.Share < share {
				strictest.shares[limit.Zone] = limit.Share
			}
			if rate := strictest.rates[limit.Zone]; limit.Rate > 0 && (rate == 0 || limit.Rate < rate) {
				strictest.rates[limit.Zone] = limit.Rate
			}
		}
	}
	return strictest
}

// median returns the lower median, so that a few members that report too much change nothing.
// It sorts values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
