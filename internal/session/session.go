// Package session lets a moved caller of the line protocol go on where it was: it
// follows the position in the stream that a next hop sends, puts it into the MOVE
// as a token, and starts the stream of who presents one.
package session

import (
	"context"
	"time"

	"coralrelay/internal/exchange"
	"coralrelay/internal/ledger"
	"coralrelay/internal/line"
	"coralrelay/internal/resume"
)

// Tokens mints and redeems; *ledger.Service does.
type Tokens interface {
	Mint(flowKey, group string, pos resume.Position) string
	Redeem(ctx context.Context, p resume.Presentation) resume.Outcome
}

var _ Tokens = (*ledger.Service)(nil)

// Sessions makes them.
type Sessions struct{ Tokens Tokens }

// Continuity returns a caller's session and takes its token out of the line that
// next hops get.
func (s Sessions) Continuity(o *line.Open) exchange.Continuity {
	c := &session{tokens: s.Tokens, key: o.Key, group: o.Group, came: time.Now()}
	if o.Resume != line.Asked {
		c.token = o.Resume
	}
	if pos, err := resume.ParsePosition(o.After); err == nil {
		c.floor = resume.Outcome{Floor: true, Pos: pos}
	}
	o.Conceal()
	return c
}

// session is one caller's. Begin runs beside the others, which belong to the relay.
type session struct {
	tokens      Tokens
	key, group  string
	token       string         // that it presented; empty if none
	floor       resume.Outcome // what it says it has: it can only ask for no older
	reading     line.Reading
	came        time.Time
	ticket      string
	wasTicketed bool
}

// Begin redeems the token now that a next hop has taken the caller: one that gets
// a busy answer keeps it unspent.
func (c *session) Begin(ctx context.Context, up string) string {
	if !line.Resumable(up) {
		return ""
	}
	o := c.floor
	if c.token != "" {
		got := c.tokens.Redeem(ctx, resume.Presentation{Text: c.token, FlowKey: c.key, Group: c.group})
		// Spent, a token still proves what its caller has seen; the caller itself may
		// say that it has seen more since.
		later := o.Floor && o.Pos.Epoch == got.Pos.Epoch && o.Pos.Offset > got.Pos.Offset
		if got.Resume || got.Floor && !later {
			o = got
		}
	}
	return line.Start(o, c.came)
}

func (c *session) Passed(text []byte) { c.reading.Pass(text) }

// Ticket is minted once: a caller that is told twice to move has one token.
func (c *session) Ticket() string {
	if !c.wasTicketed {
		c.wasTicketed = true
		if pos, ok := c.reading.Position(); ok {
			c.ticket = c.tokens.Mint(c.key, c.group, pos)
		}
	}
	return c.ticket
}
