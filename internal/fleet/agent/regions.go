package agent

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"coralrelay/internal/fleet/slo"
	"coralrelay/internal/fleet/zonestatus"
)

// part is how many set-ups were counted in a part of time that is over.
type intervalCounts struct {
	interval             int64
	byContract, byRegion map[string]float64
}

// count adds up what was seen. A part in which nobody measured anything counts as well, once
// a later one has come.
func (k *objectiveKeeper) countSetups(now time.Duration, observations []slo.Observation) {
	for _, observation := range observations {
		if n := len(k.intervals); n == 0 || k.intervals[n-1].interval < observation.Interval {
			k.intervals = append(k.intervals, intervalCounts{observation.Interval, map[string]float64{}, map[string]float64{}})
		}
		counts, setups := &k.intervals[len(k.intervals)-1], float64(observation.Histogram.Count())
		counts.byContract[observation.Contract] += setups
		counts.byRegion[observation.Region] += setups
	}
	last := int64((k.ScaledTime(now)-k.Config.LateSampleTimeout)/k.Config.SampleInterval) - 1
	k.intervals = slices.DeleteFunc(k.intervals, func(counts intervalCounts) bool { return counts.interval <= last-int64(k.Config.EvidenceIntervals) })
}

// demand is set-ups a second by contract and by region, of the Config's seconds.
func (k *objectiveKeeper) setupRates() (byContract, byRegion map[string]float64) {
	byContract, byRegion = map[string]float64{}, map[string]float64{}
	if len(k.intervals) == 0 {
		return byContract, byRegion
	}
	seconds := float64(k.intervals[len(k.intervals)-1].interval-k.intervals[0].interval+1) * k.Config.SampleInterval.Seconds()
	for _, counts := range k.intervals {
		for name, n := range counts.byContract {
			byContract[name] += n / seconds
		}
		for name, n := range counts.byRegion {
			byRegion[name] += n / seconds
		}
	}
	return byContract, byRegion
}

// sight is what members together see of a zone.
type zoneObservations struct{ warmEndpoints, loads []float64 }

// little is the part of what a region bears below which it serves nobody else: its load and
// what was counted are of two times.
const minOtherTraffic = 0.1

// regions says what each region bears and which part of it postures leave, by what members
// see. Regions are named sets of zones, and zones that are in none.
func (k *objectiveKeeper) regions(state zonestatus.State, reports []zonestatus.Report, members []zonestatus.Member) []slo.Region {
	observingZones, zones := map[string]bool{k.zone: true}, map[string]*zoneObservations{}
	alive := map[string]bool{k.name: true}
	for _, m := range members {
		if m.Alive {
			observingZones[m.Zone], alive[m.Name] = true, true
		}
	}
	for _, report := range reports {
		for _, z := range report.Observations {
			if !alive[report.Member] {
				break
			}
			if zones[z.Zone] == nil {
				zones[z.Zone] = &zoneObservations{}
			}
			warm := float64(z.Endpoints-z.WarmingUp) + float64(z.WarmingUp)*k.Zones.ColdCapacityFraction
			zones[z.Zone].warmEndpoints = append(zones[z.Zone].warmEndpoints, warm)
			if z.Load >= 0 {
				zones[z.Zone].loads = append(zones[z.Zone].loads, z.Load)
			}
		}
	}
	shares, rates := strictestLimits(state, observingZones)
	_, setupRates := k.setupRates()
	byName := map[string]*slo.Region{}
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		z, region := zones[name], cmp.Or(k.Zones.RegionOf(name), name)
		capacity := median(z.warmEndpoints) * k.Zones.EndpointSetupRate / float64(max(k.TimeScale, 1))
		usable, load := 1.0, -1.0
		if share, bounded := shares[name]; bounded {
			usable = share
		}
		if maxRate := rates[name] / float64(max(k.TimeScale, 1)); maxRate > 0 && maxRate < usable*capacity {
			usable = maxRate / capacity
		}
		if len(z.loads) > 0 {
			load = median(z.loads)
		}
		r := byName[region]
		if r == nil {
			r = &slo.Region{Name: region, Load: -1}
			byName[region] = r
		}
		if all := r.Capacity + capacity; all > 0 {
			r.UsableFraction = (r.UsableFraction*r.Capacity + usable*capacity) / all
			if load >= 0 {
				r.Load = (max(r.Load, 0)*r.Capacity + load*capacity) / all
			}
		}
		r.Capacity += capacity
	}
	var all []slo.Region
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		r := byName[name]
		if other := r.Load*r.Capacity - setupRates[name]; other > minOtherTraffic*r.Capacity {
			r.OtherTraffic = other
		}
		all = append(all, *r)
	}
	return all
}

// postures are the least share and rate at which any zone with members may use another: a
// contract is steered for all nodes alike, so it goes only where all of them may.
func strictestLimits(state zonestatus.State, observingZones map[string]bool) (shares, rates map[string]float64) {
	shares, rates = map[string]float64{}, map[string]float64{}
	for _, observingZone := range slices.Sorted(maps.Keys(observingZones)) {
		for _, limit := range state.TrafficLimits(observingZone) {
			if smallest, ok := shares[limit.Zone]; !ok || limit.Share < smallest {
				shares[limit.Zone] = limit.Share
			}
			if limit.Rate > 0 && (rates[limit.Zone] == 0 || limit.Rate < rates[limit.Zone]) {
				rates[limit.Zone] = limit.Rate
			}
		}
	}
	return shares, rates
}

// median is the lower one, so that few who say too much change nothing.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
