package resumetoken

import (
	"testing"
	"time"
)

// The one-time rule, checked over every order of steps: presentations of one token
// at nodes that may crash, one arbiter that may crash between any two steps and
// whose clock may jump, and messages that may be lost, late or doubled.

const presentations = 3

// state is all there is to know; a message once sent may arrive any number of
// times, or never.
type modelState struct {
	durable, pending  uint8                // claimant + 1 that the record names, on disk and in the open transaction
	swept             bool                 // the token's window is forgotten, durably
	clockIsPastExpiry bool                 // the arbiter's clock is behind the token's expiry
	unanswered        uint8                // answers that wait for the commit, a bit each
	requested         uint8                // questions sent
	granted, denied   uint8                // answers sent
	progress          [presentations]uint8 // 0 not presented, 1 asking, 2 resumed, 3 snapshot, 4 crashed
}

// flaw is a guard taken out, to show that the check finds what it prevents.
type fault int

const (
	noFault fault = iota
	repliesBeforeCommit
	losesSweepMark
	grantsAnyRedemption
	losesRecordsOnCrash
)

func explore(injected fault) (states int, violated bool) {
	begin := time.UnixMilli(1_000_000_000)
	token := Token{GuardID: GuardID{1}, Nonce: Nonce{1}, IssuedAt: begin, ExpiresAt: begin.Add(time.Minute)}
	arbiter := func(current modelState) (Arbiter, time.Time) {
		a, now := Arbiter{ID: GuardID{1}, MaxRecords: 10}, begin
		if current.clockIsPastExpiry {
			now = begin.Add(time.Hour)
		}
		if current.swept && injected != losesSweepMark {
			a.SweptThrough = WindowOf(token.ExpiresAt)
		}
		return a, now
	}
	visited := map[modelState]bool{{}: true}
	pending := []modelState{{}}
	for len(pending) > 0 {
		current := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		resumed := 0
		for _, o := range current.progress {
			if o == 2 {
				resumed++
			}
		}
		if resumed > 1 {
			violated = true
			continue
		}
		transition := func(change func(*modelState)) {
			next := current
			change(&next)
			if !visited[next] {
				visited[next] = true
				pending = append(pending, next)
			}
		}
		for i := range presentations {
			bit := uint8(1) << i
			switch current.progress[i] {
			case 0:
				transition(func(next *modelState) { next.progress[i], next.requested = 1, next.requested|bit })
			case 1:
				transition(func(next *modelState) { next.progress[i] = 4 }) // the node is killed
				for v, delivered := range map[Verdict]bool{Granted: current.granted&bit != 0, Spent: current.denied&bit != 0, ArbiterUnreachable: true} {
					if delivered {
						r := &Redemption{Token: token}
						o, first := r.Complete(v)
						if _, again := r.Complete(Granted); again || !first {
							violated = true // a second answer counted
						}
						transition(func(next *modelState) {
							if next.progress[i] = 3; o.CanResume {
								next.progress[i] = 2
							}
						})
					}
				}
			}
			if current.requested&bit == 0 {
				continue
			}
			a, now := arbiter(current)
			v, isNew := a.Decide(now, &token, RedemptionID{byte(i + 1)}, func(Window, Nonce) (RedemptionID, bool) {
				if injected == grantsAnyRedemption && current.pending != 0 {
					return RedemptionID{byte(i + 1)}, true
				}
				return RedemptionID{current.pending}, current.pending != 0
			})
			transition(func(next *modelState) {
				switch {
				case v != Granted:
					next.denied |= bit
				case injected == repliesBeforeCommit:
					next.granted |= bit
				default:
					next.unanswered |= bit
				}
				if isNew {
					next.pending = uint8(i + 1)
				}
			})
		}
		transition(func(next *modelState) {
			next.durable, next.granted, next.unanswered = next.pending, next.granted|next.unanswered, 0
		}) // commit
		transition(func(next *modelState) { // the arbiter crashes
			if next.pending, next.unanswered = next.durable, 0; injected == losesRecordsOnCrash {
				next.pending, next.durable = 0, 0
			}
		})
		transition(func(next *modelState) { next.clockIsPastExpiry = !next.clockIsPastExpiry })
		a, now := arbiter(current)
		if w, ok := a.SweepableThrough(now); ok && w >= WindowOf(token.ExpiresAt) {
			transition(func(next *modelState) { next.durable, next.pending, next.swept = 0, 0, true })
		}
	}
	return len(visited), violated
}

func TestModelGrantsOnceOverAllSchedules(t *testing.T) {
	states, violated := explore(noFault)
	if violated {
		t.Error("a token was honoured twice")
	}
	t.Logf("%d states", states)
	if states < 1000 {
		t.Errorf("only %d states were reached: the model is not what it was", states)
	}
	for _, injected := range []fault{repliesBeforeCommit, losesSweepMark, grantsAnyRedemption, losesRecordsOnCrash} {
		if _, violated := explore(injected); !violated {
			t.Errorf("flaw %d was not found", injected)
		}
	}
}
