package resumetoken

import "time"

// Presentation is a token that a client presents, with the flow key and group of that client,
// which the token must be bound to.
type Presentation struct {
	Token          string // encoded
	FlowKey, Group string
}

// Outcome is the result of a redemption. It specifies how the client's stream starts.
type Outcome struct {
	Verdict        Verdict
	CanResume      bool     // the stream resumes at Position; otherwise it starts with a snapshot
	HasMinPosition bool     // the snapshot must not be older than Position
	Position       Position // from the token; valid if CanResume or HasMinPosition is set
	Nonce          Nonce    // from the token; valid if CanResume is set
}

// Redemption is the handling of one presentation at the node that received it. It has exactly
// one Outcome. If a grant arrives after the redemption has been completed, it is not used and
// the token remains spent.
type Redemption struct {
	Token       Token
	isCompleted bool
}

// BeginRedemption checks a presentation. If the presentation is rejected, isSettled is true and
// the outcome is final. Otherwise the redemption is not nil, and the caller must request the
// verdict of the token's arbiter. skew is the maximum difference between the clocks of nodes.
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

// Complete returns the outcome for the verdict of the arbiter. The caller passes
// ArbiterUnreachable if there is no verdict before the deadline. Only the first call completes
// the redemption; later calls return false.
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
	// Even if the token is not granted, it proves that its client has received the stream up to
	// this position.
	return Outcome{Verdict: verdict, HasMinPosition: true, Position: r.Token.Position}
}
