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

// delayedConn delays data that is read or written until the given times.
type delayedConn struct {
	net.Conn
	readUntil, writeUntil time.Time
}

func (c *delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Until(c.readUntil))
	return n, err
}

func (c *delayedConn) Write(p []byte) (int, error) {
	time.Sleep(time.Until(c.writeUntil))
	return c.Conn.Write(p)
}

// newBareReplica returns a member without a disk and without a listener.
func newBareReplica(t *testing.T, name string) *Replica {
	initial, err := logentry.NewState(logentry.Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	return &Replica{
		options:   Options{Name: name, Lease: defaultLease},
		self:      Peer{Name: name},
		publisher: newPublisher(initial),
		followers: map[string]*sealedConn{},
	}
}

// Guards against a lease that is extended by a delay: a confirmation must never appear younger
// than it is if its heartbeat, or the follower's sequence number, is delayed in transit.
func TestDelayedHeartbeatNeverLooksYounger(t *testing.T) {
	const delay = time.Second - time.Millisecond
	for name, delayUntil := range map[string]func(*delayedConn, time.Time){
		"none":            func(*delayedConn, time.Time) {},
		"heartbeat":       func(conn *delayedConn, until time.Time) { conn.readUntil = until },
		"sequence number": func(conn *delayedConn, until time.Time) { conn.writeUntil = until },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var delayed *delayedConn
				upstream, follower := newBareReplica(t, "up"), newBareReplica(t, "down")
				follower.initialState = upstream.initialState
				dialed, accepted := connectedPair(t, testKey, testKey, func(c net.Conn) net.Conn {
					delayed = &delayedConn{Conn: c}
					return delayed
				})
				_, _ = dialed.SetDeadline(time.Time{}), accepted.SetDeadline(time.Time{})
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				upstream.publisher.confirmLeader(time.Now(), "up", nil)
				go upstream.serveFollower(ctx, accepted)
				go func() {
					_, err := follower.receiveFrom(dialed, Peer{Name: "up"}, true)
					ended <- err
				}()
				defer func() {
					cancel()
					_, _ = accepted.Close(), dialed.Close()
					if err := <-ended; err == nil {
						t.Error("receiveFrom returned no error after the connection was closed")
					}
				}()
				received := func() time.Time { return follower.publisher.view.Load().ConfirmedAt }
				for range 4 {
					synctest.Wait()
					if got, want := received(), upstream.publisher.view.Load().ConfirmedAt; !got.Equal(want) {
						t.Fatalf("without a delay: confirmation at %v is received as %v", want, got)
					}
					time.Sleep(upstream.options.heartbeatInterval())
					upstream.publisher.confirmLeader(time.Now(), "up", nil)
				}
				time.Sleep(upstream.options.heartbeatInterval())
				synctest.Wait()
				delayUntil(delayed, time.Now().Add(delay))
				last := time.Now()
				upstream.publisher.confirmLeader(last, "up", nil) // the last confirmation
				for range 8 {
					time.Sleep(upstream.options.heartbeatInterval())
					synctest.Wait()
					if got := received(); got.After(last) {
						t.Fatalf("confirmation appears younger by %v", got.Sub(last))
					}
				}
				if got := received(); !got.Equal(last) || follower.View().WithinLease {
					t.Errorf("after a lease: confirmed %v ago, in lease %v", time.Since(got), follower.View().WithinLease)
				}
			})
		})
	}
}

// An upstream must reject a sequence number that arrives before the previous one was
// acknowledged. A follower must reject a heartbeat with any but its last two numbers, or with a
// number that it sent too long ago, and must not accept a confirmation in the future.
func TestRejectsUnexpectedSequence(t *testing.T) {
	a, b := connectedPair(t, testKey, testKey, unwrapped)
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
		t.Errorf("number sent before the previous one was acknowledged: %v", err)
	}
	sent := followerClock{lastSequence: 7, sentAt: time.Now(), previousSentAt: time.Now().Add(-time.Minute)}
	for number, valid := range map[uint64]bool{5: false, 7: true, 8: false} {
		if _, err := sent.confirmedAt(&heartbeat{Sequence: number}, time.Second); errors.Is(err, errSequence) == valid {
			t.Errorf("number %d: %v", number, err)
		}
	}
	if _, err := sent.confirmedAt(&heartbeat{Sequence: 6}, time.Second); err == nil {
		t.Error("a number that was sent a minute ago is still accepted")
	}
	at, err := sent.confirmedAt(&heartbeat{Sequence: 7, AgeMicros: -1 << 40}, time.Second)
	if err != nil || at.After(time.Now()) {
		t.Errorf("confirmation in the future: %v, %v", at, err)
	}
}
