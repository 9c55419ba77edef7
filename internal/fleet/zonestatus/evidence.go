package zonestatus

import (
	"maps"
	"slices"
	"time"
)

// Member is what membership says of one member.
type Member struct {
	Name, Zone string
	Alive      bool
}

// Guards can be taken out one by one, so that a rig can show that its checks see it.
type Guards struct {
	PanicThreshold       bool // leave however little stays
	RecoveryRamp         bool // come back at once, without evidence or budget
	ReporterConnectivity bool // believe those who reach hardly anybody
	HoldDown             bool // hold nothing that fails again
	ObservingZone        bool // what one zone sees is so for all
	Quorum               bool // one member's word is enough
}

const (
	// accusers is how many members of a viewpoint must agree, where there are so many.
	minReporters = 2
	// mostSights and mostWords bound what is taken of others' words.
	maxObservations, maxReports = maxZones, 4096
	// back is the bad share of a zone's servers up to which a return to it is tried.
	maxFailingForRecovery = 0.6
)

// pair is what one zone's members see of another zone.
type pairEvidence struct {
	reporters          int     // members who asked enough for their word to count
	known              bool    // they are as many as it takes
	unavailable        bool    // it serves nobody from here
	failing            float64 // share of its servers that fail, as the median of those told
	receivers          int     // members whose lists name servers there
	failingUnconfirmed float64 // as bad, over all who are heard, however little they asked
	attempts           float64 // by all of them together

	unavailableReports           int
	failingReported, failingSeen []float64
}

// stock is what there is in one zone, as medians over all words.
type zoneStats struct {
	endpoints, warmingUp, load, failing float64 // load is -1 if nobody knows it
}

// view is what all words together say at one time. Zones are told by their place in zones.
type fleetView struct {
	cfg             Config
	guards          Guards
	zones           []string
	regions         []string
	aliveMembers    []int          // members by zone
	memberFractions []float64      // of all members that are alive, by zone
	hasMembers      []bool         // zones that have or had members
	pairs           []pairEvidence // from * len(zones) + to
	stats           []zoneStats
}

func (v *fleetView) pair(from, to int) *pairEvidence { return &v.pairs[from*len(v.zones)+to] }

// quorum is how many members of a zone must say a thing.
func (v *fleetView) quorum(from int) int {
	if v.guards.Quorum {
		return 1
	}
	return max(1, min(minReporters, v.aliveMembers[from]))
}

// true words only: what comes from outside may be anything.
func (r *Report) isPlausible() bool {
	isCount := func(x float64) bool { return x >= 0 && x <= 1e9 }
	return len(r.Observations) <= maxObservations && !slices.ContainsFunc(r.Observations, func(o Observation) bool {
		return !isValidName(o.Zone) || o.Endpoints < 0 || o.Endpoints > 1e6 || o.Failing < 0 || o.Failing > o.Endpoints || o.Attempted < 0 || o.Attempted > o.Endpoints ||
			o.WarmingUp < 0 || o.WarmingUp > o.Endpoints || !isCount(o.Attempts) || !isCount(o.FailedAttempts) || o.FailedAttempts > o.Attempts+1e-6 || !(o.Load >= -1 && o.Load <= 1000)
	})
}

// share is the part of the tried servers that failed.
func (o *Observation) failingFraction() float64 {
	if o.Attempted > 0 {
		return min(1, float64(o.Failing)/float64(o.Attempted))
	}
	return float64(o.Failing) / float64(max(o.Endpoints, 1))
}

// tells whether the member asked enough of the zone, and enough of its servers.
func (o *Observation) isConclusive(cfg *Config) bool {
	return o.Endpoints > 0 && o.Attempts >= cfg.MinAttempts && (o.Attempted == 0 || 2*o.Attempted >= o.Endpoints)
}

// lost tells whether the zone served the member nothing.
func (o *Observation) isUnavailable(cfg *Config) bool {
	return o.isConclusive(cfg) && o.failingFraction() >= cfg.UnavailableThreshold && 2*o.FailedAttempts >= o.Attempts
}

// wide tells whether the member fails to reach most zones that have servers: then it may be
// the one that is cut off.
func (r *Report) isIsolated(cfg *Config) bool {
	total, unavailable := 0, 0
	for i := range r.Observations {
		if observation := &r.Observations[i]; observation.Endpoints > 0 {
			if total++; observation.isUnavailable(cfg) {
				unavailable++
			}
		}
	}
	return 2*unavailable > total
}

