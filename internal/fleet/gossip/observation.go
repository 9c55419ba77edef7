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
	// minRecentFailures is what one failure counts for a moment after it, as counts of recent
	// events decay.
	minRecentFailures = 0.5
	// minReportedAttempts is the count of recent attempts below which a server is not reported.
	minReportedAttempts = 0.1
	// unknownLoad is the load of a zone without a load report.
	unknownLoad = -1

	maxObservedCount  = 1e6 // servers in an observation of another member
	maxObservedAmount = 1e9 // attempts, failures or load in one
)

// zoneObservation is a zonestatus.Observation that is written as
// [zone, endpoints, failing, attempted, attempts, failed attempts, load, warming up], amounts with
// three digits.
type zoneObservation zonestatus.Observation

// MarshalJSON implements json.Marshaler.
func (o zoneObservation) MarshalJSON() ([]byte, error) {
	zone, err := json.Marshal(o.Zone)
	if err != nil {
		return nil, err
	}
	digits := func(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }
	return fmt.Appendf(nil, "[%s,%d,%d,%d,%s,%s,%s,%d]", zone, o.Endpoints, o.Failing, o.Attempted,
		digits(o.Attempts), digits(o.FailedAttempts), digits(o.Load), o.WarmingUp), nil
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
		return fmt.Errorf("zone observation of %d fields, want %d", len(fields), want)
	}
	return nil
}

// isValid is whether an observation of another member can be right.
func (o *zoneObservation) isValid() bool {
	isCount := func(n int) bool { return n >= 0 && n <= maxObservedCount }
	isAmount := func(x float64) bool { return x >= 0 && x <= maxObservedAmount }
	return o.Zone != "" && len(o.Zone) <= maxZoneNameBytes &&
		isCount(o.Endpoints) && isCount(o.Failing) && isCount(o.Attempted) && isCount(o.WarmingUp) &&
		max(o.Failing, o.Attempted) <= o.Endpoints &&
		isAmount(o.Attempts) && isAmount(o.FailedAttempts) && o.FailedAttempts <= o.Attempts &&
		(o.Load == unknownLoad || isAmount(o.Load))
}

// observeZones sums up by zone what a node has observed of its servers. Of more zones than a
// report takes it returns those with the most attempts. The result is in order of names.
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

// add counts a server of the zone, its load apart. It is failing if half of its attempts have
// failed, from this node: a verdict of others is no evidence from here.
func (o *zoneObservation) add(server balance.ServerUsage) {
	// A failure is counted when its attempt ends, so it decays later than its attempt.
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

// ZoneReports returns what each member with a zone has last observed, by name.
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

// OwnZoneReport returns what this member's node has last observed.
func (m *Member) OwnZoneReport() zonestatus.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := m.reports[m.name]
	latest.Member, latest.Zone = m.name, m.Zone
	return latest.zoneReport()
}
