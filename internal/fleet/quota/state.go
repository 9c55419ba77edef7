package quota

import (
	"slices"
	"time"
)

// Status is what membership says of a member.
type Status int

// The statuses. Who left has said so and holds nothing any more; who failed may be cut
// off and sending still.
const (
	Alive Status = iota
	Failed
	Left
)

func (s Status) String() string { return [...]string{"alive", "failed", "left"}[s] }

type member struct {
	status          Status
	statusChangedAt time.Duration
	report          *Report
	usages          map[Endpoint]Usage
}

// State is what one member knows of all. It is not safe for concurrent use.
type State struct {
	self           string
	cfg            Config
	members        map[string]*member
	DisabledGuards Guards
}

// New returns the state of a member that knows nobody else.
func NewState(self string, cfg Config) *State {
	return &State{self: self, cfg: cfg, members: map[string]*member{self: {}}}
}

// Saw takes news of a member's status.
func (s *State) SetMemberStatus(now time.Duration, name string, status Status) {
	m := s.members[name]
	if m == nil {
		if status != Alive || len(s.members) >= maxMembers {
			return
		}
		m = &member{}
		s.members[name] = m
	}
	if name != s.self && m.status != status {
		m.status, m.statusChangedAt = status, now
	}
}

// Merge takes a report, of this member or of another that membership knows, and tells
// whether it was news.
func (s *State) Merge(r Report) bool {
	m := s.members[r.Member]
	if m == nil || !r.isPlausible() || m.report != nil && !r.isNewerThan(m.report) {
		return false
	}
	m.report, m.usages = &r, make(map[Endpoint]Usage, len(r.Usages))
	for _, u := range r.Usages {
		m.usages[u.Endpoint] = u
	}
	return true
}

// Reports returns the latest report of each member, by name.
func (s *State) Reports() (all []Report) {
	for _, name := range s.memberNames() {
		if m := s.members[name]; m.report != nil {
			all = append(all, *m.report)
		}
	}
	return all
}

// Members returns the status of all who are not forgotten, by name.
func (s *State) Members() map[string]Status {
	all := make(map[string]Status, len(s.members))
	for name, m := range s.members {
		all[name] = m.status
	}
	return all
}

func (s *State) memberNames() []string {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Forget drops members that have left or been silent for longer than the hold.
func (s *State) RemoveExpired(now time.Duration) {
	for name, m := range s.members {
		if name != s.self && !s.holdsLease(now, m) {
			delete(s.members, name)
		}
	}
}

// holds tells whether a member's tokens are still its own.
func (s *State) holdsLease(now time.Duration, m *member) bool {
	switch m.status {
	case Left:
		return false
	case Failed:
		return s.DisabledGuards.LeaseExpiry || now < m.statusChangedAt+s.cfg.LeaseTimeout
	}
	return true
}

// holders are the members among whom tokens are dealt, by name.
func (s *State) leaseHolders(now time.Duration) []string {
	return slices.DeleteFunc(s.memberNames(), func(name string) bool { return !s.holdsLease(now, s.members[name]) })
}

// fresh tells whether a member's word counts as of late.
func (s *State) hasFreshReport(now time.Duration, m *member) bool {
	return m.report != nil && m.report.ReportedAt <= now+s.cfg.ReportTTL && now-m.report.ReportedAt < s.cfg.ReportTTL && m.status != Left
}
