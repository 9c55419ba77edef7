package proxy

import (
	"errors"
	"os"
	"time"

	"coralrelay/internal/bufconn"
)

// errTooMuchBeforeUp is returned for a client that sends more before UP than a buffer holds.
var errTooMuchBeforeUp = errors.New("too much sent before UP")

// readClient notices when the client leaves and, after UP, relays its lines.
func (s *Session) readClient() {
	switch err := s.awaitAnswer(); {
	case errors.Is(err, errTooMuchBeforeUp):
		// The client breaks the protocol, and its end could not be seen behind what it has
		// sent: it is answered now, unless it has just been answered.
		s.GiveUp()
	case err != nil:
		s.clientLeft()
		return
	}
	s.mu.Lock()
	upstream := s.upstream
	if !s.life.State().IsClosing() && s.successor == nil {
		_ = s.client.SetReadDeadline(time.Time{})
	}
	s.mu.Unlock()
	if upstream == nil || s.relayToUpstream(upstream) {
		s.clientLeft()
	}
	if s.isHandingOver() {
		// What else the client sends is the successor's. Only now may the relay to the client
		// stop: an upstream that is not read any more might not accept the line that was on
		// its way to it.
		upstream.InterruptRead()
		return
	}
	// The upstream has ended: the relay to the client sees it too and bounds this read.
	s.client.DiscardInput()
}

// awaitAnswer returns when the final answer was given, or with an error if the client has
// left before it or sent too much. Lines that come too early stay in the buffer. They must
// not hide that the client leaves, so it waits for more behind them, until Establish
// interrupts it.
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

// relayToUpstream relays the client's lines until either side ends. It reports whether it
// was the client that ended.
func (s *Session) relayToUpstream(upstream *bufconn.Conn) bool {
	for {
		line, err := s.client.ReadRawLine()
		if err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded) || !s.isHandingOver()
		}
		// Each line needs a deadline of its own: the one that the attempt has left on the
		// connection is that for UP, and would fail every line that comes after it.
		_ = upstream.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := upstream.Conn.Write(line); err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) {
				// The upstream may go on sending for hours. The relay to the client would see
				// no end then, and all further lines of the client would be lost.
				s.Migrate()
			}
			return false
		}
		s.startAnswerTimeout(upstream)
	}
}
