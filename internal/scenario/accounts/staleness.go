package accounts

import (
	"fmt"
	"slices"
	"time"
)

// checkStaleness checks each sample of a member's state: its index does not decrease while the member
// runs, its index is not that of an entry that was proposed later, and the member is no further behind
// than it reports.
func (s *scenario) checkStaleness(proposals []*proposal) {
	answers := newAnswerIndex(proposals)
	calledAt := map[uint64]time.Time{} // by index
	for _, p := range proposals {
		if p.status == outcomeKnown && p.outcome.Index > 0 {
			calledAt[p.outcome.Index] = p.calledAt
		}
	}
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	for name, list := range s.watcher.samples {
		for i, sample := range list {
			description := fmt.Sprintf(
				"%s, %v after the start: index %d, within lease %v, last contact %d ms ago",
				name, sample.askedAt.Sub(list[0].askedAt).Round(time.Millisecond),
				sample.Index, sample.WithinLease, sample.LastContactMillis)
			if i > 0 && sample.Index < list[i-1].Index &&
				!s.hadFault(name, list[i-1].answeredAt, sample.answeredAt) {
				s.violationf("falls", "%s; index decreased from %d", description, list[i-1].Index)
			}
			if at, ok := calledAt[sample.Index]; ok && at.After(sample.answeredAt) {
				s.violationf("ahead", "%s; the entry with this index had not been proposed yet", description)
			}
			s.checkNotBehind(sample, answers, description)
		}
	}
}

// checkNotBehind checks that a member within its lease has all entries that were answered more than
// leaseTimeout before the sample, and that a member that reports the age of its last contact has all
// entries that were answered before that contact. Both checks tolerate sampleSlack.
func (s *scenario) checkNotBehind(sample stateSample, answers answerIndex, description string) {
	leaseBefore := answers.before(sample.askedAt.Add(-leaseTimeout - sampleSlack))
	if sample.WithinLease && sample.Index < leaseBefore {
		s.violationf("stale", "%s; index %d was answered more than a lease before", description, leaseBefore)
	}
	contactAge := time.Duration(sample.LastContactMillis) * time.Millisecond
	contactBefore := answers.before(sample.askedAt.Add(-contactAge - sampleSlack))
	if sample.LastContactMillis >= 0 && sample.Index < contactBefore {
		s.violationf("stale", "%s; index %d was answered before the last contact", description, contactBefore)
	}
}

// hadFault reports whether an agent had a fault between two times, in which case it may have been killed.
func (s *scenario) hadFault(name string, from, until time.Time) bool {
	return slices.ContainsFunc(s.faultPeriods[name], func(f period) bool {
		return f.from.Before(until) && (f.until.IsZero() || f.until.After(from))
	})
}
