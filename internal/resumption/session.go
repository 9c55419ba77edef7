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
func (s Factory) Resumption(o *lineproto.ConnectRequest) proxy.Resumption {
	c := &session{tokens: s.Tokens, key: o.Key, group: o.Group, came: time.Now()}
	if o.ResumeToken != lineproto.ResumeWanted {
		c.token = o.ResumeToken
	}
	if pos, err := resumetoken.ParsePosition(o.ResumePosition); err == nil {
		c.floor = resumetoken.Outcome{HasMinPosition: true, Position: pos}
	}
	o.StripResumption()
	return c
}

// session is one caller's. Begin runs beside the others, which belong to the relay.
type session struct {
	tokens      TokenService
	key, group  string
	token       string              // that it presented; empty if none
	floor       resumetoken.Outcome // what it says it has: it can only ask for no older
	reading     lineproto.StreamPosition
	came        time.Time
	ticket      string
	wasTicketed bool
}

// Begin redeems the token now that a next hop has taken the caller: one that gets
// a busy answer keeps it unspent.
func (c *session) StartLine(ctx context.Context, up string) string {
	if !lineproto.IsResumable(up) {
		return ""
	}
	o := c.floor
	if c.token != "" {
		got := c.tokens.Redeem(ctx, resumetoken.Presentation{Token: c.token, FlowKey: c.key, Group: c.group})
		// Spent, a token still proves what its caller has seen; the caller itself may
		// say that it has seen more since.
		later := o.HasMinPosition && o.Position.Epoch == got.Position.Epoch && o.Position.Offset > got.Position.Offset
		if got.CanResume || got.HasMinPosition && !later {
			o = got
		}
	}
	return lineproto.FormatStreamStart(o, c.came)
}

func (c *session) Observe(text []byte) { c.reading.Observe(text) }

// Ticket is minted once: a caller that is told twice to move has one token.
func (c *session) Token() string {
	if !c.wasTicketed {
		c.wasTicketed = true
		if pos, ok := c.reading.Position(); ok {
			c.ticket = c.tokens.Mint(c.key, c.group, pos)
		}
	}
	return c.ticket
}
