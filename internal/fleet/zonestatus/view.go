package zonestatus

import (
	"maps"
	"slices"
	"time"
)

// zoneStats holds one zone's medians over all reports.
type zoneStats struct {
	endpoints float64
	warmingUp float64 // endpoints in slow start
	load      float64 // ratio of load to capacity; -1 if unknown
	failing   float64 // fraction of the endpoints
}

// fleetView combines all reports at one point in time. Zones are identified by their index in
// zones.
type fleetView struct {
	cfg             Config
	guards          Guards
	zones           []string
	regions         []string       // by zone
	aliveMembers    []int          // by zone
	memberFractions []float64      // fraction of all live members, by zone
	hasMembers      []bool         // whether the zone has or had members
	pairs           []pairEvidence // indexed by from*len(zones) + to
	stats           []zoneStats
}

// newFleetView combines the usable reports into one view.
func newFleetView(
	cfg Config, guards Guards, now time.Duration, state State, allReports []Report, members []Member,
) *fleetView {
	v := &fleetView{cfg: cfg, guards: guards}
	reports := usableReports(cfg, now, allReports, members)
	v.nameZones(state, reports, members)
	n := len(v.zones)
	zoneIndex := make(map[string]int, n)
	for i, zone := range v.zones {
		zoneIndex[zone] = i
		v.regions = append(v.regions, cfg.RegionOf(zone))
	}
	v.countMembers(zoneIndex, state, members)
	v.pairs = make([]pairEvidence, n*n)
	isolated := v.addReports(zoneIndex, reports)
	v.collectStats(zoneIndex, reports)
	for i := range v.pairs {
		v.pairs[i].summarize(v.quorum(i / n))
	}
	v.crossCheck(isolated)
	return v
}

func (v *fleetView) pair(from, to int) *pairEvidence { return &v.pairs[from*len(v.zones)+to] }

// quorum returns how many members of a zone must agree.
func (v *fleetView) quorum(from int) int {
	if v.guards.Quorum {
		return 1
	}
	return max(1, min(minReporters, v.aliveMembers[from]))
}

// nameZones sets the list of zones. Zones of the state have precedence; then come the members'
// zones and those that minReporters reports name, up to maxZones.
func (v *fleetView) nameZones(state State, reports []*Report, members []Member) {
	mentions := map[string]int{}
	for _, report := range reports {
		for i := range report.Observations {
			mentions[report.Observations[i].Zone]++
		}
	}
	for _, member := range members {
		mentions[member.Zone] = maxReports
	}
	known := map[string]bool{}
	for _, pair := range state.Pairs {
		known[pair.From], known[pair.To] = true, true
	}
	minMentions := min(minReporters, max(1, len(reports)))
	for _, zone := range slices.Sorted(maps.Keys(mentions)) {
		isConfigured := len(v.cfg.Zones) == 0 || slices.Contains(v.cfg.Zones, zone)
		if isValidName(zone) && mentions[zone] >= minMentions && isConfigured {
			known[zone] = known[zone] || len(known) < maxZones
		}
	}
	maps.DeleteFunc(known, func(_ string, isKnown bool) bool { return !isKnown })
	v.zones = slices.Sorted(maps.Keys(known))
}

// countMembers counts each zone's live members and computes their fraction of all live members,
// which approximates the zone's fraction of all session set-ups.
func (v *fleetView) countMembers(zoneIndex map[string]int, state State, members []Member) {
	v.aliveMembers, v.hasMembers = make([]int, len(v.zones)), make([]bool, len(v.zones))
	alive := 0
	for _, member := range members {
		i, ok := zoneIndex[member.Zone]
		if !ok {
			continue
		}
		v.hasMembers[i] = true
		if member.Alive {
			v.aliveMembers[i]++
			alive++
		}
	}
	for _, pair := range state.Pairs {
		v.hasMembers[zoneIndex[pair.From]] = true
	}
	v.memberFractions = make([]float64, len(v.zones))
	for i, count := range v.aliveMembers {
		v.memberFractions[i] = float64(count) / float64(max(alive, 1))
	}
}

// addReports adds the reports to the pairs' evidence. It returns which zones are isolated, that
// is, at least half of their reporters are. Isolated members of other zones are ignored.
func (v *fleetView) addReports(zoneIndex map[string]int, reports []*Report) (isolatedZones []bool) {
	reporters, isolatedReporters := make([]int, len(v.zones)), make([]int, len(v.zones))
	isolated := make([]bool, len(reports))
	for i, report := range reports {
		from, ok := zoneIndex[report.Zone]
		if !ok {
			continue
		}
		reporters[from]++
		isolated[i] = report.isIsolated(&v.cfg) && !v.guards.ReporterConnectivity
		if isolated[i] {
			isolatedReporters[from]++
		}
	}
	isolatedZones = make([]bool, len(v.zones))
	for from := range isolatedZones {
		isolatedZones[from] = isolatedReporters[from] > 0 && 2*isolatedReporters[from] >= reporters[from]
	}
	for i, report := range reports {
		from, ok := zoneIndex[report.Zone]
		if !ok || isolated[i] && !isolatedZones[from] {
			continue
		}
		for j := range report.Observations {
			observation := &report.Observations[j]
			if to, ok := zoneIndex[observation.Zone]; ok {
				v.pair(from, to).add(&v.cfg, observation, v.aliveMembers[from])
			}
		}
	}
	return isolatedZones
}

// collectStats computes the statistics of each zone.
func (v *fleetView) collectStats(zoneIndex map[string]int, reports []*Report) {
	type samples struct{ endpoints, warmingUp, loads, failing []float64 }
	collected := make([]samples, len(v.zones))
	for i := range collected {
		collected[i] = samples{
			endpoints: make([]float64, 0, len(reports)),
			warmingUp: make([]float64, 0, len(reports)),
			loads:     make([]float64, 0, len(reports)),
			failing:   make([]float64, 0, len(reports)),
		}
	}
	for _, report := range reports {
		for i := range report.Observations {
			observation := &report.Observations[i]
			to, ok := zoneIndex[observation.Zone]
			if !ok {
				continue
			}
			zone := &collected[to]
			zone.endpoints = append(zone.endpoints, float64(observation.Endpoints))
			zone.warmingUp = append(zone.warmingUp, float64(observation.WarmingUp))
			zone.failing = append(zone.failing, observation.failingFraction())
			if observation.Load >= 0 {
				zone.loads = append(zone.loads, observation.Load)
			}
		}
	}
	v.stats = make([]zoneStats, len(v.zones))
	for i, zone := range collected {
		v.stats[i] = zoneStats{
			endpoints: median(zone.endpoints, 0),
			warmingUp: median(zone.warmingUp, 0),
			load:      median(zone.loads, -1),
			failing:   median(zone.failing, 0),
		}
	}
}
