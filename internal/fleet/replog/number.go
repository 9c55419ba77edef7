package replog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// A beat may wait on its way for as long as a process is stopped or a link is slow, and its
// receiver can't see for how long. So a follower sends numbers, and a beat tells its word's
// age at the moment when the last of them was read: that is no earlier than the follower
// sent it, by the follower's own clock. A word is never taken for younger than it is, and
// for older by a number's way. The hello counts as number 1.

var errNumber = errors.New("a number that was not sent, or not awaited")

// sentNumbers is a follower's side: one number is under way at most.
type sentNumbers struct {
	last      uint64
	at, prior time.Time // when that was sent, and the one before it
}

// next counts a number that is sent now.
func (s *sentNumbers) next() uint64 {
	s.last, s.prior, s.at = s.last+1, s.at, time.Now()
	return s.last
}

// word tells when a beat's word held: the zero time where nothing was ever heard. A number
// that is not read for so long that clocks may drift apart is an error.
func (s *sentNumbers) word(b *beat, most time.Duration) (at time.Time, err error) {
	switch {
	case b.Number == 0:
		return time.Time{}, nil
	case b.Number == s.last:
		at = s.at
	case b.Number == s.last-1:
		at = s.prior
	default:
		return time.Time{}, fmt.Errorf("%w: %d, the last is %d", errNumber, b.Number, s.last)
	}
	now := time.Now()
	if waits := now.Sub(at); waits > most {
		return time.Time{}, fmt.Errorf("what is sent to it is not read: number %d is of %v ago", b.Number, waits)
	}
	if at = at.Add(-time.Duration(b.Age) * time.Microsecond); at.After(now) {
		at = now // it lies, or clocks drift
	}
	return at, nil
}

// readNumbers is the server's side.
type readNumbers struct {
	mu   sync.Mutex
	last uint64
	at   time.Time // when it was read
	told bool      // a beat has named it
}

// tell returns the last number and when it was read; a beat names it.
func (n *readNumbers) tell() (uint64, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.told = true
	return n.last, n.at
}

// read takes one number, which must follow on the last, and that must have been told.
func (n *readNumbers) read(from io.Reader) error {
	kind, text, err := hear(from, 8)
	if err != nil {
		return err
	}
	if kind != msgNumber || len(text) != 8 {
		return fmt.Errorf("message %q of %d bytes, want a number", kind, len(text))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if number := binary.BigEndian.Uint64(text); number != n.last+1 || !n.told {
		return fmt.Errorf("%w: %d, the last was %d", errNumber, number, n.last)
	}
	n.last, n.at, n.told = n.last+1, time.Now(), false
	return nil
}
