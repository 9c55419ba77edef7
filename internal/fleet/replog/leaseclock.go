package replog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// A heartbeat may be on its way for as long as a process is stopped or a link is slow, and
// its receiver can't see for how long. So a follower sends sequence numbers, one at a time,
// and a heartbeat names the last one that the upstream has received, with the age that the
// leader's confirmation had at that moment. That moment is no earlier than the one at which
// the follower sent the number, by the follower's own clock. So a confirmation never counts
// as younger than it is, and as older at most by the time that a number was on its way. The
// hello counts as sequence number 1.

// sequenceSize is the length of a sequence number in bytes.
const sequenceSize = 8

// errSequence reports a sequence number that was not sent, or not waited for.
var errSequence = errors.New("unexpected sequence number")

// followerClock is the follower's side of a connection. One goroutine uses it.
type followerClock struct {
	lastSequence           uint64
	sentAt, previousSentAt time.Time // of lastSequence, and of the one before it
}

// nextSequence returns the number to send now.
func (c *followerClock) nextSequence() uint64 {
	c.lastSequence++
	c.previousSentAt, c.sentAt = c.sentAt, time.Now()
	return c.lastSequence
}

// confirmedAt returns when the confirmation behind a heartbeat held at the latest: the zero
// time if the upstream never had one. It is an error if the upstream has not read a number
// for longer than maxAge, in which clocks may drift apart.
func (c *followerClock) confirmedAt(beat *heartbeat, maxAge time.Duration) (at time.Time, err error) {
	switch beat.Sequence {
	case 0:
		return time.Time{}, nil
	case c.lastSequence:
		at = c.sentAt
	case c.lastSequence - 1:
		at = c.previousSentAt
	default:
		return time.Time{}, fmt.Errorf("%w: %d, the last one sent is %d", errSequence, beat.Sequence, c.lastSequence)
	}
	now := time.Now()
	if waiting := now.Sub(at); waiting > maxAge {
		return time.Time{}, fmt.Errorf("upstream does not read: sequence number %d was sent %v ago", beat.Sequence, waiting)
	}
	at = at.Add(-time.Duration(beat.AgeMicros) * time.Microsecond)
	if at.After(now) { // the upstream lies, or clocks drift
		at = now
	}
	return at, nil
}

// upstreamClock is the upstream's side of a connection. One goroutine reads numbers while
// another one acknowledges them.
type upstreamClock struct {
	mu           sync.Mutex
	lastSequence uint64
	receivedAt   time.Time // of lastSequence
	acknowledged bool      // a heartbeat has named lastSequence
}

// acknowledge returns the last number and when it was received, for the heartbeat that
// names it.
func (c *upstreamClock) acknowledge() (sequence uint64, receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = true
	return c.lastSequence, c.receivedAt
}

// readSequence reads one number. It must be the next one, and the last one must have been
// acknowledged.
func (c *upstreamClock) readSequence(reader io.Reader) error {
	kind, payload, err := readMessage(reader, sequenceSize)
	if err != nil {
		return err
	}
	if kind != msgSequence || len(payload) != sequenceSize {
		return fmt.Errorf("message %q of %d bytes, want a sequence number", kind, len(payload))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sequence := binary.BigEndian.Uint64(payload)
	if sequence != c.lastSequence+1 || !c.acknowledged {
		return fmt.Errorf("%w: %d, the last one was %d", errSequence, sequence, c.lastSequence)
	}
	c.lastSequence, c.receivedAt, c.acknowledged = sequence, time.Now(), false
	return nil
}
