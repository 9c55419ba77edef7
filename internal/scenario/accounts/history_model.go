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
	answeredIndices map[uint64]bool          // indices of answers
	hashes          map[uint64]logentry.Hash // as members told

	mu      sync.Mutex // authors are searched side by side
	applied map[transition]applyResult
	states  map[logentry.Hash]*logentry.State // all that the search came by
}

type transition struct {
	at       logentry.Hash
	proposal *proposal
}

type applyResult struct {
	next    *logentry.State
	outcome logentry.Outcome
}

// place is a state, and whether the history is over: then what has no place yet has none.
type modelState struct {
	*logentry.State
	isFinished bool
}

func newModel(first *logentry.State, ops []*proposal, hashes map[uint64]logentry.Hash) *model {
	m := &model{answeredIndices: map[uint64]bool{}, hashes: hashes, applied: map[transition]applyResult{}, states: map[logentry.Hash]*logentry.State{first.Hash: first}}
	for _, o := range ops {
		if o.status == outcomeKnown && o.outcome.Index > 0 {
			m.answeredIndices[o.outcome.Index] = true
		}
	}
	return m
}

// apply is what an entry makes of a state.
func (m *model) apply(s *logentry.State, o *proposal) applyResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := transition{s.Hash, o}
	a, ok := m.applied[k]
	if !ok {
		a.next, a.outcome = s.Apply(o.raw)
		m.applied[k], m.states[a.next.Hash] = a, a.next
	}
	return a
}

// step tells whether an operation can come at a place, and the place after it. A nil
// operation is the end, where last is what all members hold.
func (m *model) step(at modelState, o *proposal, last logentry.Hash) (bool, modelState) {
	if o == nil {
		return at.Hash == last, modelState{at.State, true}
	}
	switch {
	case at.isFinished:
		return o.status == outcomeUnknown, at
	case o.status == outcomeUnknown && (m.answeredIndices[at.Index+1] || at.Hash == last), o.status == outcomeKnown && o.outcome.Index > 0 && o.outcome.Index != at.Index+1:
		return false, at
	}
	a := m.apply(at.State, o)
	if o.status == outcomeKnown && o.outcome.Index == 0 {
		return !a.outcome.Accepted && a.outcome.Reason == o.outcome.Reason, at
	}
	if h, ok := m.hashes[a.next.Index]; ok && h != a.next.Hash || o.status == outcomeKnown && a.outcome != o.outcome {
		return false, at
	}
	return true, modelState{a.next, false}
}

// check searches for an order, for so long at most. Last is what all members hold at the end.
func (m *model) check(first *logentry.State, ops []*proposal, last logentry.Hash, most time.Duration) porcupine.CheckResult {
	var end int64
	var all []porcupine.Operation
	for _, o := range ops {
		end = max(end, o.returnedAt.UnixNano()+1)
	}
	for _, o := range ops {
		if o.status == notProposed {
			continue // in the log it would leave a place that nothing fills
		}
		ret := o.returnedAt.UnixNano()
		if o.status == outcomeUnknown {
			ret = end + 2
		}
		all = append(all, porcupine.Operation{Input: o, Call: o.calledAt.UnixNano(), Return: ret})
	}
	all = append(all, porcupine.Operation{Input: (*proposal)(nil), Call: end, Return: end + 1})
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Partition: partitionByAuthor,
		Init:      func() any { return modelState{first, false} },
		Step:      func(state, input, _ any) (bool, any) { return m.step(state.(modelState), input.(*proposal), last) },
		Equal: func(a, b any) bool {
			return a.(modelState).Hash == b.(modelState).Hash && a.(modelState).isFinished == b.(modelState).isFinished
		},
		Hash: func(state any) uint64 { h := state.(modelState).Hash; return binary.BigEndian.Uint64(h[:]) },
	}, all, most)
}

// byAuthor is all that was logged, or may have been, with each author's refusals.
func partitionByAuthor(all []porcupine.Operation) (parts [][]porcupine.Operation) {
	var logged []porcupine.Operation
	refused := map[string][]porcupine.Operation{}
	for _, p := range all {
		if o := p.Input.(*proposal); o != nil && o.status == outcomeKnown && o.outcome.Index == 0 {
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
