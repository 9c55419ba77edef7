package replog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// A stopped process or a slow link can delay a heartbeat, and its receiver cannot measure the
// delay. A follower therefore sends sequence numbers, one at a time, and a heartbeat holds the
// last number that the upstream has received and the age that the leader's confirmation had
// at that time of receipt. The follower subtracts this age from the time at which it sent the
// number, by its own clock, which is no later than the time of receipt. A confirmation
// therefore never appears younger than it is, and appears older by at most the time that the
// number was in transit. The hello counts as sequence number 1.

// sequenceSize is the length of a sequence number in bytes.
const sequenceSize = 8

// errSequence reports a sequence number that is out of order, or that was sent before the
// previous one was acknowledged.
var errSequence = errors.New("unexpected sequence number")

// followerClock is the follower's side of the sequence numbers of one connection. It must be
// used by one goroutine only.
type followerClock struct {
	lastSequence           uint64
	sentAt, previousSentAt time.Time // of lastSequence, and of the one before it
}

// nextSequence returns the number to send now, and records the time.
func (c *followerClock) nextSequence() uint64 {
	c.lastSequence++
	c.previousSentAt, c.sentAt = c.sentAt, time.Now()
	return c.lastSequence
}

// confirmedAt returns a time that is no later than the leader's confirmation that beat
// reports, or the zero time if the upstream has never had a confirmation. It returns an error
// if the upstream has not read a number for longer than maxAge, since the clocks may drift
// apart in that time.
func (c *followerClock) confirmedAt(beat *heartbeat, maxAge time.Duration) (at time.Time, err error) {
	switch beat.Sequence {
	case 0:
		return time.Time{}, nil
	case c.lastSequence:
		at = c.sentAt
	case c.lastSequence - 1:
		at = c.previousSentAt
	default:
		return time.Time{}, fmt.Errorf("%w: got %d, last sent %d", errSequence, beat.Sequence, c.lastSequence)
	}
	now := time.Now()
	if unreadFor := now.Sub(at); unreadFor > maxAge {
		return time.Time{}, fmt.Errorf("upstream stopped reading: number %d was sent %v ago", beat.Sequence, unreadFor)
	}
	at = at.Add(-time.Duration(beat.AgeMicros) * time.Microsecond)
	if at.After(now) { // the upstream reports a wrong age, or the clocks drift
		at = now
	}
	return at, nil
}

// upstreamClock is the upstream's side of the sequence numbers of one connection. One
// goroutine reads numbers while another acknowledges them.
type upstreamClock struct {
	mu           sync.Mutex
	lastSequence uint64
	receivedAt   time.Time // of lastSequence
	acknowledged bool      // whether a heartbeat has held lastSequence
}

// acknowledge returns the last number and its time of receipt, to be sent in a heartbeat.
func (c *upstreamClock) acknowledge() (sequence uint64, receivedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = true
	return c.lastSequence, c.receivedAt
}

// readSequence reads one number. It returns an error unless the number is the next one and
// the previous one has been acknowledged.
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
		return fmt.Errorf("%w: got %d after %d", errSequence, sequence, c.lastSequence)
	}
	c.lastSequence, c.receivedAt, c.acknowledged = sequence, time.Now(), false
	return nil
}
