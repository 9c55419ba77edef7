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
type part struct {
	slot                int64
	contracts, inRegion map[string]float64
}

// count adds up what was seen. A part in which nobody measured anything counts as well, once
// a later one has come.
func (k *keeping) count(now time.Duration, seen []slo.Observation) {
	for _, w := range seen {
		if n := len(k.parts); n == 0 || k.parts[n-1].slot < w.Interval {
			k.parts = append(k.parts, part{w.Interval, map[string]float64{}, map[string]float64{}})
		}
		p, all := &k.parts[len(k.parts)-1], float64(w.Histogram.Count())
		p.contracts[w.Contract] += all
		p.inRegion[w.Region] += all
	}
	last := int64((k.ScaledTime(now)-k.Config.LateSampleTimeout)/k.Config.SampleInterval) - 1
	k.parts = slices.DeleteFunc(k.parts, func(p part) bool { return p.slot <= last-int64(k.Config.EvidenceIntervals) })
}

// demand is set-ups a second by contract and by region, of the Config's seconds.
func (k *keeping) demand() (contracts, inRegion map[string]float64) {
	contracts, inRegion = map[string]float64{}, map[string]float64{}
	if len(k.parts) == 0 {
		return contracts, inRegion
	}
	span := float64(k.parts[len(k.parts)-1].slot-k.parts[0].slot+1) * k.Config.SampleInterval.Seconds()
	for _, p := range k.parts {
		for name, n := range p.contracts {
			contracts[name] += n / span
		}
		for name, n := range p.inRegion {
			inRegion[name] += n / span
		}
	}
	return contracts, inRegion
}

// sight is what members together see of a zone.
type sight struct{ servers, loads []float64 }

// little is the part of what a region bears below which it serves nobody else: its load and
// what was counted are of two times.
const little = 0.1

// regions says what each region bears and which part of it postures leave, by what members
// see. Regions are named sets of zones, and zones that are in none.
func (k *keeping) regions(s zonestatus.State, words []zonestatus.Report, members []zonestatus.Member) []slo.Region {
	from, seen := map[string]bool{k.zone: true}, map[string]*sight{}
	alive := map[string]bool{k.name: true}
	for _, m := range members {
		if m.Alive {
			from[m.Zone], alive[m.Name] = true, true
		}
	}
	for _, w := range words {
		for _, z := range w.Observations {
			if !alive[w.Member] {
				break
			}
			if seen[z.Zone] == nil {
				seen[z.Zone] = &sight{}
			}
			warm := float64(z.Endpoints-z.WarmingUp) + float64(z.WarmingUp)*k.Zones.ColdCapacityFraction
			seen[z.Zone].servers = append(seen[z.Zone].servers, warm)
			if z.Load >= 0 {
				seen[z.Zone].loads = append(seen[z.Zone].loads, z.Load)
			}
		}
	}
	left, rate := postures(s, from)
	_, counted := k.demand()
	of := map[string]*slo.Region{}
	for _, name := range slices.Sorted(maps.Keys(seen)) {
		z, region := seen[name], cmp.Or(k.Zones.RegionOf(name), name)
		bears := median(z.servers) * k.Zones.EndpointSetupRate / float64(max(k.TimeScale, 1))
		usable, load := 1.0, -1.0
		if share, bounded := left[name]; bounded {
			usable = share
		}
		if most := rate[name] / float64(max(k.TimeScale, 1)); most > 0 && most < usable*bears {
			usable = most / bears
		}
		if len(z.loads) > 0 {
			load = median(z.loads)
		}
		r := of[region]
		if r == nil {
			r = &slo.Region{Name: region, Load: -1}
			of[region] = r
		}
		if all := r.Capacity + bears; all > 0 {
			r.UsableFraction = (r.UsableFraction*r.Capacity + usable*bears) / all
			if load >= 0 {
				r.Load = (max(r.Load, 0)*r.Capacity + load*bears) / all
			}
		}
		r.Capacity += bears
	}
	var all []slo.Region
	for _, name := range slices.Sorted(maps.Keys(of)) {
		r := of[name]
		if other := r.Load*r.Capacity - counted[name]; other > little*r.Capacity {
			r.OtherTraffic = other
		}
		all = append(all, *r)
	}
	return all
}

// postures are the least share and rate at which any zone with members may use another: a
// contract is steered for all nodes alike, so it goes only where all of them may.
func postures(s zonestatus.State, from map[string]bool) (share, rate map[string]float64) {
	share, rate = map[string]float64{}, map[string]float64{}
	for _, viewpoint := range slices.Sorted(maps.Keys(from)) {
		for _, b := range s.TrafficLimits(viewpoint) {
			if least, ok := share[b.Zone]; !ok || b.Share < least {
				share[b.Zone] = b.Share
			}
			if b.Rate > 0 && (rate[b.Zone] == 0 || b.Rate < rate[b.Zone]) {
				rate[b.Zone] = b.Rate
			}
		}
	}
	return share, rate
}

// median is the lower one, so that few who say too much change nothing.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}
