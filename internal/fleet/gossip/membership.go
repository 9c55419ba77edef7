package gossip

import (
	"cmp"
	"encoding/json"
	"log/slog"
	"maps"
	"slices"
	"time"

	"coralrelay/internal/fleet/quota"
)

// maxReplogAddressBytes is the longest address of a replicated log that is accepted.
const maxReplogAddressBytes = 64

// nodeMetadata is what membership itself carries of a member, before its first report.
// memberlist limits it to 512 bytes.
type nodeMetadata struct {
	Zone          string `json:"zone,omitempty"`
	ReplogAddress string `json:"record,omitempty"`
}

// isValid is whether metadata of another member can be right.
func (n nodeMetadata) isValid() bool {
	return len(n.Zone) <= maxZoneNameBytes && len(n.ReplogAddress) <= maxReplogAddressBytes
}

// MemberInfo is what is known of a member.
type MemberInfo struct {
	Name          string       `json:"name"`
	Zone          string       `json:"zone,omitempty"`
	Status        quota.Status `json:"-"`
	ReplogAddress string       `json:"record,omitempty"` // where it serves the replicated log
	LogIndex      uint64       `json:"index,omitempty"`  // of its replicated log, by its last report
	ReportedAtMs  int64        `json:"at,omitempty"`     // of its last report, Unix ms by its clock
}

// SetMemberStatus takes a change of membership, with the member's metadata.
func (m *Member) SetMemberStatus(name string, status quota.Status, meta []byte) {
	var metadata nodeMetadata
	if err := json.Unmarshal(meta, &metadata); len(meta) > 0 && err != nil || !metadata.isValid() {
		slog.Warn("malformed metadata of a member", "component", "gossip", "member", name, "error", err)
		metadata = nodeMetadata{}
	}
	slog.Info("member status changed", "component", "gossip", "member", name, "status", status, "zone", metadata.Zone)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quotaState.SetMemberStatus(m.clock(), name, status)
	if _, known := m.quotaState.Members()[name]; known && name != m.name {
		m.metadata[name] = metadata
	}
}

// removeExpired removes what is known of members that package quota has forgotten. The caller
// holds the lock.
func (m *Member) removeExpired(now time.Duration) {
	m.quotaState.RemoveExpired(now)
	known := m.quotaState.Members()
	removeUnknown(m.metadata, known)
	removeUnknown(m.reports, known)
	removeUnknown(m.usages, known)
	removeUnknown(m.encodedUsages, known)
}

// removeUnknown removes the entries of all but the known members.
func removeUnknown[T any](byMember map[string]T, known map[string]quota.Status) {
	maps.DeleteFunc(byMember, func(name string, _ T) bool {
		_, ok := known[name]
		return !ok
	})
}

// Members returns all members, this one too, by name.
func (m *Member) Members() (all []MemberInfo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, status := range m.quotaState.Members() {
		metadata := m.metadata[name]
		if name == m.name {
			metadata = nodeMetadata{m.Zone, m.ReplogAddress}
		}
		latest := m.reports[name]
		all = append(all, MemberInfo{
			Name:          name,
			Zone:          metadata.Zone,
			Status:        status,
			ReplogAddress: metadata.ReplogAddress,
			LogIndex:      latest.LogIndex,
			ReportedAtMs:  latest.ReportedAt.Milliseconds(),
		})
	}
	slices.SortFunc(all, func(a, b MemberInfo) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// LeaseHolders returns the members among which limits are allocated, by name.
func (m *Member) LeaseHolders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(m.clock())
	return slices.Sorted(maps.Keys(m.quotaState.Members()))
}
