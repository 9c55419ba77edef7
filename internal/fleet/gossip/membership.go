package gossip

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"coralrelay/internal/fleet/quota"
	"coralrelay/internal/fleet/zonestatus"
)

// place is what membership carries of a member, before it has said anything: memberlist
// keeps it within 512 bytes.
type nodeMetadata struct {
	Zone          string `json:"zone,omitempty"`
	ReplogAddress string `json:"record,omitempty"`
}

// sound tells whether it can be true: it comes from outside.
func (p nodeMetadata) isValid() bool {
	return len(p.Zone) <= maxZoneNameBytes && len(p.ReplogAddress) <= 64
}

// Standing is what is known of a member.
type MemberInfo struct {
	Name          string       `json:"name"`
	Zone          string       `json:"zone,omitempty"`
	Status        quota.Status `json:"-"`
	ReplogAddress string       `json:"record,omitempty"` // where it serves the record
	LogIndex      uint64       `json:"index,omitempty"`  // as it last said
	ReportedAtMs  int64        `json:"at,omitempty"`     // Unix ms of its last word, by its clock
}

// Saw takes news of membership.
func (m *Member) SetMemberStatus(name string, status quota.Status, meta []byte) {
	var metadata nodeMetadata
	if err := json.Unmarshal(meta, &metadata); len(meta) > 0 && err != nil || !metadata.isValid() {
		slog.Warn("fleet: a member's place can't be read", "name", name, "err", err)
		metadata = nodeMetadata{}
	}
	slog.Info("fleet: member", "name", name, "status", status, "zone", metadata.Zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotaState.SetMemberStatus(m.clock(), name, status)
	if _, known := m.quotaState.Members()[name]; known && name != m.name {
		m.metadata[name] = metadata
	}
}

// forget drops what is known of members that share forgets.
func (m *Member) removeExpired(now time.Duration) {
	m.quotaState.RemoveExpired(now)
	known := m.quotaState.Members()
	gone := func(name string) bool { _, ok := known[name]; return !ok }
	maps.DeleteFunc(m.metadata, func(name string, _ nodeMetadata) bool { return gone(name) })
	maps.DeleteFunc(m.reports, func(name string, _ report) bool { return gone(name) })
	maps.DeleteFunc(m.usages, func(name string, _ Usage) bool { return gone(name) })
	maps.DeleteFunc(m.encodedUsages, func(name string, _ []byte) bool { return gone(name) })
}

// Members returns all members, this one too, by name.
func (m *Member) Members() (all []MemberInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, status := range m.quotaState.Members() {
		info, latest := MemberInfo{Name: name, Status: status}, m.reports[name]
		metadata := m.metadata[name]
		if name == m.name {
			metadata = nodeMetadata{m.Zone, m.ReplogAddress}
		}
		info.Zone, info.ReplogAddress, info.LogIndex, info.ReportedAtMs = metadata.Zone, metadata.ReplogAddress, latest.LogIndex, latest.ReportedAt.Milliseconds()
		all = append(all, info)
	}
	slices.SortFunc(all, func(x, y MemberInfo) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// Words returns what each member saw last of the zones, by name.
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

// Own returns what this member's node saw last.
func (m *Member) OwnZoneReport() zonestatus.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	latest := m.reports[m.name]
	latest.Member, latest.Zone = m.name, m.Zone
	return latest.zoneReport()
}

// zones is the evidence in a word.
func (r report) zoneReport() zonestatus.Report {
	result := zonestatus.Report{Member: r.Member, Zone: r.Zone, ReportedAt: r.ReportedAt, Observations: make([]zonestatus.Observation, len(r.Observations))}
	for i, observation := range r.Observations {
		result.Observations[i] = zonestatus.Observation(observation)
	}
	return result
}

// all are the reports of all members, for one that has been cut off.
func (m *Member) encodeState() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var reports []json.RawMessage
	for _, name := range slices.Sorted(maps.Keys(m.reports)) {
		if raw := m.reports[name].encode(); raw != nil {
			reports = append(reports, raw)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.encodedUsages)) {
		reports = append(reports, m.encodedUsages[name])
	}
	raw, err := json.Marshal(reports)
	if err != nil {
		return nil
	}
	return raw
}

func (m *Member) receiveState(raw []byte) {
	var reports []json.RawMessage
	if err := json.Unmarshal(raw, &reports); err != nil {
		slog.Warn("fleet: a state that can't be read", "err", err)
		return
	}
	for _, encoded := range reports {
		m.Receive(encoded)
	}
}
