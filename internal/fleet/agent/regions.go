package agent

import (
	"cmp"
	"maps"
	"slices"

	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// minOtherTraffic is the fraction of a region's capacity below which its traffic outside of contracts is
// taken to be zero. A small difference between the reported load and the counted set-ups is not
// significant, because they were measured at different times.
const minOtherTraffic = 0.1

// zoneObservations are the observations of a zone by several members.
type zoneObservations struct {
	warmEndpoints []float64 // one count for each member; an endpoint that is warming up counts in part
	loads         []float64 // mean load as observed by each member that has load reports
}

// regions returns each region with its capacity and the fraction of it that the zone statuses leave
// usable, based on members' reports. A region is a named set of zones; a zone that is in none is a region
// by itself.
func (o *objectiveManager) regions(state zonestatus.State, reports []zonestatus.Report,
	members []zonestatus.Member) []slo.Region {
	observingZones, alive := map[string]bool{o.zone: true}, map[string]bool{o.name: true}
	for _, m := range members {
		if m.Alive {
			observingZones[m.Zone], alive[m.Name] = true, true
		}
	}
	zones := o.combineReports(reports, alive)
	limits := findStrictestLimits(state, observingZones)
	byName := map[string]*slo.Region{}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		name := cmp.Or(o.Zones.RegionOf(zone), zone)
		if byName[name] == nil {
			byName[name] = &slo.Region{Name: name, Load: -1}
		}
		o.addZone(byName[name], zone, zones[zone], limits)
	}
	rates := o.setupRates().byRegion
	var all []slo.Region
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		region := byName[name]
		if other := region.Load*region.Capacity - rates[name]; other > minOtherTraffic*region.Capacity {
			region.OtherTraffic = other
		}
		all = append(all, *region)
	}
	return all
}

// combineReports returns the observations of each zone by the members that are alive.
func (o *objectiveManager) combineReports(reports []zonestatus.Report,
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
				float64(observation.WarmingUp)*o.Zones.ColdCapacityFraction
			zone.warmEndpoints = append(zone.warmEndpoints, warm)
			if observation.Load >= 0 {
				zone.loads = append(zone.loads, observation.Load)
			}
		}
	}
	return zones
}

// addZone adds a zone to its region. The capacities are summed; the usable fraction and the load are
// means weighted by capacity.
func (o *objectiveManager) addZone(region *slo.Region, zone string, observed *zoneObservations, limits strictestLimits) {
	timeScale := float64(max(o.TimeScale, 1))
	capacity := median(observed.warmEndpoints) * o.Zones.EndpointSetupRate / timeScale
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
	if totalCapacity := region.Capacity + capacity; totalCapacity > 0 {
		region.UsableFraction = (region.UsableFraction*region.Capacity + usable*capacity) / totalCapacity
		if load >= 0 {
			region.Load = (max(region.Load, 0)*region.Capacity + load*capacity) / totalCapacity
		}
	}
	region.Capacity += capacity
}

// strictestLimits are, for each zone, the lowest share and rate at which any zone with members may send
// traffic to it. The allocation of a contract's traffic applies to all nodes, so it must keep to the limits
// of each of them.
type strictestLimits struct {
	shares map[string]float64 // 0 to 1; a zone not listed has no limit
	rates  map[string]float64 // session set-ups a second; a zone not listed has no limit
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

// median returns the lower median, on which a minority of members that report too high values has no
// effect. It sorts values in place, and returns 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
