// Package session lets a moved caller of the line protocol go on where it was: it
// follows the position in the stream that a next hop sends, puts it into the MOVE
// as a token, and starts the stream of who presents one.
package resumption

import (
	"context"
	"time"

	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
	"coralrelay/internal/replayguard"
	"coralrelay/internal/resumetoken"
)

// Tokens mints and redeems; *ledger.Service does.
type TokenService interface {
	Mint(flowKey, group string, pos resumetoken.Position) string
	Redeem(ctx context.Context, p resumetoken.Presentation) resumetoken.Outcome
}

var _ TokenService = (*replayguard.Service)(nil)

// Sessions makes them.
type Factory struct{ Tokens TokenService }

// Continuity returns a caller's session and takes its token out of the line that
// next hops get.
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

// session is one caller's. Begin runs beside the others, which belong to the relay.
type sessionResumption struct {
	tokens            TokenService
	flowKey, group    string
	presentedToken    string              // that it presented; empty if none
	claimedPosition   resumetoken.Outcome // what it says it has: it can only ask for no older
	streamPosition    lineproto.StreamPosition
	acceptedAt        time.Time
	moveToken         string
	isMoveTokenMinted bool
}

// Begin redeems the token now that a next hop has taken the caller: one that gets
// a busy answer keeps it unspent.
func (s *sessionResumption) StartLine(ctx context.Context, upLine string) string {
	if !lineproto.IsResumable(upLine) {
		return ""
	}
	outcome := s.claimedPosition
	if s.presentedToken != "" {
		redeemed := s.tokens.Redeem(ctx, resumetoken.Presentation{Token: s.presentedToken, FlowKey: s.flowKey, Group: s.group})
		// Spent, a token still proves what its caller has seen; the caller itself may
		// say that it has seen more since.
		claimIsLater := outcome.HasMinPosition && outcome.Position.Epoch == redeemed.Position.Epoch && outcome.Position.Offset > redeemed.Position.Offset
		if redeemed.CanResume || redeemed.HasMinPosition && !claimIsLater {
			outcome = redeemed
		}
	}
	return lineproto.FormatStreamStart(outcome, s.acceptedAt)
}

func (s *sessionResumption) Observe(text []byte) { s.streamPosition.Observe(text) }

// Ticket is minted once: a caller that is told twice to move has one token.
func (s *sessionResumption) Token() string {
	if !s.isMoveTokenMinted {
		s.isMoveTokenMinted = true
		if position, ok := s.streamPosition.Position(); ok {
			s.moveToken = s.tokens.Mint(s.flowKey, s.group, position)
		}
	}
	return s.moveToken
}
