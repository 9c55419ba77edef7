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
	Token     Token
	completed bool
}

// Begin checks a presentation. If it can be settled at once it returns the
// outcome; else the token's arbiter has to be asked.
func BeginRedemption(ring *KeyRing, now time.Time, presentation Presentation, skew time.Duration) (*Redemption, Outcome, bool) {
	token, err := Open(ring, presentation.Token)
	if err == nil {
		err = token.VerifyClient(ring, presentation.FlowKey, presentation.Group)
	}
	if err != nil {
		return nil, Outcome{Verdict: verdictForError(err)}, true
	}
	redemption := &Redemption{Token: token}
	if err := token.VerifyTime(now, skew, skew); err != nil {
		return nil, redemption.complete(verdictForError(err)), true
	}
	return redemption, Outcome{}, false
}

// Answered takes the arbiter's verdict, or Unreachable at the deadline. Only the
// first counts.
func (r *Redemption) Complete(verdict Verdict) (Outcome, bool) {
	if r.completed {
		return Outcome{}, false
	}
	return r.complete(verdict), true
}

func (r *Redemption) complete(verdict Verdict) Outcome {
	r.completed = true
	if verdict == Granted {
		return Outcome{Verdict: verdict, CanResume: true, Position: r.Token.Position, Nonce: r.Token.Nonce}
	}
	// Spent or not, the token proves what its client has seen.
	return Outcome{Verdict: verdict, HasMinPosition: true, Position: r.Token.Position}
}
