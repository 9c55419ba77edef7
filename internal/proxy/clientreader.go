package proxy

import (
	"errors"
	"os"
	"time"

	"coralrelay/internal/bufconn"
)

// errTooMuchBeforeUp is returned for a client that sends more before UP than a buffer holds.
var errTooMuchBeforeUp = errors.New("client sent more than a buffer holds before UP")

// readClient detects that the client disconnects and, after UP, relays the client's lines.
func (s *Session) readClient() {
	switch err := s.awaitAnswer(); {
	case errors.Is(err, errTooMuchBeforeUp):
		// The client violates the protocol, and its disconnect could not be detected behind the
		// data that it has sent. The request is failed now, unless it has just been answered.
		s.GiveUp()
	case err != nil:
		s.clientLeft()
		return
	}
	s.mu.Lock()
	upstream := s.upstream
	if !s.machine.State().IsClosing() && s.successor == nil {
		_ = s.client.SetReadDeadline(time.Time{})
	}
	s.mu.Unlock()
	if upstream == nil || s.relayToUpstream(upstream) {
		s.clientLeft()
	}
	if s.isHandingOver() {
		// The successor reads the client's further input. The relay to the client may stop only
		// now: an upstream whose lines are no longer read might not accept the line that was being
		// written to it.
		upstream.InterruptRead()
		return
	}
	// The session is ending: one of the two connections has ended, or there was no UP. Run ends too,
	// and closeBoth then sets a deadline for this read.
	s.client.DiscardInput()
}

// awaitAnswer returns nil when the final answer was given, and an error if the client has
// disconnected before it or sent too much. Lines sent before UP stay in the buffer. As they must
// not hide a disconnect, awaitAnswer waits for more input behind them until Establish interrupts
// the read.
func (s *Session) awaitAnswer() error {
	for s.client.R.Buffered() < bufconn.BufferSize {
		_, err := s.client.R.Peek(s.client.R.Buffered() + 1)
		if s.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errTooMuchBeforeUp
}

// relayToUpstream relays the client's lines until either side ends. It reports whether the client's
// side has ended.
func (s *Session) relayToUpstream(upstream *bufconn.Conn) bool {
	for {
		line, err := s.client.ReadRawLine()
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) || !s.isHandingOver()
		}
		// Each line needs its own write deadline: the attempt has left its deadline for UP on the
		// connection, which would fail every later write.
		_ = upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := upstream.Conn.Write(line); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				// The upstream may go on sending for hours. The relay to the client would then not
				// end, and all further lines of the client would be lost.
				s.Migrate()
			}
			return false
		}
		s.startAnswerTimeout(upstream)
	}
}
