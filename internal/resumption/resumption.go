// Package resumption lets a migrated client of the line protocol resume its stream. It tracks
// the position of each session in its stream, mints a token of this position for the MOVE, and
// formats the line that starts the stream of a client that presents a token.
//
// The package starts no goroutines and returns no errors: if a token can't be redeemed, the
// stream starts from its beginning, with a state that is not older than the position in the
// token or the one that the client claims, if any.
package resumption

import (
	"context"
	"time"

	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
	"coralrelay/internal/replayguard"
	"coralrelay/internal/resumetoken"
)

// TokenService mints and redeems resume tokens. It is implemented by *replayguard.Service.
// Redeem may send a request to another node; it returns when its context ends.
type TokenService interface {
	Mint(flowKey, group string, pos resumetoken.Position) string
	Redeem(ctx context.Context, presentation resumetoken.Presentation) resumetoken.Outcome
}

var _ TokenService = (*replayguard.Service)(nil)

// Factory creates the resumption of each session. It implements downstream.ResumptionProvider.
type Factory struct{ Tokens TokenService }

// Resumption returns the resumption of a session and removes the client's token from the line
// that is forwarded to upstreams.
func (f Factory) Resumption(request *lineproto.ConnectRequest) proxy.Resumption {
	s := &sessionResumption{
		tokens: f.Tokens, flowKey: request.Key, group: request.Group, acceptedAt: time.Now(),
	}
	if request.ResumeToken != lineproto.ResumeWanted {
		s.presentedToken = request.ResumeToken
	}
	if position, err := resumetoken.ParsePosition(request.ResumePosition); err == nil {
		s.claimedPosition = resumetoken.Outcome{HasMinPosition: true, Position: position}
	}
	request.StripResumption()
	return s
}

// sessionResumption implements proxy.Resumption. StartLine may run concurrently with the other
// methods, which must all be called from the same goroutine.
type sessionResumption struct {
	tokens            TokenService
	flowKey, group    string
	presentedToken    string              // empty if the client presented none
	claimedPosition   resumetoken.Outcome // by the client; only a minimum position
	streamPosition    lineproto.StreamPosition
	acceptedAt        time.Time
	moveToken         string // for the MOVE; empty if not minted yet or if minting failed
	isMoveTokenMinted bool
}

// StartLine redeems the presented token and returns the line that starts the stream. The token
// is redeemed only after an upstream has accepted the client, so that it stays unspent if the
// client is rejected as busy. The line is empty if the upstream does not support resumption.
func (s *sessionResumption) StartLine(ctx context.Context, upstreamLine string) string {
	if !lineproto.IsResumable(upstreamLine) {
		return ""
	}
	outcome := s.claimedPosition
	if s.presentedToken != "" {
		presentation := resumetoken.Presentation{Token: s.presentedToken, FlowKey: s.flowKey, Group: s.group}
		outcome = chooseOutcome(s.claimedPosition, s.tokens.Redeem(ctx, presentation))
	}
	return lineproto.FormatStreamStart(outcome, s.acceptedAt)
}

// chooseOutcome chooses between the position that the client claims and the outcome of
// redeeming its token. A token that was not granted, such as a spent one, still proves which
// position its client has received, but the client may have received later data since.
func chooseOutcome(claimed, redeemed resumetoken.Outcome) resumetoken.Outcome {
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

// Observe updates the stream position from a line of the upstream.
func (s *sessionResumption) Observe(line []byte) { s.streamPosition.Observe(line) }

// Token returns the token for the MOVE. It is minted on the first call only, so that a client
// that receives two MOVE lines holds a single token.
func (s *sessionResumption) Token() string {
	if !s.isMoveTokenMinted {
		s.isMoveTokenMinted = true
		if position, ok := s.streamPosition.Position(); ok {
			s.moveToken = s.tokens.Mint(s.flowKey, s.group, position)
		}
	}
	return s.moveToken
}
