// Package resumption lets a migrated client of the line protocol go on where it was. It
// follows the position in the stream that an upstream sends, puts it into the MOVE as a
// token, and starts the stream of a client that presents one.
//
// The package starts no goroutines and returns no errors: a token that can't be redeemed
// starts the stream from its beginning or from the position that the client states.
package resumption

import (
	"context"
	"time"

	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
	"coralrelay/internal/replayguard"
	"coralrelay/internal/resumetoken"
)

// TokenService mints and redeems resume tokens; *replayguard.Service does. Redeem may ask
// another node and ends with its context.
type TokenService interface {
	Mint(flowKey, group string, pos resumetoken.Position) string
	Redeem(ctx context.Context, p resumetoken.Presentation) resumetoken.Outcome
}

var _ TokenService = (*replayguard.Service)(nil)

// Factory makes the resumption of each session. It is a downstream.ResumptionProvider.
type Factory struct{ Tokens TokenService }

// Resumption returns a session's resumption and removes its token from the line that
// upstreams get.
func (f Factory) Resumption(request *lineproto.ConnectRequest) proxy.Resumption {
	s := &sessionResumption{tokens: f.Tokens, flowKey: request.Key, group: request.Group, acceptedAt: time.Now()}
	if request.ResumeToken != lineproto.ResumeWanted {
		s.presentedToken = request.ResumeToken
	}
	if position, err := resumetoken.ParsePosition(request.ResumePosition); err == nil {
		s.claimedPosition = resumetoken.Outcome{HasMinPosition: true, Position: position}
	}
	request.StripResumption()
	return s
}

// sessionResumption is a proxy.Resumption. StartLine may run beside the other methods,
// which are called by one goroutine.
type sessionResumption struct {
	tokens            TokenService
	flowKey, group    string
	presentedToken    string              // by the client; empty if none
	claimedPosition   resumetoken.Outcome // by the client: it can only ask for nothing older
	streamPosition    lineproto.StreamPosition
	acceptedAt        time.Time
	moveToken         string // of the MOVE, once minted; empty if none could be
	isMoveTokenMinted bool
}

// StartLine redeems the presented token, now that an upstream has accepted the client: one
// that gets a busy answer keeps it unspent. The line is empty if the upstream's stream can't
// be resumed.
func (s *sessionResumption) StartLine(ctx context.Context, upLine string) string {
	if !lineproto.IsResumable(upLine) {
		return ""
	}
	outcome := s.claimedPosition
	if s.presentedToken != "" {
		presentation := resumetoken.Presentation{Token: s.presentedToken, FlowKey: s.flowKey, Group: s.group}
		outcome = latest(s.claimedPosition, s.tokens.Redeem(ctx, presentation))
	}
	return lineproto.FormatStreamStart(outcome, s.acceptedAt)
}

// latest chooses between what the client claims and what its token says. A spent token still
// proves which position its client has seen; the client may claim to have seen more since.
func latest(claimed, redeemed resumetoken.Outcome) resumetoken.Outcome {
	if redeemed.CanResume {
		return redeemed
	}
	isClaimLater := claimed.HasMinPosition && claimed.Position.Epoch == redeemed.Position.Epoch &&
		claimed.Position.Offset > redeemed.Position.Offset
	if redeemed.HasMinPosition && !isClaimLater {
		return redeemed
	}
	return claimed
}

// Observe follows what the upstream sends.
func (s *sessionResumption) Observe(text []byte) { s.streamPosition.Observe(text) }

// Token returns the token of the MOVE. It is minted once: a client that is asked twice to
// move has one token.
func (s *sessionResumption) Token() string {
	if !s.isMoveTokenMinted {
		s.isMoveTokenMinted = true
		if position, ok := s.streamPosition.Position(); ok {
			s.moveToken = s.tokens.Mint(s.flowKey, s.group, position)
		}
	}
	return s.moveToken
}
