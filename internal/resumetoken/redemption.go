package resumetoken

import "time"

// Presentation is a token as a client presents it.
type Presentation struct {
	Token          string
	FlowKey, Group string
}

// Outcome is how the client's stream starts.
type Outcome struct {
	Verdict        Verdict
	CanResume      bool     // at Pos; else with a snapshot
	HasMinPosition bool     // the snapshot must not be older than Pos, which the token proves
	Position       Position // of the token, where Resume or Floor is set
	Nonce          Nonce    // of the token, where Resume is set
}

// Redemption is one presentation at the node that took it. It ends with exactly
// one Outcome; a grant that comes after that is not used, and the token is lost.
type Redemption struct {
	Token Token
	done  bool
}

// Begin checks a presentation. If it can be settled at once it returns the
// outcome; else the token's arbiter has to be asked.
func BeginRedemption(r *KeyRing, now time.Time, p Presentation, skew time.Duration) (*Redemption, Outcome, bool) {
	t, err := Open(r, p.Token)
	if err == nil {
		err = t.VerifyClient(r, p.FlowKey, p.Group)
	}
	if err != nil {
		return nil, Outcome{Verdict: verdictOf(err)}, true
	}
	red := &Redemption{Token: t}
	if err := t.VerifyTime(now, skew, skew); err != nil {
		return nil, red.settle(verdictOf(err)), true
	}
	return red, Outcome{}, false
}

// Answered takes the arbiter's verdict, or Unreachable at the deadline. Only the
// first counts.
func (r *Redemption) Complete(v Verdict) (Outcome, bool) {
	if r.done {
		return Outcome{}, false
	}
	return r.settle(v), true
}

func (r *Redemption) settle(v Verdict) Outcome {
	r.done = true
	if v == Granted {
		return Outcome{Verdict: v, CanResume: true, Position: r.Token.Position, Nonce: r.Token.Nonce}
	}
	// Spent or not, the token proves what its client has seen.
	return Outcome{Verdict: v, HasMinPosition: true, Position: r.Token.Position}
}
