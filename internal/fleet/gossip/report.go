package gossip

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strconv"

	"coralrelay/balance"
	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

const (
	// largest is what one report may take of a datagram that others share.
	maxPayloadBytes = 1100
	// mostZones and longestZone bound what a report says of zones, so that it fits in any case.
	maxZones, maxZoneNameBytes = 12, 24
	// failing is what one failure counts for a moment after it, as all that is of late fades.
	minRecentFailures = 0.5
	// asked is what has faded so far that it is not told any more.
	minReportedAttempts = 0.1
)

// word is one member's report as it travels: what it has spent, and what its node saw. A
// report without zone and sights is an older version's.
type report struct {
	quota.Report
	Zone         string            `json:"zone,omitempty"`
	LogIndex     uint64            `json:"index,omitempty"` // of the record that the member serves
	Observations []zoneObservation `json:"sights,omitempty"`
}

// sight is a zone.Sight that is written as [to, servers, bad, tried, asked, failed, load, cold],
// figures with three digits.
type zoneObservation zonestatus.Observation

// MarshalJSON writes it.
func (o zoneObservation) MarshalJSON() ([]byte, error) {
	zone, err := json.Marshal(o.Zone)
	if err != nil {
		return nil, err
	}
	digits := func(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
	return fmt.Appendf(nil, "[%s,%d,%d,%d,%s,%s,%s,%d]", zone, o.Endpoints, o.Failing, o.Attempted, digits(o.Attempts), digits(o.FailedAttempts), digits(o.Load), o.WarmingUp), nil
}

// UnmarshalJSON reads it.
func (o *zoneObservation) UnmarshalJSON(raw []byte) error {
	fields := []any{&o.Zone, &o.Endpoints, &o.Failing, &o.Attempted, &o.Attempts, &o.FailedAttempts, &o.Load, &o.WarmingUp}
	want := len(fields)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if len(fields) != want {
		return fmt.Errorf("a sight of %d fields, want %d", len(fields), want)
	}
	return nil
}

func decodeReport(raw []byte) (decoded report, err error) {
	err = json.Unmarshal(raw, &decoded)
	return decoded, err
}

// sound tells whether what it says of zones can be true: it comes from outside.
func (r *report) isValid() bool {
	count := func(n int) bool { return n >= 0 && n <= 1e6 }
	good := func(x float64) bool { return x >= 0 && x <= 1e9 }
	return len(r.Zone) <= maxZoneNameBytes && len(r.Observations) <= maxZones && !slices.ContainsFunc(r.Observations, func(observation zoneObservation) bool {
		return observation.Zone == "" || len(observation.Zone) > maxZoneNameBytes || !count(observation.Endpoints) || !count(observation.Failing) || !count(observation.Attempted) || !count(observation.WarmingUp) ||
			max(observation.Failing, observation.Attempted) > observation.Endpoints ||
			!good(observation.Attempts) || !good(observation.FailedAttempts) || observation.FailedAttempts > observation.Attempts || observation.Load != -1 && !good(observation.Load)
	})
}

// sights adds up by zones what a node saw of its next hops: of more zones than a report
// takes, of those asked most. A next hop is bad where half of what it was asked has failed,
// by this node's own doing: a verdict of others is no evidence from here.
func observeZones(servers []balance.ServerUsage) []zoneObservation {
	byZone := map[string]*zoneObservation{}
	loadCounts := map[string]int{}
	for _, server := range servers {
		if server.Zone == "" || len(server.Zone) > maxZoneNameBytes {
			continue
		}
		observation := byZone[server.Zone]
		if observation == nil {
			observation = &zoneObservation{Zone: server.Zone, Load: -1}
			byZone[server.Zone] = observation
		}
		observation.Endpoints++
		server.RecentAttempts = max(server.RecentAttempts, server.RecentFailures) // what ends late fades late
		observation.Attempts += server.RecentAttempts
		observation.FailedAttempts += server.RecentFailures
		if server.RecentAttempts >= minReportedAttempts {
			observation.Attempted++
		}
		if server.RecentFailures >= minRecentFailures && 2*server.RecentFailures >= server.RecentAttempts {
			observation.Failing++
		}
		if server.WarmingUp {
			observation.WarmingUp++
		}
		if server.Load >= 0 { // the mean, one by one
			loadCounts[server.Zone]++
			observation.Load = max(observation.Load, 0) + (server.Load-max(observation.Load, 0))/float64(loadCounts[server.Zone])
		}
	}
	all := make([]zoneObservation, 0, len(byZone))
	for _, observation := range byZone {
		all = append(all, *observation)
	}
	slices.SortFunc(all, func(a, b zoneObservation) int {
		return cmp.Or(cmp.Compare(b.Attempts, a.Attempts), cmp.Compare(a.Zone, b.Zone))
	})
	all = all[:min(len(all), maxZones)]
	slices.SortFunc(all, func(a, b zoneObservation) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}

// rank says how late a use is dropped: what was spent of tokens last, as silence would be
// taken for nothing spent; before it what fails, and before that what was asked most.
func retentionPriority(usage quota.Usage) float64 {
	switch {
	case usage.WarmingUp || usage.Spent+usage.PriorSpent > 0:
		return 2e9
	case usage.FailedAttempts > 0:
		return 1e9 + usage.FailedAttempts
	}
	return usage.Attempts
}

// pack writes a report, with as many uses as fit a datagram. What it says of zones fits
// beside them unless their names are escaped at length: then the last by name are dropped.
func (r report) encode() []byte {
	r.Usages = slices.Clone(r.Usages)
	slices.SortStableFunc(r.Usages, func(x, y quota.Usage) int { return cmp.Compare(retentionPriority(y), retentionPriority(x)) })
	for {
		raw, err := json.Marshal(r)
		if err != nil { // no number that JSON can't write passes the module
			slog.Error("fleet: report", "err", err)
			return nil
		}
		switch {
		case len(raw) <= maxPayloadBytes || len(r.Usages)+len(r.Observations) == 0:
			return raw
		case len(r.Usages) > 0:
			r.Usages = r.Usages[:len(r.Usages)*maxPayloadBytes/len(raw)]
		default:
			r.Observations = r.Observations[:len(r.Observations)-1]
		}
	}
}
