package accounts

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	millisecond = time.Millisecond       // ages are told in whole ms
	sampleSlack = 100 * time.Millisecond // beside a word's age and the lease, for what a look takes
)

// committed is the greatest index of an answer that came before a time.
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

// answered is committed for many times: what was answered, in order, with the greatest
// index up to each.
type answerIndex struct {
	answeredAt    []time.Time
	greatestIndex []uint64
}

func newAnswerIndex(ops []*proposal) (a answerIndex) {
	list := slices.DeleteFunc(slices.Clone(ops), func(o *proposal) bool { return o.status != outcomeKnown || o.outcome.Index == 0 })
	slices.SortFunc(list, func(x, y *proposal) int { return x.returnedAt.Compare(y.returnedAt) })
	top := uint64(0)
	for _, o := range list {
		top = max(top, o.outcome.Index)
		a.answeredAt, a.greatestIndex = append(a.answeredAt, o.returnedAt), append(a.greatestIndex, top)
	}
	return a
}

func (a answerIndex) before(t time.Time) uint64 {
	if n := sort.Search(len(a.answeredAt), func(i int) bool { return !a.answeredAt[i].Before(t) }); n > 0 {
		return a.greatestIndex[n-1]
	}
	return 0
}

// ages holds each look to what members may tell: their index never falls while they run, it
// is not ahead of what was proposed, and who calls its word fresh lacks nothing that was
// answered a lease ago; who tells its word's age, nothing that was answered before that.
func (s *scenario) checkStaleness(ops []*proposal) {
	a := newAnswerIndex(ops)
	calls := map[uint64]time.Time{}
	for _, o := range ops {
		if o.status == outcomeKnown && o.outcome.Index > 0 {
			calls[o.outcome.Index] = o.calledAt
		}
	}
	s.watcher.mu.Lock()
	defer s.watcher.mu.Unlock()
	for name, list := range s.watcher.samples {
		for i, l := range list {
			told := fmt.Sprintf("%s, %v after the start: index %d, fresh %v, word of %d ms ago", name, time.Duration(l.askedAt.Sub(list[0].askedAt)).Round(millisecond), l.Index, l.WithinLease, l.LastContactMillis)
			if i > 0 && l.Index < list[i-1].Index && !s.hadFault(name, list[i-1].answeredAt, l.answeredAt) {
				s.AddViolation("falls", fmt.Sprintf("%s; it was %d before", told, list[i-1].Index))
			}
			if call, ok := calls[l.Index]; ok && call.After(l.answeredAt) {
				s.AddViolation("ahead", told+", which was not proposed yet")
			}
			s.checkNotBehind(l, a, func(why string) { s.AddViolation("stale", told+"; "+why) })
		}
	}
}

// behind tells what a look lacks: who calls its word fresh has all that was answered a lease
// ago, and who tells its word's age all that was answered before that.
func (s *scenario) checkNotBehind(l stateSample, a answerIndex, lacks func(why string)) {
	if had := a.before(l.askedAt.Add(-leaseTimeout - sampleSlack)); l.WithinLease && l.Index < had {
		lacks(fmt.Sprintf("index %d was answered a lease before", had))
	}
	if had := a.before(l.askedAt.Add(-time.Duration(l.LastContactMillis)*millisecond - sampleSlack)); l.LastContactMillis >= 0 && l.Index < had {
		lacks(fmt.Sprintf("index %d was answered before that word", had))
	}
}

// restarted tells whether an agent was under a fault between two times: then it may have
// been killed.
func (s *scenario) hadFault(name string, from, until time.Time) bool {
	return slices.ContainsFunc(s.faultPeriods[name], func(f period) bool {
		return f.from.Before(until) && (f.until.IsZero() || f.until.After(from))
	})
}

// times tells how long changes take to reach all live members, and how long the record
// takes nothing when a leader is lost.
func (s *scenario) measureTimes(ops []*proposal) {
	var reach, answer []time.Duration
	s.watcher.mu.Lock()
	for _, o := range ops {
		if !o.isAccepted() {
			continue
		}
		answer = append(answer, o.returnedAt.Sub(o.calledAt))
		latest := time.Duration(0)
		for name, list := range s.watcher.samples {
			n := sort.Search(len(list), func(i int) bool { return list[i].answeredAt.After(o.calledAt) && list[i].Index >= o.outcome.Index })
			if n < len(list) && !s.hadFault(name, o.calledAt.Add(-leaseTimeout), list[n].answeredAt) {
				latest = max(latest, list[n].answeredAt.Sub(o.calledAt))
			}
		}
		if latest > 0 {
			reach = append(reach, latest)
		}
	}
	s.watcher.mu.Unlock()
	s.setQuantiles("answer", answer)
	s.setQuantiles("all_members", reach)
	var gaps []time.Duration
	for _, at := range s.leaderLostAt {
		next := time.Time{}
		for _, o := range ops {
			if o.isAccepted() && o.calledAt.After(at) && (next.IsZero() || o.returnedAt.Before(next)) {
				next = o.returnedAt
			}
		}
		if gap := next.Sub(at); next.IsZero() || gap > maxLeaderGap {
			s.AddViolation("leader", fmt.Sprintf("lost %v before the end of the scene, the next change was taken %v later, at most %v are allowed", time.Since(at).Round(millisecond), gap.Round(millisecond), maxLeaderGap))
		} else {
			gaps = append(gaps, gap)
		}
	}
	s.setQuantiles("leader_lost", gaps)
}

func (s *scenario) setQuantiles(what string, list []time.Duration) {
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	for _, q := range []struct {
		name string
		part float64
	}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
		s.SetMetric(what+"_ms_"+q.name, float64(list[min(len(list)-1, int(q.part*float64(len(list))))].Microseconds())/1000)
	}
}
