package proxy

// What lets a caller that is moved go on where it was.

import (
	"context"
	"time"
)

// begin starts the stream of a caller that can go on where it was: beside the
// relay, as a token's arbiter may take its time and UP is not held back for it.
// The function returned waits until nothing writes to the next hop any more.
func (s *Session) startStream(a answer) (end func()) {
	if s.Resumption == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if text := s.StartLine(ctx, a.line); text != "" && ctx.Err() == nil {
			_ = a.upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = a.upstream.Conn.Write([]byte(text + "\r\n")) // if it fails, the relay sees the end too
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// moveLine words the move, with the ticket if there is one.
func (s *Session) moveLine() string {
	text := s.codec.Move()
	if s.Resumption != nil {
		if ticket := s.Token(); ticket != "" {
			text += " " + ticket
		}
	}
	return text
}

// withTicket gives the next hop's own move line the ticket.
func (s *Session) withToken(line []byte) []byte {
	if s.Resumption == nil {
		return line
	}
	return []byte(s.moveLine() + "\r\n")
}

// rescue moves a caller whose next hop broke off, if it can go on where it was.
func (s *Session) migrateWithToken() bool {
	return s.Resumption != nil && s.Token() != "" && s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout)) == nil
}
