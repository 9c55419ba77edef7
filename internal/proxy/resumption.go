package proxy

import (
	"context"
	"time"
)

// Resumption lets a migrated client resume its stream where it was. A session whose client
// did not ask for it has none.
type Resumption interface {
	// StartLine returns the line that starts the stream at an upstream which answered with
	// the line up; empty if that upstream takes none. It may wait, but not beyond ctx.
	StartLine(ctx context.Context, up string) string
	// Observe is called with each line of the upstream before it is written to the client.
	Observe(line []byte)
	// Token returns the token that the client is to present when it reconnects; empty if
	// there is none. All observed lines have been written, or are written before the token.
	Token() string
}

// startStream starts the stream of a session with a Resumption. This runs beside the relay,
// as checking a token may take time and UP is not held back for it. The returned function
// waits until nothing writes to the upstream any more.
func (s *Session) startStream(up answer) (stop func()) {
	if s.Resumption == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { // ends when ctx does, at the latest
		defer close(done)
		if text := s.StartLine(ctx, up.line); text != "" && ctx.Err() == nil {
			_ = up.upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, _ = up.upstream.Conn.Write([]byte(text + "\r\n")) // if it fails, the relay sees the end too
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// moveLine returns the line MOVE, with the resumption token if there is one.
func (s *Session) moveLine() string {
	text := s.codec.Move()
	if s.Resumption != nil {
		if token := s.Token(); token != "" {
			text += " " + token
		}
	}
	return text
}

// withToken adds the resumption token to an upstream's own MOVE line.
func (s *Session) withToken(line []byte) []byte {
	if s.Resumption == nil {
		return line
	}
	return []byte(s.moveLine() + "\r\n")
}

// migrateWithToken migrates a client whose upstream has closed the connection, if the
// client can resume. It reports whether it did.
func (s *Session) migrateWithToken() bool {
	if s.Resumption == nil || s.Token() == "" {
		return false
	}
	return s.client.WriteLine(s.moveLine(), time.Now().Add(writeTimeout)) == nil
}
