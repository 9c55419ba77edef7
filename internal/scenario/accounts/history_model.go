package accounts

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"coralrelay/internal/fleet/logentry"
)

// model checks the linearizability that the replicated log guarantees to proposers: there is one order
// of all entries that agrees with real time and in which each answer, including every comparison of
// versions, results from applying the entries before it with the pure code that all members share. An
// entry with an index has that position in the order. An entry that was rejected before it was logged
// (index 0) is applied to the state at some moment of its call and changes nothing. An entry whose
// answer was lost has any position, or none.
//
// The states that members report are not operations of the model, because a follower may be behind.
// The hashes that they report restrict the possible orders; checkStaleness limits how far a member may
// be behind.
//
// The logged entries are searched together with the rejections of one author at a time, because the
// rejections of all authors are too many to try in every order. Rejections of two authors that are
// possible separately but not together are therefore not detected.
type model struct {
	answeredIndices map[uint64]bool
	hashes          map[uint64]logentry.Hash // reported by members, by index

	mu      sync.Mutex // porcupine searches the partitions in parallel
	applied map[transition]applyResult
	states  map[logentry.Hash]*logentry.State // all states that the search visited, by hash
}

// transition is the application of a proposal to the state with a hash.
type transition struct {
	from     logentry.Hash
	proposal *proposal
}

// applyResult is the result of a transition.
type applyResult struct {
	next    *logentry.State
	outcome logentry.Outcome
}

// modelState is a state of the log, and whether the history is finished: a proposal that has no
// position in the order by then was not logged.
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
	for _, p := range proposals {
		if p.status == outcomeKnown && p.outcome.Index > 0 {
			m.answeredIndices[p.outcome.Index] = true
		}
	}
	return m
}

// apply applies a proposal to a state, and caches the result.
func (m *model) apply(s *logentry.State, p *proposal) applyResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := transition{s.Hash, p}
	result, ok := m.applied[t]
	if !ok {
		result.next, result.outcome = s.Apply(p.raw)
		m.applied[t], m.states[result.next.Hash] = result, result.next
	}
	return result
}

// step reports whether a proposal can be the next operation in a state, and returns the state after it.
// A nil proposal is the end of the history, where all members hold the state with the hash last.
func (m *model) step(at modelState, p *proposal, last logentry.Hash) (bool, modelState) {
	if p == nil {
		return at.Hash == last, modelState{at.State, true}
	}
	switch {
	case at.isFinished:
		return p.status == outcomeUnknown, at
	case p.status == outcomeUnknown && (m.answeredIndices[at.Index+1] || at.Hash == last):
		return false, at
	case p.status == outcomeKnown && p.outcome.Index > 0 && p.outcome.Index != at.Index+1:
		return false, at
	}
	result := m.apply(at.State, p)
	if p.status == outcomeKnown && p.outcome.Index == 0 {
		return !result.outcome.Accepted && result.outcome.Reason == p.outcome.Reason, at
	}
	if hash, ok := m.hashes[result.next.Index]; ok && hash != result.next.Hash {
		return false, at
	}
	if p.status == outcomeKnown && result.outcome != p.outcome {
		return false, at
	}
	return true, modelState{result.next, false}
}

// check searches for a valid order until the timeout. last is the hash of the state that all members
// hold at the end.
func (m *model) check(
	first *logentry.State, proposals []*proposal, last logentry.Hash, timeout time.Duration,
) porcupine.CheckResult {
	var end int64
	var all []porcupine.Operation
	for _, p := range proposals {
		end = max(end, p.returnedAt.UnixNano()+1)
	}
	for _, p := range proposals {
		if p.status == notProposed {
			continue // it was not logged, so it has no position in the order
		}
		returnedAt := p.returnedAt.UnixNano()
		if p.status == outcomeUnknown {
			returnedAt = end + 2
		}
		all = append(all, porcupine.Operation{Input: p, Call: p.calledAt.UnixNano(), Return: returnedAt})
	}
	all = append(all, porcupine.Operation{Input: (*proposal)(nil), Call: end, Return: end + 1})
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Partition: partitionByAuthor,
		Init:      func() any { return modelState{first, false} },
		Step: func(state, input, _ any) (bool, any) {
			return m.step(state.(modelState), input.(*proposal), last)
		},
		Equal: func(a, b any) bool {
			return a.(modelState).Hash == b.(modelState).Hash &&
				a.(modelState).isFinished == b.(modelState).isFinished
		},
		Hash: func(state any) uint64 { h := state.(modelState).Hash; return binary.BigEndian.Uint64(h[:]) },
	}, all, timeout)
}

// partitionByAuthor returns one partition of the operations that were or may have been logged, without
// rejections, and one for each author with that author's rejections added.
func partitionByAuthor(all []porcupine.Operation) (parts [][]porcupine.Operation) {
	var logged []porcupine.Operation
	rejected := map[string][]porcupine.Operation{}
	for _, operation := range all {
		if p := operation.Input.(*proposal); p != nil && p.status == outcomeKnown && p.outcome.Index == 0 {
			rejected[p.entry.KeyName] = append(rejected[p.entry.KeyName], operation)
		} else {
			logged = append(logged, operation)
		}
	}
	parts = append(parts, logged)
	for _, list := range rejected {
		parts = append(parts, append(list, logged...))
	}
	return parts
}
