package accounts

import (
	"slices"
	"sort"
	"time"
)

// sampleSlack is what a sample may take, beside the lease and the age of the last contact.
const sampleSlack = 100 * time.Millisecond

// committedBefore returns the greatest index that was answered before a time.
func (s *scenario) committedBefore(before time.Time) (index uint64) {
	s.history.mu.Lock()
	defer s.history.mu.Unlock()
	for _, o := range s.history.proposals {
		if o.status == outcomeKnown && o.returnedAt.Before(before) {
			index = max(index, o.outcome.Index)
		}
	}
	return index
}

// answerIndex has the answers in order, each with the greatest index so far. It is committedBefore for
// many times.
type answerIndex struct {
	answeredAt    []time.Time
	greatestIndex []uint64
}

func newAnswerIndex(proposals []*proposal) (a answerIndex) {
	list := slices.DeleteFunc(slices.Clone(proposals), func(o *proposal) bool {
		return o.status != outcomeKnown || o.outcome.Index == 0
	})
	slices.SortFunc(list, func(x, y *proposal) int { return x.returnedAt.Compare(y.returnedAt) })
	greatest := uint64(0)
	for _, o := range list {
		greatest = max(greatest, o.outcome.Index)
		a.answeredAt, a.greatestIndex = append(a.answeredAt, o.returnedAt), append(a.greatestIndex, greatest)
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

// measureTimes measures how long changes take to reach all running members, and how long no change is
// accepted when a leader is lost.
func (s *scenario) measureTimes(proposals []*proposal) {
	var answerTimes, reachTimes, gaps []time.Duration
	s.watcher.mu.Lock()
	for _, o := range proposals {
		if !o.isAccepted() {
			continue
		}
		answerTimes = append(answerTimes, o.returnedAt.Sub(o.calledAt))
		if took := s.timeToReachAll(o); took > 0 {
			reachTimes = append(reachTimes, took)
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
		s.violationf("leader", "lost %v before the end of the scenario, "+
			"the next change was accepted %v later, at most %v are allowed",
			time.Since(lostAt).Round(time.Millisecond), gap.Round(time.Millisecond), maxLeaderGap)
	}
	s.setQuantiles("answer", answerTimes)
	s.setQuantiles("all_members", reachTimes)
	s.setQuantiles("leader_lost", gaps)
}

// timeToReachAll returns how long a change took to reach the last member without a fault; the
// watcher's lock is held.
func (s *scenario) timeToReachAll(o *proposal) (latest time.Duration) {
	for name, list := range s.watcher.samples {
		n := sort.Search(len(list), func(i int) bool {
			return list[i].answeredAt.After(o.calledAt) && list[i].Index >= o.outcome.Index
		})
		if n < len(list) && !s.hadFault(name, o.calledAt.Add(-leaseTimeout), list[n].answeredAt) {
			latest = max(latest, list[n].answeredAt.Sub(o.calledAt))
		}
	}
	return latest
}

// nextAccepted returns when the first change proposed after a time was accepted; zero if none was.
func nextAccepted(proposals []*proposal, after time.Time) (next time.Time) {
	for _, o := range proposals {
		if o.isAccepted() && o.calledAt.After(after) && (next.IsZero() || o.returnedAt.Before(next)) {
			next = o.returnedAt
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
