package replog

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/internal/fleet/logentry"
)

// delayedConn holds back what is read or written until a time that is set.
type delayedConn struct {
	net.Conn
	readUntil, writeUntil time.Time
}

func (h *delayedConn) Read(p []byte) (int, error) {
	n, err := h.Conn.Read(p)
	time.Sleep(time.Until(h.readUntil))
	return n, err
}

func (h *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(time.Until(h.writeUntil))
	return h.Conn.Write(p)
}

// newBareReplica returns a member without disk and listener.
func newBareReplica(t *testing.T, name string) *Replica {
	first, err := logentry.NewState(logentry.Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	return &Replica{
		options:   Options{Name: name, Lease: defaultLease},
		self:      Peer{Name: name},
		publisher: newPublisher(first),
		followers: map[string]*sealedConn{},
	}
}

// A heartbeat that is delayed, or whose sequence number is, never counts as younger than it
// is.
func TestDelayedHeartbeatNeverLooksYounger(t *testing.T) {
	const held = time.Second - time.Millisecond
	for name, hold := range map[string]func(*delayedConn, time.Time){
		"none":            func(*delayedConn, time.Time) {},
		"heartbeat":       func(h *delayedConn, until time.Time) { h.readUntil = until },
		"sequence number": func(h *delayedConn, until time.Time) { h.writeUntil = until },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var wire *delayedConn
				up, down := newBareReplica(t, "up"), newBareReplica(t, "down")
				down.initialState = up.initialState
				dialed, accepted := connectedPair(t, testKey, testKey, func(c net.Conn) net.Conn {
					wire = &delayedConn{Conn: c}
					return wire
				})
				_, _ = dialed.SetDeadline(time.Time{}), accepted.SetDeadline(time.Time{})
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				up.publisher.confirmLeader(time.Now(), "up", nil)
				go up.serveFollower(ctx, accepted)
				go func() {
					_, err := down.receiveFrom(dialed, Peer{Name: "up"}, true)
					ended <- err
				}()
				defer func() {
					cancel()
					_, _ = accepted.Close(), dialed.Close()
					if err := <-ended; err == nil {
						t.Error("no error at the end")
					}
				}()
				received := func() time.Time { return down.publisher.view.Load().ConfirmedAt }
				for range 4 {
					synctest.Wait()
					if got, want := received(), up.publisher.view.Load().ConfirmedAt; !got.Equal(want) {
						t.Fatalf("nothing is held back: a confirmation of %v counts as one of %v", want, got)
					}
					time.Sleep(up.options.heartbeatInterval())
					up.publisher.confirmLeader(time.Now(), "up", nil)
				}
				time.Sleep(up.options.heartbeatInterval())
				synctest.Wait()
				hold(wire, time.Now().Add(held))
				last := time.Now()
				up.publisher.confirmLeader(last, "up", nil) // the last confirmation
				for range 8 {
					time.Sleep(up.options.heartbeatInterval())
					synctest.Wait()
					if got := received(); got.After(last) {
						t.Fatalf("counts as younger by %v", got.Sub(last))
					}
				}
				if got := received(); !got.Equal(last) || down.View().WithinLease {
					t.Errorf("a lease later: a confirmation of %v ago, within the lease %v", time.Since(got), down.View().WithinLease)
				}
			})
		})
	}
}

// A follower that sends numbers faster than heartbeats acknowledge them is cut off, and a
// heartbeat may name only the last two.
func TestRejectsUnexpectedSequence(t *testing.T) {
	a, b := connectedPair(t, testKey, testKey, unaltered)
	defer func() { _, _ = a.Close(), b.Close() }()
	go func() {
		for n := range uint64(2) {
			_ = writeMessage(a, msgSequence, binary.BigEndian.AppendUint64(nil, n+2))
		}
	}()
	read := upstreamClock{lastSequence: 1, acknowledged: true}
	if err := read.readSequence(b); err != nil {
		t.Fatal(err)
	}
	if err := read.readSequence(b); !errors.Is(err, errSequence) {
		t.Errorf("one before the last was acknowledged: %v", err)
	}
	sent := followerClock{lastSequence: 7, sentAt: time.Now(), previousSentAt: time.Now().Add(-time.Minute)}
	for number, fine := range map[uint64]bool{5: false, 7: true, 8: false} {
		if _, err := sent.confirmedAt(&heartbeat{Sequence: number}, time.Second); errors.Is(err, errSequence) == fine {
			t.Errorf("number %d: %v", number, err)
		}
	}
	if _, err := sent.confirmedAt(&heartbeat{Sequence: 6}, time.Second); err == nil {
		t.Error("a number of a minute ago is still accepted")
	}
	at, err := sent.confirmedAt(&heartbeat{Sequence: 7, AgeMicros: -1 << 40}, time.Second)
	if err != nil || at.After(time.Now()) {
		t.Errorf("a confirmation in the future: %v, %v", at, err)
	}
}
