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

// maxReplogAddressBytes limits the length of another member's replicated log address.
const maxReplogAddressBytes = 64

// nodeMetadata is the metadata that memberlist distributes for a member, available before the member's
// first report. memberlist limits it to 512 bytes.
type nodeMetadata struct {
	Zone          string `json:"zone,omitempty"`
	ReplogAddress string `json:"record,omitempty"`
}

// isValid reports whether the metadata of another member is within the limits.
func (n nodeMetadata) isValid() bool {
	return len(n.Zone) <= maxZoneNameBytes && len(n.ReplogAddress) <= maxReplogAddressBytes
}

// MemberInfo describes a member.
type MemberInfo struct {
	Name          string       `json:"name"`
	Zone          string       `json:"zone,omitempty"`
	Status        quota.Status `json:"-"`
	ReplogAddress string       `json:"record,omitempty"` // at which it serves the replicated log
	LogIndex      uint64       `json:"index,omitempty"`  // index of its replicated log, by its last report
	ReportedAtMs  int64        `json:"at,omitempty"`     // time of its last report, Unix ms by its clock
}

// SetMemberStatus records a member's new status and its encoded metadata. Malformed metadata is logged
// and treated as empty.
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

// removeExpired removes the state of members that package quota has removed. The caller holds the lock.
func (m *Member) removeExpired(now time.Duration) {
	m.quotaState.RemoveExpired(now)
	known := m.quotaState.Members()
	removeUnknown(m.metadata, known)
	removeUnknown(m.reports, known)
	removeUnknown(m.usages, known)
	removeUnknown(m.encodedUsages, known)
}

// removeUnknown removes the entries whose member is not in known.
func removeUnknown[T any](byMember map[string]T, known map[string]quota.Status) {
	maps.DeleteFunc(byMember, func(name string, _ T) bool {
		_, ok := known[name]
		return !ok
	})
}

// Members returns all members, including this one, sorted by name.
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

// LeaseHolders returns the names of the members among which limits are allocated, sorted.
func (m *Member) LeaseHolders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpired(m.clock())
	return slices.Sorted(maps.Keys(m.quotaState.Members()))
}
