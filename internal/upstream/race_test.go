package upstream

// What comes between two steps of an attempt or a probe: held open by a dial or a next hop
// that waits.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/discovery"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

// heldDial dials, and hands out the connection once it is let go, whatever has come
// meanwhile: like one that came up late.
type blockedDial struct{ dialled, release chan struct{} }

func blockDial(pool *Pool) blockedDial {
	blocked := blockedDial{make(chan struct{}), make(chan struct{})}
	pool.Dial = func(_ context.Context, addr string, deadline time.Time) (net.Conn, error) {
		conn, err := dial(context.Background(), addr, deadline)
		close(blocked.dialled)
		<-blocked.release
		return conn, err
	}
	return blocked
}

// The caller leaves while the dial is under way, or in the very moment in which it came
// up: not a byte goes to the next hop, and nothing is held against it.
func TestSendsNothingAfterClientLeavesDuringDial(t *testing.T) {
	for name, sameMoment := range map[string]bool{"noticed": false, "in the same moment": true} {
		t.Run(name, func(t *testing.T) {
			receivedBytes := make(chan []byte, 1)
			pool, observations, _ := startPool(t, func(conn net.Conn) {
				received, _ := io.ReadAll(conn)
				receivedBytes <- received
			})
			blocked := blockDial(pool)
			serverSide, clientSide := net.Pipe()
			open, err := lineproto.ParseConnectRequest([]byte("OPEN a k c=feed,d=2000,g=x"))
			if err != nil {
				t.Fatal(err)
			}
			session := proxy.New(proxy.Request{ID: "a"}, &open, lineproto.Codec{}, observations, bufconn.New(serverSide))
			sessionEnded := make(chan struct{})
			go func() { defer close(sessionEnded); session.Run() }()
			pool.StartAttempt(session, 0, "s1", time.Now().Add(testTimeout))
			<-blocked.dialled
			if sameMoment {
				session.Fail() // ends the transaction's context without a moment for anybody to close the socket
			} else {
				clientSide.Close()
				<-session.Context().Done()
			}
			close(blocked.release)
			if end := observations.next(t); end.up || end.outcome != balance.Cancelled {
				t.Errorf("told %+v, want cancelled", end)
			}
			if received := <-receivedBytes; len(received) > 0 {
				t.Errorf("the next hop was sent %q", received)
			}
			clientSide.Close()
			<-sessionEnded
		})
	}
}

// A caller that leaves while its branch is out: whatever its closed socket says then, the
// attempt was called off. As a reset or a failed connection it spoke against the next hop.
func TestReportsCancelledAfterClientLeavesDuringAttempt(t *testing.T) {
	requested := make(chan struct{})
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		reader.ReadString('\n')
		close(requested)
		reader.ReadByte() // until the branch is closed
	})
	session := newSession(t, observations)
	pool.StartAttempt(session, 0, "s1", time.Now().Add(testTimeout))
	<-requested
	session.Fail()
	if end := observations.next(t); end.outcome != balance.Cancelled {
		t.Errorf("told %+v, want cancelled", end)
	}
}

// A drain is told, or the deadline comes, while the dial is under way: nothing is sent.
func TestSendsNothingAfterDrainOrDeadlineDuringDial(t *testing.T) {
	draining := discovery.Endpoint{ServerEntry: balance.ServerEntry{ID: "s1", State: balance.Draining}}
	for name, interrupt := range map[string]func(pool *Pool){
		"drains": func(pool *Pool) {
			pool.Update(false, []discovery.Endpoint{draining}, time.Now().Add(-150*time.Millisecond))
		},
		"gone":     func(pool *Pool) { pool.Update(true, nil, time.Now().Add(-time.Second)) },
		"deadline": func(*Pool) { time.Sleep(time.Second) }, // of the bubble's time
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				pool, observations := New(ctx, Limits{DrainGrace: 300 * time.Millisecond}), make(observationChannel, 16)
				pool.SetObserver(observations)
				pool.Update(true, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: "s1"}}, time.Now())
				poolSide, endpointSide := net.Pipe()
				dialled, release := make(chan struct{}), make(chan struct{})
				pool.Dial = func(context.Context, string, time.Time) (net.Conn, error) {
					close(dialled)
					<-release
					return poolSide, nil
				}
				pool.StartAttempt(newSession(t, observations), 0, "s1", time.Now().Add(time.Second))
				<-dialled
				interrupt(pool)
				close(release)
				if received, _ := io.ReadAll(endpointSide); len(received) > 0 {
					t.Errorf("sent %q", received)
				}
				if end := observations.next(t); end.outcome != balance.ConnectFailed {
					t.Errorf("told %+v", end)
				}
				cancel()
			})
		})
	}
}

// A kept connection that its next hop closes while it rests, or on which a second answer
// has come, is not asked again: each question is asked once, and has its own answer.
func TestReplacesStaleProbeConnection(t *testing.T) {
	var queries, conns atomic.Int32
	followUps, sent := make(chan string, 1), make(chan struct{})
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		conns.Add(1)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			askedCount := queries.Add(1)
			fmt.Fprintf(conn, "PONG x0=%d\r\n", askedCount)
			switch followUp := <-followUps; followUp {
			case "close":
				conn.Close()
				sent <- struct{}{}
				return
			case "":
			default:
				fmt.Fprint(conn, followUp)
				sent <- struct{}{}
			}
		}
	})
	for i, followUp := range []string{"", "close", "PONG x0=77\r\n", "PON", "", ""} {
		followUps <- followUp
		pool.Probe("s1")
		if got := observations.next(t); got.outcome != balance.OK || got.load.Utilization != float64(i+1) {
			t.Fatalf("probe %d: told %+v", i+1, got)
		}
		if followUp != "" {
			<-sent // on loopback it has arrived when it was written
		}
	}
	if askedCount, connCount := queries.Load(), conns.Load(); askedCount != 6 || connCount != 4 {
		t.Errorf("asked %d times over %d connections, want 6 over 4", askedCount, connCount)
	}
}
