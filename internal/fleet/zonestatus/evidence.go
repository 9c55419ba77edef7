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
	accusers = 2
	// mostSights and mostWords bound what is taken of others' words.
	mostSights, mostWords = mostZones, 4096
	// back is the bad share of a zone's servers up to which a return to it is tried.
	back = 0.6
)

// pair is what one zone's members see of another zone.
type pair struct {
	told  int     // members who asked enough for their word to count
	known bool    // they are as many as it takes
	lost  bool    // it serves nobody from here
	bad   float64 // share of its servers that fail, as the median of those told
	heard int     // members whose lists name servers there
	faint float64 // as bad, over all who are heard, however little they asked
	asked float64 // by all of them together

	accused    int
	bads, dims []float64
}

// stock is what there is in one zone, as medians over all words.
type stock struct {
	servers, cold, load, bad float64 // load is -1 if nobody knows it
}

// view is what all words together say at one time. Zones are told by their place in zones.
type view struct {
	cfg    Config
	guards Guards
	zones  []string
	region []string
	alive  []int     // members by zone
	part   []float64 // of all members that are alive, by zone
	looks  []bool    // zones that have or had members
	pairs  []pair    // from * len(zones) + to
	stocks []stock
}

func (v *view) pair(from, to int) *pair { return &v.pairs[from*len(v.zones)+to] }

// quorum is how many members of a zone must say a thing.
func (v *view) quorum(from int) int {
	if v.guards.Quorum {
		return 1
	}
	return max(1, min(accusers, v.alive[from]))
}

// true words only: what comes from outside may be anything.
func (w *Report) sound() bool {
	good := func(x float64) bool { return x >= 0 && x <= 1e9 }
	return len(w.Observations) <= mostSights && !slices.ContainsFunc(w.Observations, func(s Observation) bool {
		return !isName(s.Zone) || s.Endpoints < 0 || s.Endpoints > 1e6 || s.Failing < 0 || s.Failing > s.Endpoints || s.Attempted < 0 || s.Attempted > s.Endpoints ||
			s.WarmingUp < 0 || s.WarmingUp > s.Endpoints || !good(s.Attempts) || !good(s.FailedAttempts) || s.FailedAttempts > s.Attempts+1e-6 || !(s.Load >= -1 && s.Load <= 1000)
	})
}

// share is the part of the tried servers that failed.
func (s *Observation) share() float64 {
	if s.Attempted > 0 {
		return min(1, float64(s.Failing)/float64(s.Attempted))
	}
	return float64(s.Failing) / float64(max(s.Endpoints, 1))
}

// tells whether the member asked enough of the zone, and enough of its servers.
func (s *Observation) tells(cfg *Config) bool {
	return s.Endpoints > 0 && s.Attempts >= cfg.MinAttempts && (s.Attempted == 0 || 2*s.Attempted >= s.Endpoints)
}

// lost tells whether the zone served the member nothing.
func (s *Observation) lost(cfg *Config) bool {
	return s.tells(cfg) && s.share() >= cfg.UnavailableThreshold && 2*s.FailedAttempts >= s.Attempts
}

// wide tells whether the member fails to reach most zones that have servers: then it may be
// the one that is cut off.
func (w *Report) wide(cfg *Config) bool {
	all, lost := 0, 0
	for i := range w.Observations {
		if s := &w.Observations[i]; s.Endpoints > 0 {
			if all++; s.lost(cfg) {
				lost++
			}
		}
	}
	return 2*lost > all
}

// usable returns the newest fresh word of each member that is alive, by name, where it
// says the zone that membership says.
func usable(cfg Config, now time.Duration, words []Report, members []Member) []*Report {
	zone := make(map[string]string, len(members))
	for _, m := range members {
		if m.Alive {
			zone[m.Name] = m.Zone
		}
	}
	newest := make(map[string]*Report, len(members))
	for i := range words[:min(len(words), mostWords)] {
		w := &words[i]
		if z, ok := zone[w.Member]; !ok || z != w.Zone || !w.sound() || w.ReportedAt > now+cfg.MaxClockSkew || now-w.ReportedAt > cfg.ReportTTL+cfg.MaxClockSkew {
			continue
		}
		if old := newest[w.Member]; old == nil || old.ReportedAt < w.ReportedAt {
			newest[w.Member] = w
		}
	}
	out := make([]*Report, 0, len(newest))
	for _, name := range slices.Sorted(maps.Keys(newest)) {
		out = append(out, newest[name])
	}
	return out
}

// see makes one view of all words.
func see(cfg Config, guards Guards, now time.Duration, s State, words []Report, members []Member) *view {
	v := &view{cfg: cfg, guards: guards}
	heard := usable(cfg, now, words, members)
	v.name(s, heard, members)
	n := len(v.zones)
	at := make(map[string]int, n)
	for i, z := range v.zones {
		at[z] = i
		v.region = append(v.region, cfg.RegionOf(z))
	}
	v.alive, v.looks, v.pairs = make([]int, n), make([]bool, n), make([]pair, n*n)
	for _, m := range members {
		if i, ok := at[m.Zone]; ok {
			v.looks[i] = true
			if m.Alive {
				v.alive[i]++
			}
		}
	}
	for _, r := range s.Pairs {
		v.looks[at[r.From]] = true
	}
	v.weigh()
	wide := v.gather(at, heard)
	v.stock(at, heard)
	for i := range v.pairs {
		v.pairs[i].settle(v.quorum(i / n))
	}
	v.judge(wide)
	return v
}

// name lists the zones: those of the state first, then those of members and those that two
// words name.
func (v *view) name(s State, heard []*Report, members []Member) {
	named := map[string]int{}
	for _, w := range heard {
		for i := range w.Observations {
			named[w.Observations[i].Zone]++
		}
	}
	for _, m := range members {
		named[m.Zone] = mostWords
	}
	known := map[string]bool{}
	for _, r := range s.Pairs {
		known[r.From], known[r.To] = true, true
	}
	for _, z := range slices.Sorted(maps.Keys(named)) {
		if isName(z) && named[z] >= min(accusers, max(1, len(heard))) && (len(v.cfg.Zones) == 0 || slices.Contains(v.cfg.Zones, z)) {
			known[z] = known[z] || len(known) < mostZones
		}
	}
	maps.DeleteFunc(known, func(_ string, is bool) bool { return !is })
	v.zones = slices.Sorted(maps.Keys(known))
}

// gather adds up the words by pair, and tells which zones' members mostly reach hardly
// anybody. A few such members in a sound zone are not heard.
func (v *view) gather(at map[string]int, heard []*Report) (wide []bool) {
	said, lost := make([]int, len(v.zones)), make([]int, len(v.zones))
	alone := make([]bool, len(heard))
	for i, w := range heard {
		if from, ok := at[w.Zone]; ok {
			said[from]++
			if alone[i] = w.wide(&v.cfg) && !v.guards.ReporterConnectivity; alone[i] {
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
				v.pair(from, to).add(&v.cfg, &w.Observations[j], v.alive[from])
			}
		}
	}
	return wide
}

// add counts one member's sight.
func (p *pair) add(cfg *Config, s *Observation, members int) {
	if s.Endpoints == 0 {
		return
	}
	if p.dims == nil {
		p.bads, p.dims = make([]float64, 0, members), make([]float64, 0, members)
	}
	p.asked += s.Attempts
	p.dims = append(p.dims, s.share())
	if s.tells(cfg) {
		p.bads = append(p.bads, s.share())
		if s.lost(cfg) {
			p.accused++
		}
	}
}
