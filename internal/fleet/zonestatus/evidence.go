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
func (w *Report) isPlausible() bool {
	good := func(x float64) bool { return x >= 0 && x <= 1e9 }
	return len(w.Observations) <= maxObservations && !slices.ContainsFunc(w.Observations, func(s Observation) bool {
		return !isValidName(s.Zone) || s.Endpoints < 0 || s.Endpoints > 1e6 || s.Failing < 0 || s.Failing > s.Endpoints || s.Attempted < 0 || s.Attempted > s.Endpoints ||
			s.WarmingUp < 0 || s.WarmingUp > s.Endpoints || !good(s.Attempts) || !good(s.FailedAttempts) || s.FailedAttempts > s.Attempts+1e-6 || !(s.Load >= -1 && s.Load <= 1000)
	})
}

// share is the part of the tried servers that failed.
func (s *Observation) failingFraction() float64 {
	if s.Attempted > 0 {
		return min(1, float64(s.Failing)/float64(s.Attempted))
	}
	return float64(s.Failing) / float64(max(s.Endpoints, 1))
}

// tells whether the member asked enough of the zone, and enough of its servers.
func (s *Observation) isConclusive(cfg *Config) bool {
	return s.Endpoints > 0 && s.Attempts >= cfg.MinAttempts && (s.Attempted == 0 || 2*s.Attempted >= s.Endpoints)
}

// lost tells whether the zone served the member nothing.
func (s *Observation) isUnavailable(cfg *Config) bool {
	return s.isConclusive(cfg) && s.failingFraction() >= cfg.UnavailableThreshold && 2*s.FailedAttempts >= s.Attempts
}

// wide tells whether the member fails to reach most zones that have servers: then it may be
// the one that is cut off.
func (w *Report) isIsolated(cfg *Config) bool {
	all, lost := 0, 0
	for i := range w.Observations {
		if s := &w.Observations[i]; s.Endpoints > 0 {
			if all++; s.isUnavailable(cfg) {
				lost++
			}
		}
	}
	return 2*lost > all
}

// usable returns the newest fresh word of each member that is alive, by name, where it
// says the zone that membership says.
func usableReports(cfg Config, now time.Duration, reports []Report, members []Member) []*Report {
	zone := make(map[string]string, len(members))
	for _, m := range members {
		if m.Alive {
			zone[m.Name] = m.Zone
		}
	}
	newest := make(map[string]*Report, len(members))
	for i := range reports[:min(len(reports), maxReports)] {
		r := &reports[i]
		if z, ok := zone[r.Member]; !ok || z != r.Zone || !r.isPlausible() || r.ReportedAt > now+cfg.MaxClockSkew || now-r.ReportedAt > cfg.ReportTTL+cfg.MaxClockSkew {
			continue
		}
		if old := newest[r.Member]; old == nil || old.ReportedAt < r.ReportedAt {
			newest[r.Member] = r
		}
	}
	out := make([]*Report, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		out = append(out, newest[name])
	}
	return out
}

// see makes one view of all words.
func newFleetView(cfg Config, guards Guards, now time.Duration, s State, allReports []Report, members []Member) *fleetView {
	v := &fleetView{cfg: cfg, guards: guards}
	reports := usableReports(cfg, now, allReports, members)
	v.nameZones(s, reports, members)
	n := len(v.zones)
	at := make(map[string]int, n)
	for i, z := range v.zones {
		at[z] = i
		v.regions = append(v.regions, cfg.RegionOf(z))
	}
	v.aliveMembers, v.hasMembers, v.pairs = make([]int, n), make([]bool, n), make([]pairEvidence, n*n)
	for _, m := range members {
		if i, ok := at[m.Zone]; ok {
			v.hasMembers[i] = true
			if m.Alive {
				v.aliveMembers[i]++
			}
		}
	}
	for _, r := range s.Pairs {
		v.hasMembers[at[r.From]] = true
	}
	v.computeMemberFractions()
	wide := v.addReports(at, reports)
	v.collectStats(at, reports)
	for i := range v.pairs {
		v.pairs[i].summarize(v.quorum(i / n))
	}
	v.crossCheck(wide)
	return v
}

// name lists the zones: those of the state first, then those of members and those that two
// words name.
func (v *fleetView) nameZones(s State, heard []*Report, members []Member) {
	named := map[string]int{}
	for _, w := range heard {
		for i := range w.Observations {
			named[w.Observations[i].Zone]++
		}
	}
	for _, m := range members {
		named[m.Zone] = maxReports
	}
	known := map[string]bool{}
	for _, r := range s.Pairs {
		known[r.From], known[r.To] = true, true
	}
	for _, z := range slices.Sorted(maps.Keys(named)) {
		if isValidName(z) && named[z] >= min(minReporters, max(1, len(heard))) && (len(v.cfg.Zones) == 0 || slices.Contains(v.cfg.Zones, z)) {
			known[z] = known[z] || len(known) < maxZones
		}
	}
	maps.DeleteFunc(known, func(_ string, is bool) bool { return !is })
	v.zones = slices.Sorted(maps.Keys(known))
}

// gather adds up the words by pair, and tells which zones' members mostly reach hardly
// anybody. A few such members in a sound zone are not heard.
func (v *fleetView) addReports(at map[string]int, heard []*Report) (wide []bool) {
	said, lost := make([]int, len(v.zones)), make([]int, len(v.zones))
	alone := make([]bool, len(heard))
	for i, w := range heard {
		if from, ok := at[w.Zone]; ok {
			said[from]++
			if alone[i] = w.isIsolated(&v.cfg) && !v.guards.ReporterConnectivity; alone[i] {
				lost[from]++
			}
		}
	}
	wide = make([]bool, len(v.zones))
	for from := range wide {
		wide[from] = lost[from] > 0 && 2*lost[from] >= said[from]
	}
	for i, w := range heard {
		from, ok := at[w.Zone]
		if !ok || alone[i] && !wide[from] {
			continue
		}
		for j := range w.Observations {
			if to, ok := at[w.Observations[j].Zone]; ok {
				v.pair(from, to).add(&v.cfg, &w.Observations[j], v.aliveMembers[from])
			}
		}
	}
	return wide
}

// add counts one member's sight.
func (p *pairEvidence) add(cfg *Config, s *Observation, members int) {
	if s.Endpoints == 0 {
		return
	}
	if p.failingSeen == nil {
		p.failingReported, p.failingSeen = make([]float64, 0, members), make([]float64, 0, members)
	}
	p.attempts += s.Attempts
	p.failingSeen = append(p.failingSeen, s.failingFraction())
	if s.isConclusive(cfg) {
		p.failingReported = append(p.failingReported, s.failingFraction())
		if s.isUnavailable(cfg) {
			p.unavailableReports++
		}
	}
}
