package accounts

import (
	"slices"
	"sort"
	"time"
)

// sampleSlack is the delay of a sample that is tolerated in addition to the lease or to the age of the
// last contact.
const sampleSlack = 100 * time.Millisecond

// committedBefore returns the greatest index that was answered before a time.
func (s *scenario) committedBefore(before time.Time) (index uint64) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, p := range s.history.proposals {
		if p.status == outcomeKnown && p.returnedAt.Before(before) {
			index = max(index, p.outcome.Index)
		}
	}
	return index
}

// answerIndex has the times of all answers in order, each with the greatest log index answered until
// then. It answers the query of committedBefore for many times by binary search.
type answerIndex struct {
	answeredAt    []time.Time
	greatestIndex []uint64
}

func newAnswerIndex(proposals []*proposal) (a answerIndex) {
	list := slices.DeleteFunc(slices.Clone(proposals), func(p *proposal) bool {
		return p.status != outcomeKnown || p.outcome.Index == 0
	})
	slices.SortFunc(list, func(x, y *proposal) int { return x.returnedAt.Compare(y.returnedAt) })
	greatest := uint64(0)
	for _, p := range list {
		greatest = max(greatest, p.outcome.Index)
		a.answeredAt, a.greatestIndex = append(a.answeredAt, p.returnedAt), append(a.greatestIndex, greatest)
	}
	return a
}

// before returns the greatest index that was answered before a time.
func (a answerIndex) before(t time.Time) uint64 {
	if n := sort.Search(len(a.answeredAt), func(i int) bool { return !a.answeredAt[i].Before(t) }); n > 0 {
		return a.greatestIndex[n-1]
	}
	return 0
}

// measureTimes measures how long accepted changes take to reach all members without a fault, and how long
// no change is accepted after the loss of a leader. A gap above maxLeaderGap is a violation.
func (s *scenario) measureTimes(proposals []*proposal) {
	var answerTimes, propagationTimes, gaps []time.Duration
	s.watcher.mu.Lock()
	for _, p := range proposals {
		if !p.isAccepted() {
			continue
		}
		answerTimes = append(answerTimes, p.returnedAt.Sub(p.calledAt))
		if took := s.propagationTime(p); took > 0 {
			propagationTimes = append(propagationTimes, took)
		}
	}
	s.watcher.mu.Unlock()
	for _, lostAt := range s.leaderLostAt {
		next := nextAccepted(proposals, lostAt)
		gap := next.Sub(lostAt)
		if !next.IsZero() && gap <= maxLeaderGap {
			gaps = append(gaps, gap)
			continue
		}
		s.violationf("leader", "leader lost %v before the end of the scenario, "+
			"the next change was accepted %v later, want at most %v",
			time.Since(lostAt).Round(time.Millisecond), gap.Round(time.Millisecond), maxLeaderGap)
	}
	s.setQuantiles("answer", answerTimes)
	s.setQuantiles("all_members", propagationTimes)
	s.setQuantiles("leader_lost", gaps)
}

// propagationTime returns how long a change took to reach the last member without a fault. The caller
// holds the watcher's lock.
func (s *scenario) propagationTime(p *proposal) (latest time.Duration) {
	for name, list := range s.watcher.samples {
		n := sort.Search(len(list), func(i int) bool {
			return list[i].answeredAt.After(p.calledAt) && list[i].Index >= p.outcome.Index
		})
		if n < len(list) && !s.hadFault(name, p.calledAt.Add(-leaseTimeout), list[n].answeredAt) {
			latest = max(latest, list[n].answeredAt.Sub(p.calledAt))
		}
	}
	return latest
}

// nextAccepted returns the time of the first acceptance of a change that was proposed after a time; zero
// if none was accepted.
func nextAccepted(proposals []*proposal, after time.Time) (next time.Time) {
	for _, p := range proposals {
		if p.isAccepted() && p.calledAt.After(after) && (next.IsZero() || p.returnedAt.Before(next)) {
			next = p.returnedAt
		}
	}
	return next
}

// setQuantiles sets the metrics NAME_ms_p50, NAME_ms_p99 and NAME_ms_max.
func (s *scenario) setQuantiles(name string, list []time.Duration) {
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	for _, quantile := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
		index := min(len(list)-1, int(quantile.part*float64(len(list))))
		s.SetMetric(name+"_ms_"+quantile.name, float64(list[index].Microseconds())/1000)
	}
}
