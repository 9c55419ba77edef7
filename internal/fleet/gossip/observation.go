package gossip

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"coralrelay/balance"
	"coralrelay/internal/fleet/zonestatus"
)

const (
	// minRecentFailures is the failure count from which a server can be failing. It is below 1 because
	// counts of recent events decay: a single failure counts as less than 1 shortly after it.
	minRecentFailures = 0.5
	// minReportedAttempts is the count of recent attempts below which a server does not count as
	// attempted, and is not reported unless it is warming up.
	minReportedAttempts = 0.1
	// unknownLoad is the load of a zone of which no load report was received.
	unknownLoad = -1

	maxObservedCount  = 1e6 // limit on a number of servers in another member's observation
	maxObservedAmount = 1e9 // limit on attempts, failures or load in it
)

// zoneObservation is a zonestatus.Observation that is encoded as the JSON array
// [zone, endpoints, failing, attempted, attempts, failed attempts, load, warming up]. Attempts, failed
// attempts and load are rounded to three significant digits.
type zoneObservation zonestatus.Observation

// MarshalJSON implements json.Marshaler.
func (o zoneObservation) MarshalJSON() ([]byte, error) {
	zone, err := json.Marshal(o.Zone)
	if err != nil {
		return nil, err
	}
	formatAmount := func(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
	return fmt.Appendf(nil, "[%s,%d,%d,%d,%s,%s,%s,%d]", zone, o.Endpoints, o.Failing, o.Attempted,
		formatAmount(o.Attempts), formatAmount(o.FailedAttempts), formatAmount(o.Load), o.WarmingUp), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *zoneObservation) UnmarshalJSON(raw []byte) error {
	fields := []any{&o.Zone, &o.Endpoints, &o.Failing, &o.Attempted,
		&o.Attempts, &o.FailedAttempts, &o.Load, &o.WarmingUp}
	want := len(fields)
	if err := json.Unmarshal(raw, &fields); err != nil {
		return err
	}
	if len(fields) != want {
		return fmt.Errorf("zone observation has %d fields, want %d", len(fields), want)
	}
	return nil
}

// isValid reports whether another member's observation is plausible: within the limits and consistent.
func (o *zoneObservation) isValid() bool {
	isCount := func(n int) bool { return n >= 0 && n <= maxObservedCount }
	isAmount := func(x float64) bool { return x >= 0 && x <= maxObservedAmount }
	return o.Zone != "" && len(o.Zone) <= maxZoneNameBytes &&
		isCount(o.Endpoints) && isCount(o.Failing) && isCount(o.Attempted) && isCount(o.WarmingUp) &&
		max(o.Failing, o.Attempted) <= o.Endpoints &&
		isAmount(o.Attempts) && isAmount(o.FailedAttempts) && o.FailedAttempts <= o.Attempts &&
		(o.Load == unknownLoad || isAmount(o.Load))
}

// observeZones aggregates a node's observations of its servers by zone and returns them sorted by zone
// name. If there are more than maxZones zones, it returns those with the most attempts.
func observeZones(servers []balance.ServerUsage) []zoneObservation {
	byZone := map[string]*zoneObservation{}
	loadCounts := map[string]int{}
	for _, server := range servers {
		if server.Zone == "" || len(server.Zone) > maxZoneNameBytes {
			continue
		}
		observation := byZone[server.Zone]
		if observation == nil {
			observation = &zoneObservation{Zone: server.Zone, Load: unknownLoad}
			byZone[server.Zone] = observation
		}
		observation.add(server)
		if server.Load >= 0 { // running mean
			loadCounts[server.Zone]++
			mean := max(observation.Load, 0)
			observation.Load = mean + (server.Load-mean)/float64(loadCounts[server.Zone])
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

// add adds a server of the zone to all counts except the load. The server counts as failing if at least
// half of this node's attempts to it failed. Other members' reports of the server are not considered,
// because an observation must be this node's own evidence.
func (o *zoneObservation) add(server balance.ServerUsage) {
	// A failure is counted when its attempt ends, so it decays later than the attempt and can count more.
	attempts := max(server.RecentAttempts, server.RecentFailures)
	o.Endpoints++
	o.Attempts += attempts
	o.FailedAttempts += server.RecentFailures
	if attempts >= minReportedAttempts {
		o.Attempted++
	}
	if server.RecentFailures >= minRecentFailures && 2*server.RecentFailures >= attempts {
		o.Failing++
	}
	if server.WarmingUp {
		o.WarmingUp++
	}
}

// ZoneReports returns the latest zone report of each member that has a zone, sorted by member name.
func (m *Member) ZoneReports() (all []zonestatus.Report) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		if latest := m.reports[name]; latest.Zone != "" {
			all = append(all, latest.zoneReport())
		}
	}
	return all
}

// OwnZoneReport returns the latest zone report of this member's node.
func (m *Member) OwnZoneReport() zonestatus.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := m.reports[m.name]
	latest.Member, latest.Zone = m.name, m.Zone
	return latest.zoneReport()
}
