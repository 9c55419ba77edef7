package zonestatus

import (
	"maps"
	"slices"
	"time"
)

// Member is an entry of the membership list.
type Member struct {
	Name, Zone string
	Alive      bool
}

// Observation holds one member's recent measurements of one zone's endpoints. Its counters decay
// within seconds.
type Observation struct {
	Zone           string  `json:"to"`
	Endpoints      int     `json:"servers"`         // endpoints that are ready in the member's endpoint list
	Failing        int     `json:"bad"`             // endpoints that failed most of their recent attempts
	Attempted      int     `json:"tried,omitempty"` // endpoints with a recent attempt; 0 stands for all
	Attempts       float64 `json:"asked"`           // attempted sessions and failed health checks
	FailedAttempts float64 `json:"failed"`
	Load           float64 `json:"load"` // mean ratio of load to capacity that endpoints report; -1 if none
	WarmingUp      int     `json:"cold"` // endpoints in slow start
}

// Report holds one member's observations as they are distributed by gossip.
type Report struct {
	Member       string        `json:"member"`
	Zone         string        `json:"from"` // the member's own zone
	ReportedAt   time.Duration `json:"at"`   // Unix time by the member's clock
	Observations []Observation `json:"sights"`
}

// Limits on reports that are accepted from other members.
const (
	maxObservations   = maxZones
	maxReports        = 4096
	maxEndpoints      = 1e6
	maxObservedCount  = 1e9
	maxObservedLoad   = 1000
	attemptsTolerance = 1e-6 // decayed counters of attempts and failures are rounded separately
)

// isPlausible reports whether a report's values are within their limits. Reports are untrusted
// input.
func (r *Report) isPlausible() bool {
	if len(r.Observations) > maxObservations {
		return false
	}
	for _, observation := range r.Observations {
		if !observation.isPlausible() {
			return false
		}
	}
	return true
}

func (o Observation) isPlausible() bool {
	isCount := func(x float64) bool { return x >= 0 && x <= maxObservedCount }
	switch {
	case !isValidName(o.Zone):
		return false
	case o.Endpoints < 0 || o.Endpoints > maxEndpoints:
		return false
	case o.Failing < 0 || o.Failing > o.Endpoints:
		return false
	case o.Attempted < 0 || o.Attempted > o.Endpoints:
		return false
	case o.WarmingUp < 0 || o.WarmingUp > o.Endpoints:
		return false
	case !isCount(o.Attempts) || !isCount(o.FailedAttempts) || o.FailedAttempts > o.Attempts+attemptsTolerance:
		return false
	}
	return o.Load >= -1 && o.Load <= maxObservedLoad
}

// failingFraction returns the failing fraction of the attempted endpoints.
func (o *Observation) failingFraction() float64 {
	if o.Attempted > 0 {
		return min(1, float64(o.Failing)/float64(o.Attempted))
	}
	return float64(o.Failing) / float64(max(o.Endpoints, 1))
}

// isConclusive reports whether the member made at least MinAttempts attempts, on at least half of
// the endpoints.
func (o *Observation) isConclusive(cfg *Config) bool {
	return o.Endpoints > 0 && o.Attempts >= cfg.MinAttempts && (o.Attempted == 0 || 2*o.Attempted >= o.Endpoints)
}

// isUnavailable reports whether the observation is conclusive, the failing fraction reaches the
// UnavailableThreshold, and at least half of the attempts failed.
func (o *Observation) isUnavailable(cfg *Config) bool {
	return o.isConclusive(cfg) && o.failingFraction() >= cfg.UnavailableThreshold && 2*o.FailedAttempts >= o.Attempts
}

// isIsolated reports whether the member observes most zones with endpoints as unavailable. The
// member itself may then be cut off from the network.
func (r *Report) isIsolated(cfg *Config) bool {
	total, unavailable := 0, 0
	for i := range r.Observations {
		observation := &r.Observations[i]
		if observation.Endpoints <= 0 {
			continue
		}
		total++
		if observation.isUnavailable(cfg) {
			unavailable++
		}
	}
	return 2*unavailable > total
}

// usableReports returns the newest valid report of each member that is alive, sorted by the
// member's name. A report's zone must be the member's zone in the membership list.
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
		zone, ok := zoneByMember[report.Member]
		if !ok || zone != report.Zone || !report.isPlausible() || !report.isCurrent(cfg, now) {
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

// isCurrent reports whether a report is not older than the ReportTTL and not from the future,
// both within the MaxClockSkew.
func (r *Report) isCurrent(cfg Config, now time.Duration) bool {
	return r.ReportedAt <= now+cfg.MaxClockSkew && now-r.ReportedAt <= cfg.ReportTTL+cfg.MaxClockSkew
}
