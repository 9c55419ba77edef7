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

// heldConn keeps what is read or written back until a time that is set.
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

// bare is a member without a disk and a port.
func newBareReplica(t *testing.T, name string) *Replica {
	first, err := logentry.NewState(logentry.Genesis{})
	if err != nil {
		t.Fatal(err)
	}
	return &Replica{options: Options{Name: name, Lease: defaultLease}, self: Peer{Name: name}, publisher: newPublisher(first), followers: map[string]*sealedConn{}}
}

// A word that waits on its way, or whose number does, is taken for no younger than it is.
func TestDelayedHeartbeatNeverLooksYounger(t *testing.T) {
	const held = time.Second - time.Millisecond
	for name, hold := range map[string]func(*delayedConn, time.Time){
		"none":   func(*delayedConn, time.Time) {},
		"beat":   func(h *delayedConn, until time.Time) { h.readUntil = until },
		"number": func(h *delayedConn, until time.Time) { h.writeUntil = until },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var wire *delayedConn
				up, down := newBareReplica(t, "up"), newBareReplica(t, "down")
				down.initialState = up.initialState
				caller, called := connectedPair(t, "0123456789abcdef", "0123456789abcdef", func(c net.Conn) net.Conn {
					wire = &delayedConn{Conn: c}
					return wire
				})
				_, _ = caller.SetDeadline(time.Time{}), called.SetDeadline(time.Time{})
				ctx, cancel := context.WithCancel(context.Background())
				ended := make(chan error, 1)
				up.publisher.confirmLeader(time.Now(), "up", nil)
				go up.serveFollower(ctx, called)
				go func() {
					_, err := down.receiveFrom(caller, Peer{Name: "up"}, true)
					ended <- err
				}()
				defer func() {
					cancel()
					_, _ = called.Close(), caller.Close()
					if err := <-ended; err == nil {
						t.Error("no error at the end")
					}
				}()
				heard := func() time.Time { return down.publisher.view.Load().ConfirmedAt }
				for range 4 {
					synctest.Wait()
					if got, want := heard(), up.publisher.view.Load().ConfirmedAt; !got.Equal(want) {
						t.Fatalf("nothing is held: a word of %v is taken for one of %v", want, got)
					}
					time.Sleep(up.options.heartbeatInterval())
					up.publisher.confirmLeader(time.Now(), "up", nil)
				}
				time.Sleep(up.options.heartbeatInterval())
				synctest.Wait()
				hold(wire, time.Now().Add(held))
				last := time.Now()
				up.publisher.confirmLeader(last, "up", nil) // nobody is heard after this
				for range 8 {
					time.Sleep(up.options.heartbeatInterval())
					synctest.Wait()
					if got := heard(); got.After(last) {
						t.Fatalf("taken for younger by %v", got.Sub(last))
					}
				}
				if got := heard(); !got.Equal(last) || down.View().WithinLease {
					t.Errorf("a lease later: a word of %v ago, fresh %v", time.Since(got), down.View().WithinLease)
				}
			})
		})
	}
}

// Who sends numbers faster than beats name them is cut off, and a beat names no other than
// the last two.
func TestRejectsUnexpectedSequence(t *testing.T) {
	a, b := connectedPair(t, "0123456789abcdef", "0123456789abcdef", unaltered)
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
		t.Errorf("one that was not awaited: %v", err)
	}
	sent := followerClock{lastSequence: 7, sentAt: time.Now(), previousSentAt: time.Now().Add(-time.Minute)}
	for number, fine := range map[uint64]bool{5: false, 7: true, 8: false} {
		if _, err := sent.confirmedAt(&heartbeat{Sequence: number}, time.Second); errors.Is(err, errSequence) == fine {
			t.Errorf("number %d: %v", number, err)
		}
	}
	if _, err := sent.confirmedAt(&heartbeat{Sequence: 6}, time.Second); err == nil {
		t.Error("a number of a minute ago is good still")
	}
	if at, err := sent.confirmedAt(&heartbeat{Sequence: 7, AgeMicros: -1 << 40}, time.Second); err != nil || at.After(time.Now()) {
		t.Errorf("a word of the future: %v, %v", at, err)
	}
}
