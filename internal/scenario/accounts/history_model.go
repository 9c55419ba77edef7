package accounts

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"coralrelay/internal/fleet/logentry"
)

// model is the linearizability that the replicated log guarantees to proposers: one order of all
// entries, which agrees with real time, in which each answer follows from the entries before it by
// the pure code that all members share, every version compared. An entry with an index has that
// place; one that was rejected before it was logged (index 0) sees the state of some moment of its
// call, and changes nothing; one whose answer was lost has some place, or none.
//
// What members report of their state is not part of it: a follower may be behind. The hashes that
// they report pin the order down; how far behind they may be is checked separately.
//
// All that was logged is searched together with the rejections of each author, one author after the
// other: the rejections of all authors would be too many to try in every order. So rejections of two
// authors that are possible one by one but not together are not noticed.
type model struct {
	answeredIndices map[uint64]bool
	hashes          map[uint64]logentry.Hash // as members reported

	mu      sync.Mutex // authors are searched in parallel
	applied map[transition]applyResult
	states  map[logentry.Hash]*logentry.State // all that the search visited
}

// transition is that a proposal is applied to the state of a hash.
type transition struct {
	from     logentry.Hash
	proposal *proposal
}

// applyResult is what a transition results in.
type applyResult struct {
	next    *logentry.State
	outcome logentry.Outcome
}

// modelState is a state, and whether the history is finished: then what has no place yet has none.
type modelState struct {
	*logentry.State
	isFinished bool
}

func newModel(first *logentry.State, proposals []*proposal, hashes map[uint64]logentry.Hash) *model {
	m := &model{
		answeredIndices: map[uint64]bool{},
		hashes:          hashes,
		applied:         map[transition]applyResult{},
		states:          map[logentry.Hash]*logentry.State{first.Hash: first},
	}
	for _, o := range proposals {
		if o.status == outcomeKnown && o.outcome.Index > 0 {
			m.answeredIndices[o.outcome.Index] = true
		}
	}
	return m
}

// apply applies a proposal to a state.
func (m *model) apply(s *logentry.State, o *proposal) applyResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := transition{s.Hash, o}
	result, ok := m.applied[t]
	if !ok {
		result.next, result.outcome = s.Apply(o.raw)
		m.applied[t], m.states[result.next.Hash] = result, result.next
	}
	return result
}

// step reports whether a proposal can come at a state, and returns the state after it. A nil
// proposal is the end, where last is what all members hold.
func (m *model) step(at modelState, o *proposal, last logentry.Hash) (bool, modelState) {
	if o == nil {
		return at.Hash == last, modelState{at.State, true}
	}
	switch {
	case at.isFinished:
		return o.status == outcomeUnknown, at
	case o.status == outcomeUnknown && (m.answeredIndices[at.Index+1] || at.Hash == last):
		return false, at
	case o.status == outcomeKnown && o.outcome.Index > 0 && o.outcome.Index != at.Index+1:
		return false, at
	}
	result := m.apply(at.State, o)
	if o.status == outcomeKnown && o.outcome.Index == 0 {
		return !result.outcome.Accepted && result.outcome.Reason == o.outcome.Reason, at
	}
	if hash, ok := m.hashes[result.next.Index]; ok && hash != result.next.Hash {
		return false, at
	}
	if o.status == outcomeKnown && result.outcome != o.outcome {
		return false, at
	}
	return true, modelState{result.next, false}
}

// check searches for an order until the timeout. last is what all members hold at the end.
func (m *model) check(
	first *logentry.State, proposals []*proposal, last logentry.Hash, timeout time.Duration,
) porcupine.CheckResult {
	var end int64
	var all []porcupine.Operation
	for _, o := range proposals {
		end = max(end, o.returnedAt.UnixNano()+1)
	}
	for _, o := range proposals {
		if o.status == notProposed {
			continue // as part of the log it would leave a place that nothing fills
		}
		returnedAt := o.returnedAt.UnixNano()
		if o.status == outcomeUnknown {
			returnedAt = end + 2
		}
		all = append(all, porcupine.Operation{Input: o, Call: o.calledAt.UnixNano(), Return: returnedAt})
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
	}, all, timeout)
}

// partitionByAuthor returns all that was logged, or may have been: with no rejections, and with those
// of each author.
func partitionByAuthor(all []porcupine.Operation) (parts [][]porcupine.Operation) {
	var logged []porcupine.Operation
	rejected := map[string][]porcupine.Operation{}
	for _, p := range all {
		if o := p.Input.(*proposal); o != nil && o.status == outcomeKnown && o.outcome.Index == 0 {
			rejected[o.entry.KeyName] = append(rejected[o.entry.KeyName], p)
		} else {
			logged = append(logged, p)
		}
	}
	parts = append(parts, logged)
	for _, list := range rejected {
		parts = append(parts, append(list, logged...))
	}
	return parts
}
