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
type state struct {
	durable, pending uint8                // claimant + 1 that the record names, on disk and in the open transaction
	swept            bool                 // the token's window is forgotten, durably
	late             bool                 // the arbiter's clock is behind the token's expiry
	waiting          uint8                // answers that wait for the commit, a bit each
	asked            uint8                // questions sent
	granted, denied  uint8                // answers sent
	over             [presentations]uint8 // 0 not presented, 1 asking, 2 resumed, 3 snapshot, 4 crashed
}

// flaw is a guard taken out, to show that the check finds what it prevents.
type flaw int

const (
	sound flaw = iota
	answersBeforeCommit
	forgetsSweep
	grantsAnyClaimant
	forgetsOnCrash
)

func explore(how flaw) (states int, broken bool) {
	begin := time.UnixMilli(1_000_000_000)
	token := Token{GuardID: GuardID{1}, Nonce: Nonce{1}, IssuedAt: begin, ExpiresAt: begin.Add(time.Minute)}
	arbiter := func(s state) (Arbiter, time.Time) {
		a, now := Arbiter{ID: GuardID{1}, MaxRecords: 10}, begin
		if s.late {
			now = begin.Add(time.Hour)
		}
		if s.swept && how != forgetsSweep {
			a.SweptThrough = WindowOf(token.ExpiresAt)
		}
		return a, now
	}
	seen := map[state]bool{{}: true}
	todo := []state{{}}
	for len(todo) > 0 {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		resumed := 0
		for _, o := range s.over {
			if o == 2 {
				resumed++
			}
		}
		if resumed > 1 {
			broken = true
			continue
		}
		to := func(change func(*state)) {
			next := s
			change(&next)
			if !seen[next] {
				seen[next] = true
				todo = append(todo, next)
			}
		}
		for i := range presentations {
			bit := uint8(1) << i
			switch s.over[i] {
			case 0:
				to(func(n *state) { n.over[i], n.asked = 1, n.asked|bit })
			case 1:
				to(func(n *state) { n.over[i] = 4 }) // the node is killed
				for v, sent := range map[Verdict]bool{Granted: s.granted&bit != 0, Spent: s.denied&bit != 0, ArbiterUnreachable: true} {
					if sent {
						r := &Redemption{Token: token}
						o, first := r.Complete(v)
						if _, again := r.Complete(Granted); again || !first {
							broken = true // a second answer counted
						}
						to(func(n *state) {
							if n.over[i] = 3; o.CanResume {
								n.over[i] = 2
							}
						})
					}
				}
			}
			if s.asked&bit == 0 {
				continue
			}
			a, now := arbiter(s)
			v, fresh := a.Decide(now, &token, RedemptionID{byte(i + 1)}, func(Window, Nonce) (RedemptionID, bool) {
				if how == grantsAnyClaimant && s.pending != 0 {
					return RedemptionID{byte(i + 1)}, true
				}
				return RedemptionID{s.pending}, s.pending != 0
			})
			to(func(n *state) {
				switch {
				case v != Granted:
					n.denied |= bit
				case how == answersBeforeCommit:
					n.granted |= bit
				default:
					n.waiting |= bit
				}
				if fresh {
					n.pending = uint8(i + 1)
				}
			})
		}
		to(func(n *state) { n.durable, n.granted, n.waiting = n.pending, n.granted|n.waiting, 0 }) // commit
		to(func(n *state) {                                                                        // the arbiter crashes
			if n.pending, n.waiting = n.durable, 0; how == forgetsOnCrash {
				n.pending, n.durable = 0, 0
			}
		})
		to(func(n *state) { n.late = !n.late })
		a, now := arbiter(s)
		if w, ok := a.SweepableThrough(now); ok && w >= WindowOf(token.ExpiresAt) {
			to(func(n *state) { n.durable, n.pending, n.swept = 0, 0, true })
		}
	}
	return len(seen), broken
}

func TestOneTimeRuleExhaustively(t *testing.T) {
	states, broken := explore(sound)
	if broken {
		t.Error("a token was honoured twice")
	}
	t.Logf("%d states", states)
	if states < 1000 {
		t.Errorf("only %d states were reached: the model is not what it was", states)
	}
	for _, how := range []flaw{answersBeforeCommit, forgetsSweep, grantsAnyClaimant, forgetsOnCrash} {
		if _, broken := explore(how); !broken {
			t.Errorf("flaw %d was not found", how)
		}
	}
}
