package quota

import (
	"slices"
	"time"
)

// Status is what membership knows of a member.
type Status int

// The statuses. A member that has left holds no lease any more; one that failed may only be
// isolated and go on sending.
const (
	Alive Status = iota
	Failed
	Left
)

func (s Status) String() string { return [...]string{"alive", "failed", "left"}[s] }

type member struct {
	status          Status
	statusChangedAt time.Duration
	report          *Report // the latest; nil before the first
	usages          map[Endpoint]Usage
}

// State is what one member knows of all. It is not safe for concurrent use.
type State struct {
	DisabledGuards Guards

	self    string
	cfg     Config
	members map[string]*member
}

// NewState returns the state of a member that knows no other.
func NewState(self string, cfg Config) *State {
	return &State{self: self, cfg: cfg, members: map[string]*member{self: {}}}
}

// SetMemberStatus takes a member's status; new members are added while they are alive.
func (s *State) SetMemberStatus(now time.Duration, name string, status Status) {
	current := s.members[name]
	if current == nil {
		if status != Alive || len(s.members) >= maxMembers {
			return
		}
		current = &member{}
		s.members[name] = current
	}
	if name != s.self && current.status != status {
		current.status, current.statusChangedAt = status, now
	}
}

// Merge takes a report, of this member or of another that membership knows, and returns whether
// it was accepted as plausible and newer than the last one.
func (s *State) Merge(report Report) bool {
	sender := s.members[report.Member]
	if sender == nil || !report.isPlausible() || sender.report != nil && !report.isNewerThan(sender.report) {
		return false
	}
	sender.report, sender.usages = &report, make(map[Endpoint]Usage, len(report.Usages))
	for _, usage := range report.Usages {
		sender.usages[usage.Endpoint] = usage
	}
	return true
}

// Reports returns the latest report of each member, by name.
func (s *State) Reports() (reports []Report) {
	for _, name := range s.memberNames() {
		if current := s.members[name]; current.report != nil {
			reports = append(reports, *current.report)
		}
	}
	return reports
}

// Members returns the status of each member, by name.
func (s *State) Members() map[string]Status {
	statuses := make(map[string]Status, len(s.members))
	for name, current := range s.members {
		statuses[name] = current.status
	}
	return statuses
}

func (s *State) memberNames() []string {
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// RemoveExpired removes members that have left, or failed for longer than the LeaseTimeout.
func (s *State) RemoveExpired(now time.Duration) {
	for name, current := range s.members {
		if name != s.self && !s.holdsLease(now, current) {
			delete(s.members, name)
		}
	}
}

// holdsLease reports whether a member's tokens are still its own.
func (s *State) holdsLease(now time.Duration, holder *member) bool {
	switch holder.status {
	case Left:
		return false
	case Failed:
		return s.DisabledGuards.LeaseExpiry || now < holder.statusChangedAt+s.cfg.LeaseTimeout
	}
	return true
}

// leaseHolders returns the members among whom tokens are allocated, by name.
func (s *State) leaseHolders(now time.Duration) []string {
	return slices.DeleteFunc(s.memberNames(), func(name string) bool { return !s.holdsLease(now, s.members[name]) })
}

// hasFreshReport reports whether a member's report of outliers and retries counts.
func (s *State) hasFreshReport(now time.Duration, sender *member) bool {
	if sender.report == nil || sender.status == Left {
		return false
	}
	reportedAt := sender.report.ReportedAt
	return reportedAt <= now+s.cfg.ReportTTL && now-reportedAt < s.cfg.ReportTTL
}
