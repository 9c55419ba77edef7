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
type place struct {
	Zone   string `json:"zone,omitempty"`
	Record string `json:"record,omitempty"`
}

// sound tells whether it can be true: it comes from outside.
func (p place) sound() bool { return len(p.Zone) <= longestZone && len(p.Record) <= 64 }

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
func (a *Member) SetMemberStatus(name string, status quota.Status, meta []byte) {
	var p place
	if err := json.Unmarshal(meta, &p); len(meta) > 0 && err != nil || !p.sound() {
		slog.Warn("fleet: a member's place can't be read", "name", name, "err", err)
		p = place{}
	}
	slog.Info("fleet: member", "name", name, "status", status, "zone", p.Zone)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.state.SetMemberStatus(a.clock(), name, status)
	if _, known := a.state.Members()[name]; known && name != a.name {
		a.places[name] = p
	}
}

// forget drops what is known of members that share forgets.
func (a *Member) forget(now time.Duration) {
	a.state.RemoveExpired(now)
	known := a.state.Members()
	gone := func(name string) bool { _, ok := known[name]; return !ok }
	maps.DeleteFunc(a.places, func(name string, _ place) bool { return gone(name) })
	maps.DeleteFunc(a.words, func(name string, _ word) bool { return gone(name) })
	maps.DeleteFunc(a.uses, func(name string, _ Usage) bool { return gone(name) })
	maps.DeleteFunc(a.raw, func(name string, _ []byte) bool { return gone(name) })
}

// Members returns all members, this one too, by name.
func (a *Member) Members() (all []MemberInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, status := range a.state.Members() {
		m, w := MemberInfo{Name: name, Status: status}, a.words[name]
		p := a.places[name]
		if name == a.name {
			p = place{a.Zone, a.ReplogAddress}
		}
		m.Zone, m.ReplogAddress, m.LogIndex, m.ReportedAtMs = p.Zone, p.Record, w.Index, w.ReportedAt.Milliseconds()
		all = append(all, m)
	}
	slices.SortFunc(all, func(x, y MemberInfo) int { return cmp.Compare(x.Name, y.Name) })
	return all
}

// Words returns what each member saw last of the zones, by name.
func (a *Member) ZoneReports() (all []zonestatus.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(a.words)) {
		if w := a.words[name]; w.Zone != "" {
			all = append(all, w.zones())
		}
	}
	return all
}

// Own returns what this member's node saw last.
func (a *Member) OwnZoneReport() zonestatus.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.words[a.name]
	w.Member, w.Zone = a.name, a.Zone
	return w.zones()
}

// zones is the evidence in a word.
func (w word) zones() zonestatus.Report {
	z := zonestatus.Report{Member: w.Member, Zone: w.Zone, ReportedAt: w.ReportedAt, Observations: make([]zonestatus.Observation, len(w.Sights))}
	for i, s := range w.Sights {
		z.Observations[i] = zonestatus.Observation(s)
	}
	return z
}

// all are the reports of all members, for one that has been cut off.
func (a *Member) all() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []json.RawMessage
	for _, name := range slices.Sorted(maps.Keys(a.words)) {
		if raw := a.words[name].pack(); raw != nil {
			reports = append(reports, raw)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.raw)) {
		reports = append(reports, a.raw[name])
	}
	raw, err := json.Marshal(reports)
	if err != nil {
		return nil
	}
	return raw
}

func (a *Member) hearAll(raw []byte) {
	var reports []json.RawMessage
	if err := json.Unmarshal(raw, &reports); err != nil {
		slog.Warn("fleet: a state that can't be read", "err", err)
		return
	}
	for _, r := range reports {
		a.Receive(r)
	}
}
