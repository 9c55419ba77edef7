package resumetoken

import (
	"testing"
	"time"
)

// A model check of single use, over every order of steps: redemptions of one token at nodes
// that may crash, one arbiter that may crash between any two steps and whose clock may jump,
// and messages that may be lost, late or doubled.

const redemptions = 3

// progress is how far a redemption has come.
type progress uint8

const (
	notPresented progress = iota
	requesting
	resumed
	startedWithSnapshot
	crashed
)

// redemptionSet is a set of redemptions, a bit each.
type redemptionSet uint8

func (s redemptionSet) has(redemption int) bool { return s&(1<<redemption) != 0 }
func (s *redemptionSet) add(redemption int)     { *s |= 1 << redemption }

// modelState is all there is to know. A message that was sent may arrive any number of times,
// or never.
type modelState struct {
	durable, pending  uint8         // redemption + 1 that the record names, on disk and in the open transaction
	swept             bool          // the token's window is forgotten, durably
	clockIsPastExpiry bool          // the arbiter's clock
	unanswered        redemptionSet // grants that wait for the commit
	requested         redemptionSet // requests sent
	granted, denied   redemptionSet // responses sent
	progress          [redemptions]progress
}

// fault is a guard taken out, to show that the check finds what it prevents.
type fault int

const (
	noFault fault = iota
	repliesBeforeCommit
	losesSweepMark
	grantsAnyRedemption
	losesRecordsOnCrash
)

// explorer visits all states that can be reached.
type explorer struct {
	injected   fault
	startedAt  time.Time
	token      Token
	visited    map[modelState]bool
	unexplored []modelState
	violated   bool // a token was granted twice, or a redemption had two outcomes
}

func explore(injected fault) (states int, violated bool) {
	startedAt := time.UnixMilli(1_000_000_000)
	e := &explorer{
		injected:  injected,
		startedAt: startedAt,
		token: Token{
			GuardID: GuardID{1}, Nonce: Nonce{1}, IssuedAt: startedAt, ExpiresAt: startedAt.Add(time.Minute),
		},
		visited:    map[modelState]bool{{}: true},
		unexplored: []modelState{{}},
	}
	for len(e.unexplored) > 0 {
		last := len(e.unexplored) - 1
		current := e.unexplored[last]
		e.unexplored = e.unexplored[:last]
		if countResumed(current) > 1 {
			e.violated = true
			continue
		}
		for redemption := range redemptions {
			e.stepNode(current, redemption)
			e.stepRequest(current, redemption)
		}
		e.stepArbiter(current)
	}
	return len(e.visited), e.violated
}

func countResumed(state modelState) (count int) {
	for _, progress := range state.progress {
		if progress == resumed {
			count++
		}
	}
	return count
}

// transition adds the state that change makes of the current one.
func (e *explorer) transition(current modelState, change func(next *modelState)) {
	next := current
	change(&next)
	if !e.visited[next] {
		e.visited[next] = true
		e.unexplored = append(e.unexplored, next)
	}
}

// arbiter is the arbiter in a state, and its clock.
func (e *explorer) arbiter(state modelState) (Arbiter, time.Time) {
	arbiter, now := Arbiter{ID: GuardID{1}, MaxRecords: 10}, e.startedAt
	if state.clockIsPastExpiry {
		now = e.startedAt.Add(time.Hour)
	}
	if state.swept && e.injected != losesSweepMark {
		arbiter.SweptThrough = WindowOf(e.token.ExpiresAt)
	}
	return arbiter, now
}

// stepNode is what the node of a redemption may do or receive.
func (e *explorer) stepNode(current modelState, redemption int) {
	switch current.progress[redemption] {
	case notPresented:
		e.transition(current, func(next *modelState) {
			next.progress[redemption] = requesting
			next.requested.add(redemption)
		})
	case requesting:
		e.transition(current, func(next *modelState) { next.progress[redemption] = crashed })
		e.receive(current, redemption, ArbiterUnreachable)
		if current.granted.has(redemption) {
			e.receive(current, redemption, Granted)
		}
		if current.denied.has(redemption) {
			e.receive(current, redemption, Spent)
		}
	}
}

// receive completes a redemption. A second response must not count.
func (e *explorer) receive(current modelState, redemption int, verdict Verdict) {
	r := &Redemption{Token: e.token}
	outcome, isFirst := r.Complete(verdict)
	if _, again := r.Complete(Granted); again || !isFirst {
		e.violated = true
	}
	e.transition(current, func(next *modelState) {
		next.progress[redemption] = startedWithSnapshot
		if outcome.CanResume {
			next.progress[redemption] = resumed
		}
	})
}

// stepRequest is the arbiter receiving a request, if one was sent.
func (e *explorer) stepRequest(current modelState, redemption int) {
	if !current.requested.has(redemption) {
		return
	}
	id := RedemptionID{byte(redemption + 1)}
	arbiter, now := e.arbiter(current)
	verdict, isNew := arbiter.Decide(now, &e.token, id, func(Window, Nonce) (RedemptionID, bool) {
		if e.injected == grantsAnyRedemption && current.pending != 0 {
			return id, true
		}
		return RedemptionID{current.pending}, current.pending != 0
	})
	e.transition(current, func(next *modelState) {
		switch {
		case verdict != Granted:
			next.denied.add(redemption)
		case e.injected == repliesBeforeCommit:
			next.granted.add(redemption)
		default:
			next.unanswered.add(redemption)
		}
		if isNew {
			next.pending = uint8(redemption + 1)
		}
	})
}

// stepArbiter is what the arbiter may do by itself: commit, crash, jump in time, and sweep.
func (e *explorer) stepArbiter(current modelState) {
	e.transition(current, func(next *modelState) {
		next.durable = next.pending
		next.granted |= next.unanswered
		next.unanswered = 0
	})
	e.transition(current, func(next *modelState) {
		next.pending, next.unanswered = next.durable, 0
		if e.injected == losesRecordsOnCrash {
			next.pending, next.durable = 0, 0
		}
	})
	e.transition(current, func(next *modelState) { next.clockIsPastExpiry = !next.clockIsPastExpiry })
	arbiter, now := e.arbiter(current)
	if through, ok := arbiter.SweepableThrough(now); ok && through >= WindowOf(e.token.ExpiresAt) {
		e.transition(current, func(next *modelState) { next.durable, next.pending, next.swept = 0, 0, true })
	}
}

func TestModelGrantsOnceOverAllSchedules(t *testing.T) {
	states, violated := explore(noFault)
	if violated {
		t.Error("a token was granted twice")
	}
	t.Logf("%d states", states)
	if states < 1000 {
		t.Errorf("only %d states were reached: the model is not what it was", states)
	}
	for _, injected := range []fault{repliesBeforeCommit, losesSweepMark, grantsAnyRedemption, losesRecordsOnCrash} {
		if _, violated := explore(injected); !violated {
			t.Errorf("fault %d was not found", injected)
		}
	}
}