// usable returns the newest fresh word of each member that is alive, by name, where it
// says the zone that membership says.
func usableReports(cfg Config, now time.Duration, reports []Report, members []Member) []*Report {
	zoneByMember := make(map[string]string, len(members))
	for _, member := range members {
		if member.Alive {
			zoneByMember[member.Name] = member.Zone
		}
	}
	newest := make(map[string]*Report, len(members))
	for i := range reports[:min(len(reports), maxReports)] {
		report := &reports[i]
		if zone, ok := zoneByMember[report.Member]; !ok || zone != report.Zone || !report.isPlausible() || report.ReportedAt > now+cfg.MaxClockSkew || now-report.ReportedAt > cfg.ReportTTL+cfg.MaxClockSkew {
			continue
		}
		if previous := newest[report.Member]; previous == nil || previous.ReportedAt < report.ReportedAt {
			newest[report.Member] = report
		}
	}
	usable := make([]*Report, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		usable = append(usable, newest[name])
	}
	return usable
}

// see makes one view of all words.
func newFleetView(cfg Config, guards Guards, now time.Duration, state State, allReports []Report, members []Member) *fleetView {
	v := &fleetView{cfg: cfg, guards: guards}
	reports := usableReports(cfg, now, allReports, members)
	v.nameZones(state, reports, members)
	n := len(v.zones)
	zoneIndex := make(map[string]int, n)
	for i, zone := range v.zones {
		zoneIndex[zone] = i
		v.regions = append(v.regions, cfg.RegionOf(zone))
	}
	v.aliveMembers, v.hasMembers, v.pairs = make([]int, n), make([]bool, n), make([]pairEvidence, n*n)
	for _, member := range members {
		if i, ok := zoneIndex[member.Zone]; ok {
			v.hasMembers[i] = true
			if member.Alive {
				v.aliveMembers[i]++
			}
		}
	}
	for _, pair := range state.Pairs {
		v.hasMembers[zoneIndex[pair.From]] = true
	}
	v.computeMemberFractions()
	isolated := v.addReports(zoneIndex, reports)
	v.collectStats(zoneIndex, reports)
	for i := range v.pairs {
		v.pairs[i].summarize(v.quorum(i / n))
	}
	v.crossCheck(isolated)
	return v
}

// name lists the zones: those of the state first, then those of members and those that two
// words name.
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
	for _, zone := range slices.Sorted(maps.Keys(mentions)) {
		if isValidName(zone) && mentions[zone] >= min(minReporters, max(1, len(reports))) && (len(v.cfg.Zones) == 0 || slices.Contains(v.cfg.Zones, zone)) {
			known[zone] = known[zone] || len(known) < maxZones
		}
	}
	maps.DeleteFunc(known, func(_ string, isKnown bool) bool { return !isKnown })
	v.zones = slices.Sorted(maps.Keys(known))
}

// gather adds up the words by pair, and tells which zones' members mostly reach hardly
// anybody. A few such members in a sound zone are not heard.
func (v *fleetView) addReports(zoneIndex map[string]int, reports []*Report) (isolatedZones []bool) {
	reporters, isolatedReporters := make([]int, len(v.zones)), make([]int, len(v.zones))
	isolated := make([]bool, len(reports))
	for i, report := range reports {
		if from, ok := zoneIndex[report.Zone]; ok {
			reporters[from]++
			if isolated[i] = report.isIsolated(&v.cfg) && !v.guards.ReporterConnectivity; isolated[i] {
				isolatedReporters[from]++
			}
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
			if to, ok := zoneIndex[report.Observations[j].Zone]; ok {
				v.pair(from, to).add(&v.cfg, &report.Observations[j], v.aliveMembers[from])
			}
		}
	}
	return isolatedZones
}

// add counts one member's sight.
func (p *pairEvidence) add(cfg *Config, observation *Observation, members int) {
	if observation.Endpoints == 0 {
		return
	}
	if p.failingSeen == nil {
		p.failingReported, p.failingSeen = make([]float64, 0, members), make([]float64, 0, members)
	}
	p.attempts += observation.Attempts
	p.failingSeen = append(p.failingSeen, observation.failingFraction())
	if observation.isConclusive(cfg) {
		p.failingReported = append(p.failingReported, observation.failingFraction())
		if observation.isUnavailable(cfg) {
			p.unavailableReports++
		}
	}
}
