package resumetoken

import (
	"testing"
	"time"
)

// This file checks with a model that a token is granted at most once, for every order of steps.
// The model has several redemptions of one token at nodes that may crash, one arbiter that may
// crash between any two steps and whose clock may jump, and messages that may be lost, delayed
// or duplicated.

// redemptionCount is the number of redemptions in the model.
const redemptionCount = 3

// progress is the state of a redemption at its node.
type progress uint8

const (
	notPresented progress = iota
	requesting
	resumed
	startedWithSnapshot
	crashed
)

// redemptionSet is a set of redemptions, as a bit mask.
type redemptionSet uint8

func (s redemptionSet) has(redemption int) bool { return s&(1<<redemption) != 0 }
func (s *redemptionSet) add(redemption int)     { *s |= 1 << redemption }

// modelState is the complete state of the model. A message that has been sent may arrive any
// number of times, or never.
type modelState struct {
	durable, pending  uint8         // redemption + 1 in the record on disk and in the open transaction
	swept             bool          // the window of the token has been swept, durably
	clockIsPastExpiry bool          // the clock of the arbiter is past the expiry of the token
	awaitingCommit    redemptionSet // grants whose response waits for the commit
	requested         redemptionSet // requests sent
	granted, denied   redemptionSet // responses sent
	progress          [redemptionCount]progress
}

// fault is a safeguard that is disabled, to show that the model check detects its absence.
type fault int

const (
	noFault fault = iota
	repliesBeforeCommit
	losesSweepMark
	grantsAnyRedemption
	losesRecordsOnCrash
)

// explorer visits all reachable states.
type explorer struct {
	injectedFault fault
	startedAt     time.Time
	token         Token
	visited       map[modelState]bool
	unexplored    []modelState
	violated      bool // a token was granted twice, or a redemption had two outcomes
}

func explore(injectedFault fault) (states int, violated bool) {
	startedAt := time.UnixMilli(1_000_000_000)
	e := &explorer{
		injectedFault: injectedFault,
		startedAt:     startedAt,
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
		for redemption := range redemptionCount {
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

// transition applies change to a copy of the current state and adds the resulting state if it
// has not been visited.
func (e *explorer) transition(current modelState, change func(next *modelState)) {
	next := current
	change(&next)
	if !e.visited[next] {
		e.visited[next] = true
		e.unexplored = append(e.unexplored, next)
	}
}

// arbiter returns the arbiter in a state and the time of its clock.
func (e *explorer) arbiter(state modelState) (Arbiter, time.Time) {
	arbiter, now := Arbiter{ID: GuardID{1}, MaxRecords: 10}, e.startedAt
	if state.clockIsPastExpiry {
		now = e.startedAt.Add(time.Hour)
	}
	if state.swept && e.injectedFault != losesSweepMark {
		arbiter.SweptThrough = WindowOf(e.token.ExpiresAt)
	}
	return arbiter, now
}

// stepNode adds the states after each step that the node of a redemption may take: present the
// token, crash, reach the deadline, or receive a response.
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

// receive completes a redemption with a verdict, and checks that a second response has no effect.
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

// stepRequest adds the state after the arbiter receives the request of a redemption, if one has
// been sent.
func (e *explorer) stepRequest(current modelState, redemption int) {
	if !current.requested.has(redemption) {
		return
	}
	id := RedemptionID{byte(redemption + 1)}
	arbiter, now := e.arbiter(current)
	verdict, isNew := arbiter.Decide(now, &e.token, id, func(Window, Nonce) (RedemptionID, bool) {
		if e.injectedFault == grantsAnyRedemption && current.pending != 0 {
			return id, true
		}
		return RedemptionID{current.pending}, current.pending != 0
	})
	e.transition(current, func(next *modelState) {
		switch {
		case verdict != Granted:
			next.denied.add(redemption)
		case e.injectedFault == repliesBeforeCommit:
			next.granted.add(redemption)
		default:
			next.awaitingCommit.add(redemption)
		}
		if isNew {
			next.pending = uint8(redemption + 1)
		}
	})
}

// stepArbiter adds the states after each step that the arbiter may take without a request:
// commit, crash, jump of its clock, and sweep.
func (e *explorer) stepArbiter(current modelState) {
	e.transition(current, func(next *modelState) {
		next.durable = next.pending
		next.granted |= next.awaitingCommit
		next.awaitingCommit = 0
	})
	e.transition(current, func(next *modelState) {
		next.pending, next.awaitingCommit = next.durable, 0
		if e.injectedFault == losesRecordsOnCrash {
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
		t.Errorf("only %d states were reached, want at least 1000: the model covers too little", states)
	}
	for _, injected := range []fault{
		repliesBeforeCommit, losesSweepMark, grantsAnyRedemption, losesRecordsOnCrash,
	} {
		if _, violated := explore(injected); !violated {
			t.Errorf("fault %d was not detected", injected)
		}
	}
}
