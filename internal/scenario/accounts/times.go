package accounts

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	inMs  = time.Millisecond       // ages are told in whole ms
	young = 100 * time.Millisecond // beside a word's age and the lease, for what a look takes
)

// committed is the greatest index of an answer that came before a time.
func (s *scene) committed(before time.Time) (index uint64) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, o := range s.log.ops {
		if o.end == decided && o.ret.Before(before) {
			index = max(index, o.out.Index)
		}
	}
	return index
}

// answered is committed for many times: what was answered, in order, with the greatest
// index up to each.
type answered struct {
	at    []time.Time
	index []uint64
}

func answers(ops []*op) (a answered) {
	list := slices.DeleteFunc(slices.Clone(ops), func(o *op) bool { return o.end != decided || o.out.Index == 0 })
	slices.SortFunc(list, func(x, y *op) int { return x.ret.Compare(y.ret) })
	top := uint64(0)
	for _, o := range list {
		top = max(top, o.out.Index)
		a.at, a.index = append(a.at, o.ret), append(a.index, top)
	}
	return a
}

func (a answered) before(t time.Time) uint64 {
	if n := sort.Search(len(a.at), func(i int) bool { return !a.at[i].Before(t) }); n > 0 {
		return a.index[n-1]
	}
	return 0
}

// ages holds each look to what members may tell: their index never falls while they run, it
// is not ahead of what was proposed, and who calls its word fresh lacks nothing that was
// answered a lease ago; who tells its word's age, nothing that was answered before that.
func (s *scene) ages(ops []*op) {
	a := answers(ops)
	calls := map[uint64]time.Time{}
	for _, o := range ops {
		if o.end == decided && o.out.Index > 0 {
			calls[o.out.Index] = o.call
		}
	}
	s.watch.mu.Lock()
	defer s.watch.mu.Unlock()
	for name, list := range s.watch.looks {
		for i, l := range list {
			told := fmt.Sprintf("%s, %v after the start: index %d, fresh %v, word of %d ms ago", name, time.Duration(l.asked.Sub(list[0].asked)).Round(inMs), l.Index, l.WithinLease, l.LastContactMillis)
			if i > 0 && l.Index < list[i-1].Index && !s.restarted(name, list[i-1].heard, l.heard) {
				s.AddViolation("falls", fmt.Sprintf("%s; it was %d before", told, list[i-1].Index))
			}
			if call, ok := calls[l.Index]; ok && call.After(l.heard) {
				s.AddViolation("ahead", told+", which was not proposed yet")
			}
			s.behind(l, a, func(why string) { s.AddViolation("stale", told+"; "+why) })
		}
	}
}

// behind tells what a look lacks: who calls its word fresh has all that was answered a lease
// ago, and who tells its word's age all that was answered before that.
func (s *scene) behind(l look, a answered, lacks func(why string)) {
	if had := a.before(l.asked.Add(-lease - young)); l.WithinLease && l.Index < had {
		lacks(fmt.Sprintf("index %d was answered a lease before", had))
	}
	if had := a.before(l.asked.Add(-time.Duration(l.LastContactMillis)*inMs - young)); l.LastContactMillis >= 0 && l.Index < had {
		lacks(fmt.Sprintf("index %d was answered before that word", had))
	}
}

// restarted tells whether an agent was under a fault between two times: then it may have
// been killed.
func (s *scene) restarted(name string, from, until time.Time) bool {
	return slices.ContainsFunc(s.faults[name], func(f span) bool {
		return f.from.Before(until) && (f.until.IsZero() || f.until.After(from))
	})
}

// times tells how long changes take to reach all live members, and how long the record
// takes nothing when a leader is lost.
func (s *scene) times(ops []*op) {
	var reach, answer []time.Duration
	s.watch.mu.Lock()
	for _, o := range ops {
		if !o.taken() {
			continue
		}
		answer = append(answer, o.ret.Sub(o.call))
		latest := time.Duration(0)
		for name, list := range s.watch.looks {
			n := sort.Search(len(list), func(i int) bool { return list[i].heard.After(o.call) && list[i].Index >= o.out.Index })
			if n < len(list) && !s.restarted(name, o.call.Add(-lease), list[n].heard) {
				latest = max(latest, list[n].heard.Sub(o.call))
			}
		}
		if latest > 0 {
			reach = append(reach, latest)
		}
	}
	s.watch.mu.Unlock()
	s.quantiles("answer", answer)
	s.quantiles("all_members", reach)
	var gaps []time.Duration
	for _, at := range s.lost {
		next := time.Time{}
		for _, o := range ops {
			if o.taken() && o.call.After(at) && (next.IsZero() || o.ret.Before(next)) {
				next = o.ret
			}
		}
		if gap := next.Sub(at); next.IsZero() || gap > lostMost {
			s.AddViolation("leader", fmt.Sprintf("lost %v before the end of the scene, the next change was taken %v later, at most %v are allowed", time.Since(at).Round(inMs), gap.Round(inMs), lostMost))
		} else {
			gaps = append(gaps, gap)
		}
	}
	s.quantiles("leader_lost", gaps)
}

func (s *scene) quantiles(what string, list []time.Duration) {
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
