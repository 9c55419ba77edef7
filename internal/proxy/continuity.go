package proxy

// What lets a caller that is moved go on where it was.

import (
	"context"
	"time"
)

// begin starts the stream of a caller that can go on where it was: beside the
// relay, as a token's arbiter may take its time and UP is not held back for it.
// The function returned waits until nothing writes to the next hop any more.
func (t *Session) begin(a answer) (end func()) {
	if t.Resumption == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if text := t.StartLine(ctx, a.line); text != "" && ctx.Err() == nil {
			_ = a.hop.SetWriteDeadline(time.Now().Add(stall))
			_, _ = a.hop.Conn.Write([]byte(text + "\r\n")) // if it fails, the relay sees the end too
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// moveLine words the move, with the ticket if there is one.
func (t *Session) moveLine() string {
	text := t.front.Move()
	if t.Resumption != nil {
		if ticket := t.Token(); ticket != "" {
			text += " " + ticket
		}
	}
	return text
}

// withTicket gives the next hop's own move line the ticket.
func (t *Session) withTicket(line []byte) []byte {
	if t.Resumption == nil {
		return line
	}
	return []byte(t.moveLine() + "\r\n")
}

// rescue moves a caller whose next hop broke off, if it can go on where it was.
func (t *Session) rescue() bool {
	return t.Resumption != nil && t.Token() != "" && t.caller.WriteLine(t.moveLine(), time.Now().Add(stall)) == nil
}
