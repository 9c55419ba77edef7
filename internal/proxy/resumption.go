package proxy

import (
	"context"
	"time"
)

// Resumption lets a migrated client resume its stream at its last position. It is nil for a session
// whose client did not request it.
type Resumption interface {
	// StartLine returns the line that starts the stream at an upstream that answered with the line
	// up; empty if that upstream does not support one. It may block, but not beyond the end of ctx.
	StartLine(ctx context.Context, up string) string
	// Observe is called with each line of the upstream after UP, other than load reports, MOVE and
	// BYE, before the line is written to the client.
	Observe(line []byte)
	// Token returns the token that the client has to present when it reconnects; empty if there is
	// none. All observed lines are written to the client before the token.
	Token() string
}

// startStream starts the stream of a session with a Resumption. It runs concurrently with the
// relay, as checking a token may take time and must not delay UP. The returned function cancels the
// start and waits until nothing writes to the upstream any more.
func (s *Session) startStream(up answer) (stop func()) {
	if s.Resumption == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { // ends no later than ctx
		defer close(done)
		if start := s.StartLine(ctx, up.line); start != "" && ctx.Err() == nil {
			_ = up.upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = up.upstream.Conn.Write([]byte(start + "\r\n")) // the relay detects a broken connection too
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// moveLine returns the MOVE line, with the resume token if there is one.
func (s *Session) moveLine() string {
	line := s.codec.Move()
	if s.Resumption != nil {
		if token := s.Token(); token != "" {
			line += " " + token
		}
	}
	return line
}

// withToken adds the resume token to a MOVE line from the upstream.
func (s *Session) withToken(line []byte) []byte {
	if s.Resumption == nil {
		return line
	}
	return []byte(s.moveLine() + "\r\n")
}

// migrateWithToken migrates a client whose upstream has closed the connection, if the client can
// resume. It reports whether MOVE was written.
func (s *Session) migrateWithToken() bool {
	if s.Resumption == nil || s.Token() == "" {
		return false
	}
	return s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout)) == nil
}
