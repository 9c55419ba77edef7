package resumetoken

import "time"

// Presentation is a token as a client presents it, with what the token must be bound to.
type Presentation struct {
	Token          string // encoded
	FlowKey, Group string // of the client
}

// Outcome says how the client's stream starts.
type Outcome struct {
	Verdict        Verdict
	CanResume      bool     // the stream resumes at Position; else it starts with a snapshot
	HasMinPosition bool     // the snapshot must not be older than Position
	Position       Position // the token's, where CanResume or HasMinPosition is set
	Nonce          Nonce    // the token's, where CanResume is set
}

// Redemption is the handling of one presentation at the node that received it. It has exactly
// one Outcome; a grant that comes after that is not used, and the token is lost.
type Redemption struct {
	Token       Token
	isCompleted bool
}

// BeginRedemption checks a presentation. If that settles it, isSettled is true and the outcome
// is final; else the token's arbiter has to be asked, and the redemption is not nil. The skew
// is that by which nodes' clocks may differ.
func BeginRedemption(
	ring *KeyRing, now time.Time, presentation Presentation, skew time.Duration,
) (redemption *Redemption, outcome Outcome, isSettled bool) {
	token, err := Open(ring, presentation.Token)
	if err == nil {
		err = token.VerifyClient(ring, presentation.FlowKey, presentation.Group)
	}
	if err != nil {
		return nil, Outcome{Verdict: verdictForError(err)}, true
	}
	redemption = &Redemption{Token: token}
	if err := token.VerifyTime(now, skew, skew); err != nil {
		return nil, redemption.outcome(verdictForError(err)), true
	}
	return redemption, Outcome{}, false
}

// Complete returns the outcome for the arbiter's verdict, which is ArbiterUnreachable at the
// deadline. Only the first call counts; it is false for later ones.
func (r *Redemption) Complete(verdict Verdict) (Outcome, bool) {
	if r.isCompleted {
		return Outcome{}, false
	}
	r.isCompleted = true
	return r.outcome(verdict), true
}

func (r *Redemption) outcome(verdict Verdict) Outcome {
	if verdict == Granted {
		return Outcome{Verdict: verdict, CanResume: true, Position: r.Token.Position, Nonce: r.Token.Nonce}
	}
	// Spent or not, the token proves what its client has received.
	return Outcome{Verdict: verdict, HasMinPosition: true, Position: r.Token.Position}
}
