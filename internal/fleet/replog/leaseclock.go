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

var errSequence = errors.New("a number that was not sent, or not awaited")

// sentNumbers is a follower's side: one number is under way at most.
type followerClock struct {
	lastSequence           uint64
	sentAt, previousSentAt time.Time // when that was sent, and the one before it
}

// next counts a number that is sent now.
func (s *followerClock) nextSequence() uint64 {
	s.lastSequence, s.previousSentAt, s.sentAt = s.lastSequence+1, s.sentAt, time.Now()
	return s.lastSequence
}

// word tells when a beat's word held: the zero time where nothing was ever heard. A number
// that is not read for so long that clocks may drift apart is an error.
func (s *followerClock) confirmedAt(beat *heartbeat, maxAge time.Duration) (at time.Time, err error) {
	switch {
	case beat.Sequence == 0:
		return time.Time{}, nil
	case beat.Sequence == s.lastSequence:
		at = s.sentAt
	case beat.Sequence == s.lastSequence-1:
		at = s.previousSentAt
	default:
		return time.Time{}, fmt.Errorf("%w: %d, the last is %d", errSequence, beat.Sequence, s.lastSequence)
	}
	now := time.Now()
	if waiting := now.Sub(at); waiting > maxAge {
		return time.Time{}, fmt.Errorf("what is sent to it is not read: number %d is of %v ago", beat.Sequence, waiting)
	}
	if at = at.Add(-time.Duration(beat.AgeMicros) * time.Microsecond); at.After(now) {
		at = now // it lies, or clocks drift
	}
	return at, nil
}

// readNumbers is the server's side.
type upstreamClock struct {
	mu           sync.Mutex
	lastSequence uint64
	receivedAt   time.Time // when it was read
	acknowledged bool      // a beat has named it
}

// tell returns the last number and when it was read; a beat names it.
func (n *upstreamClock) acknowledge() (uint64, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.acknowledged = true
	return n.lastSequence, n.receivedAt
}

// read takes one number, which must follow on the last, and that must have been told.
func (n *upstreamClock) readSequence(reader io.Reader) error {
	kind, payload, err := readMessage(reader, 8)
	if err != nil {
		return err
	}
	if kind != msgSequence || len(payload) != 8 {
		return fmt.Errorf("message %q of %d bytes, want a number", kind, len(payload))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if sequence := binary.BigEndian.Uint64(payload); sequence != n.lastSequence+1 || !n.acknowledged {
		return fmt.Errorf("%w: %d, the last was %d", errSequence, sequence, n.lastSequence)
	}
	n.lastSequence, n.receivedAt, n.acknowledged = n.lastSequence+1, time.Now(), false
	return nil
}
