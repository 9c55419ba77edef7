package accounts

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"coralrelay/internal/fleet/logentry"
)

// model is what the record promises to those who propose: one order of all entries, which
// agrees with time, in which each answer follows from the entries before it by the pure
// code that all members share, every version compared. An entry at an index is that index's;
// one that was refused before it was logged (index 0) sees the state of some moment while it
// was asked, and changes nothing; one whose answer was lost has a place, or none.
//
// What members tell of their state is no part of it: a follower may be behind. Hashes that
// they told pin the order down; how far behind they may be is judged apart.
//
// All that was logged is searched together with each author's refusals, one author after the
// other: the refusals of all at once would be too many to try in every order. So two authors'
// that are possible one by one but not together would not be seen.
type model struct {
	known  map[uint64]bool          // indices of answers
	hashes map[uint64]logentry.Hash // as members told

	mu     sync.Mutex // authors are searched side by side
	done   map[step]after
	states map[logentry.Hash]*logentry.State // all that the search came by
}

type step struct {
	at logentry.Hash
	op *op
}

type after struct {
	next *logentry.State
	out  logentry.Outcome
}

// place is a state, and whether the history is over: then what has no place yet has none.
type place struct {
	*logentry.State
	over bool
}

func newModel(first *logentry.State, ops []*op, hashes map[uint64]logentry.Hash) *model {
	m := &model{known: map[uint64]bool{}, hashes: hashes, done: map[step]after{}, states: map[logentry.Hash]*logentry.State{first.Hash: first}}
	for _, o := range ops {
		if o.end == decided && o.out.Index > 0 {
			m.known[o.out.Index] = true
		}
	}
	return m
}

// apply is what an entry makes of a state.
func (m *model) apply(s *logentry.State, o *op) after {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := step{s.Hash, o}
	a, ok := m.done[k]
	if !ok {
		a.next, a.out = s.Apply(o.raw)
		m.done[k], m.states[a.next.Hash] = a, a.next
	}
	return a
}

// step tells whether an operation can come at a place, and the place after it. A nil
// operation is the end, where last is what all members hold.
func (m *model) step(at place, o *op, last logentry.Hash) (bool, place) {
	if o == nil {
		return at.Hash == last, place{at.State, true}
	}
	switch {
	case at.over:
		return o.end == unknown, at
	case o.end == unknown && (m.known[at.Index+1] || at.Hash == last), o.end == decided && o.out.Index > 0 && o.out.Index != at.Index+1:
		return false, at
	}
	a := m.apply(at.State, o)
	if o.end == decided && o.out.Index == 0 {
		return !a.out.Accepted && a.out.Reason == o.out.Reason, at
	}
	if h, ok := m.hashes[a.next.Index]; ok && h != a.next.Hash || o.end == decided && a.out != o.out {
		return false, at
	}
	return true, place{a.next, false}
}

// check searches for an order, for so long at most. Last is what all members hold at the end.
func (m *model) check(first *logentry.State, ops []*op, last logentry.Hash, most time.Duration) porcupine.CheckResult {
	var end int64
	var all []porcupine.Operation
	for _, o := range ops {
		end = max(end, o.ret.UnixNano()+1)
	}
	for _, o := range ops {
		if o.end == absent {
			continue // in the log it would leave a place that nothing fills
		}
		ret := o.ret.UnixNano()
		if o.end == unknown {
			ret = end + 2
		}
		all = append(all, porcupine.Operation{Input: o, Call: o.call.UnixNano(), Return: ret})
	}
	all = append(all, porcupine.Operation{Input: (*op)(nil), Call: end, Return: end + 1})
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Partition: byAuthor,
		Init:      func() any { return place{first, false} },
		Step:      func(state, input, _ any) (bool, any) { return m.step(state.(place), input.(*op), last) },
		Equal: func(a, b any) bool {
			return a.(place).Hash == b.(place).Hash && a.(place).over == b.(place).over
		},
		Hash: func(state any) uint64 { h := state.(place).Hash; return binary.BigEndian.Uint64(h[:]) },
	}, all, most)
}

// byAuthor is all that was logged, or may have been, with each author's refusals.
func byAuthor(all []porcupine.Operation) (parts [][]porcupine.Operation) {
	var logged []porcupine.Operation
	refused := map[string][]porcupine.Operation{}
	for _, p := range all {
		if o := p.Input.(*op); o != nil && o.end == decided && o.out.Index == 0 {
			refused[o.entry.KeyName] = append(refused[o.entry.KeyName], p)
		} else {
			logged = append(logged, p)
		}
	}
	parts = append(parts, logged)
	for _, list := range refused {
		parts = append(parts, append(list, logged...))
	}
	return parts
}
