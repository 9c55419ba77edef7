package quota

import (
	"slices"
	"time"
)

// Status is the status of a member according to the membership protocol.
type Status int

// The statuses of a member. A member that has left no longer holds a lease. A failed member
// holds its lease for the LeaseTimeout, because it may merely be unreachable from this one and may still
// open connections.
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

// State holds the latest status and report of each member as received by one member. It is not safe
// for concurrent use.
type State struct {
	DisabledGuards Guards

	self    string
	cfg     Config
	members map[string]*member
}

// NewState returns a state whose only member is self.
func NewState(self string, cfg Config) *State {
	return &State{self: self, cfg: cfg, members: map[string]*member{self: {}}}
}

// SetMemberStatus sets the status of a member. It adds an unknown member only if the member is alive
// and there are fewer than maxMembers. The status of self does not change.
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

// Merge stores a report of this member or of another one in the state. It reports whether the report
// was accepted: its member is known, and it is plausible and newer than the member's last report.
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

// Reports returns the latest report of each member, sorted by member name.
func (s *State) Reports() (reports []Report) {
	for _, name := range s.memberNames() {
		if current := s.members[name]; current.report != nil {
			reports = append(reports, *current.report)
		}
	}
	return reports
}

// Members returns the status of each member, keyed by name.
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

// RemoveExpired removes the members that have left, or that failed at least a LeaseTimeout ago.
func (s *State) RemoveExpired(now time.Duration) {
	for name, current := range s.members {
		if name != s.self && !s.holdsLease(now, current) {
			delete(s.members, name)
		}
	}
}

// holdsLease reports whether tokens are still allocated to a member.
func (s *State) holdsLease(now time.Duration, holder *member) bool {
	switch holder.status {
	case Left:
		return false
	case Failed:
		return s.DisabledGuards.LeaseExpiry || now < holder.statusChangedAt+s.cfg.LeaseTimeout
	}
	return true
}

// leaseHolders returns the names of the members that tokens are allocated to, in order.
func (s *State) leaseHolders(now time.Duration) []string {
	return slices.DeleteFunc(s.memberNames(), func(name string) bool {
		return !s.holdsLease(now, s.members[name])
	})
}

// hasFreshReport reports whether a member's report of outliers and retries is still valid.
func (s *State) hasFreshReport(now time.Duration, sender *member) bool {
	if sender.report == nil || sender.status == Left {
		return false
	}
	reportedAt := sender.report.ReportedAt
	return reportedAt <= now+s.cfg.ReportTTL && now-reportedAt < s.cfg.ReportTTL
}
