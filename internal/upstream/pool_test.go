package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/proxy"
)

const testTimeout = 10 * time.Second // no test waits this long unless it fails

// told is what became of a branch or a probe.
type observation struct {
	up      bool
	outcome balance.Outcome
	load    balance.LoadReport
}

type observationChannel chan observation

func (c observationChannel) AttemptEstablished(dispatch.Placement, int, string, time.Duration) {
	c <- observation{up: true}
}
func (c observationChannel) AttemptEnded(_ dispatch.Placement, _ int, _ string, outcome balance.Outcome, _ time.Duration, load balance.LoadReport) {
	c <- observation{outcome: outcome, load: load}
}
func (c observationChannel) ProbeEnded(_ string, outcome balance.Outcome, _ time.Duration, load balance.LoadReport) {
	c <- observation{outcome: outcome, load: load}
}

// The exchange tells these; no test here waits for them.
func (c observationChannel) ClientGone(dispatch.Placement)                      {}
func (c observationChannel) PlacementEnded(dispatch.Placement, balance.Outcome) {}

func (c observationChannel) next(t *testing.T) observation {
	t.Helper()
	select {
	case got := <-c:
		return got
	case <-time.After(testTimeout):
		t.Fatal("nothing was told")
		return observation{}
	}
}

// listen serves each connection with f until the test ends.
func listen(t *testing.T, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); serve(conn) }()
		}
	}()
	t.Cleanup(func() { listener.Close() })
	return listener.Addr().String()
}

// start returns Hops that know one next hop, which serves each connection with f.
func startPool(t *testing.T, serve func(net.Conn)) (*Pool, observationChannel, string) {
	t.Helper()
	addr := listen(t, serve)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	pool, observations := New(ctx, Limits{ConnectTimeout: testTimeout, ProbeTimeout: 300 * time.Millisecond, DrainGrace: 300 * time.Millisecond}), make(observationChannel, 16)
	pool.SetObserver(observations)
	pool.Update(true, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: addr}}, time.Now())
	return pool, observations, addr
}

// transaction returns one that a caller waits for.
func newSession(t *testing.T, observations observationChannel) *proxy.Session {
	t.Helper()
	serverSide, clientSide := net.Pipe()
	t.Cleanup(func() { serverSide.Close(); clientSide.Close() })
	open, err := lineproto.ParseConnectRequest([]byte("OPEN a k c=feed,d=2000,g=x"))
	if err != nil {
		t.Fatal(err)
	}
	return proxy.New(proxy.Request{ID: "a"}, &open, lineproto.Codec{}, observations, bufconn.New(serverSide))
}

// What comes back decides the outcome, as the protocol's table says.
func TestReplyDecidesOutcome(t *testing.T) {
	tests := []struct {
		name, answer string
		reset        bool
		want         observation
	}{
		{"up", "UP r1\r\n", false, observation{up: true}},
		{"busy", "BUSY x0=0.5\r\n", false, observation{outcome: balance.AtCapacity}},
		{"error", "ERR\r\n", false, observation{outcome: balance.Errored}},
		{"bye", "BYE\r\n", false, observation{outcome: balance.OK}},
		{"move", "MOVE\r\n", false, observation{outcome: balance.Cancelled}},
		{"malformed", "WHAT IS THIS\r\n", false, observation{outcome: balance.Errored}},
		{"endless", strings.Repeat("UP", bufconn.BufferSize), false, observation{outcome: balance.Reset}},
		{"ends", "", false, observation{outcome: balance.Reset}},
		{"ends within its answer", "UP r", false, observation{outcome: balance.Reset}},
		{"resets", "", true, observation{outcome: balance.Reset}},
		{"nothing", "wait", false, observation{outcome: balance.TimedOut}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			firstLines, closed := make(chan string, 1), make(chan struct{})
			pool, observations, _ := startPool(t, func(conn net.Conn) {
				defer close(closed)
				reader := bufio.NewReader(conn)
				line, _ := reader.ReadString('\n')
				firstLines <- line
				if tt.reset {
					conn.(*net.TCPConn).SetLinger(0)
					return
				}
				if tt.answer != "wait" {
					fmt.Fprint(conn, tt.answer)
				}
				if tt.answer != "" && tt.answer != "UP r" {
					reader.ReadByte() // until the branch is closed
				}
			})
			session := newSession(t, observations)
			pool.StartAttempt(session, 0, "s1", time.Now().Add(200*time.Millisecond))
			end := observations.next(t)
			if end.up != tt.want.up || end.outcome != tt.want.outcome {
				t.Errorf("told %+v, want %+v", end, tt.want)
			}
			if line := <-firstLines; !strings.HasPrefix(line, "OPEN a k c=feed,d=") || !strings.HasSuffix(line, ",g=x\r\n") {
				t.Errorf("first line %q", line)
			}
			if !tt.want.up {
				<-closed // the branch's socket is
			}
		})
	}
}

// A line goes to no next hop once a drain's grace is over, however long before
// the dial was begun; and what was never sent has never run.
func TestSendsNothingAfterDrainGrace(t *testing.T) {
	pool, observations, addr := startPool(t, func(conn net.Conn) {
		if line, _ := bufio.NewReader(conn).ReadString('\n'); line != "" {
			t.Errorf("sent %q", line)
		}
	})
	draining := []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1", State: balance.Draining}, Addr: addr}}
	pool.Update(false, draining, time.Now().Add(-time.Second))
	pool.StartAttempt(newSession(t, observations), 0, "s1", time.Now().Add(testTimeout))
	if end := observations.next(t); end.outcome != balance.ConnectFailed {
		t.Errorf("told %+v", end)
	}
	pool.Update(true, nil, time.Now())
	pool.StartAttempt(newSession(t, observations), 0, "s1", time.Now().Add(testTimeout))
	if end := observations.next(t); end.outcome != balance.ConnectFailed {
		t.Errorf("gone: told %+v", end)
	}
}

func TestReportsConnectFailedForRefusedConnection(t *testing.T) {
	pool, observations, _ := startPool(t, func(net.Conn) {})
	pool.Update(false, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s2"}, Addr: "127.0.0.1:1"}}, time.Now())
	pool.StartAttempt(newSession(t, observations), 0, "s2", time.Now().Add(testTimeout))
	if end := observations.next(t); end.outcome != balance.ConnectFailed {
		t.Errorf("told %+v", end)
	}
}

// Probes share one kept connection, which is made anew when it was closed; a
// malformed report is an error and a missing one a time-out.
func TestProbesShareOneConnection(t *testing.T) {
	answers := []string{"PONG outstanding=7,x0=0.5,recent_ms=2", "PONG x0=0.25", "", "PONG x0=1", "PONG x0=much", "NO", "wait"}
	want := []observation{{load: balance.LoadReport{Utilization: 0.5, Inflight: 7, LatencyMillis: 2}}, {load: balance.LoadReport{Utilization: 0.25}},
		{load: balance.LoadReport{Utilization: 1}}, {outcome: balance.Errored}, {outcome: balance.Errored}, {outcome: balance.TimedOut}}
	var conns atomic.Int32
	answerQueue := make(chan string, len(answers))
	for _, answer := range answers {
		answerQueue <- answer
	}
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		conns.Add(1)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			if lines.Text() != lineproto.Stats {
				t.Errorf("asked %q", lines.Text())
			}
			switch answer := <-answerQueue; answer {
			case "":
				return // closed while it was kept
			case "wait":
			default:
				fmt.Fprintf(conn, "%s\r\n", answer)
			}
		}
	})
	for i, wanted := range want {
		pool.Probe("s1")
		got := observations.next(t)
		if got.outcome != wanted.outcome || got.outcome == balance.OK && got.load.Utilization != wanted.load.Utilization {
			t.Errorf("probe %d: told %+v, want %+v", i, got, wanted)
		}
	}
	if count := conns.Load(); count != 4 {
		t.Errorf("%d connections for %d probes, of which 3 lost theirs before the last", count, len(want))
	}
	pool.Probe("s9")
	if got := observations.next(t); got.outcome != balance.ConnectFailed {
		t.Errorf("unknown next hop: told %+v", got)
	}
}

// stats serves load reports on a listener of its own.
func serveLoadReports(t *testing.T, x0 string) (addr string) {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			fmt.Fprintf(conn, "PONG x0=%s\r\n", x0)
		}
	})
}

// A process that took an id over at another address was judged by the one that had
// it: the kept connection went on asking there, for as long as that one answered.
func TestProbesFollowTheAddress(t *testing.T) {
	pool, observations, _ := startPool(t, func(net.Conn) {})
	for _, x0 := range []float64{0.25, 0.75} {
		moved := []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: serveLoadReports(t, fmt.Sprint(x0))}}
		pool.Update(false, moved, time.Now())
		pool.Probe("s1")
		if got := observations.next(t); got.outcome != balance.OK || got.load.Utilization != x0 {
			t.Errorf("told %+v, want the report %v of who has the id now", got, x0)
		}
	}
}

// A probe of a next hop that has gone meanwhile tells nothing of the one that has its
// id now: it was held against that one as a failure.
func TestDiscardsProbeResultOfRemovedEndpoint(t *testing.T) {
	requested := make(chan struct{})
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		bufio.NewScanner(conn).Scan()
		close(requested)
		conn.Read(make([]byte, 1)) // answers nothing
	})
	pool.Probe("s1")
	<-requested
	pool.Update(false, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1", State: balance.Gone}}}, time.Now())
	pool.Update(false, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: serveLoadReports(t, "0.5")}}, time.Now())
	for range 3 {
		pool.Probe("s1")
		if got := observations.next(t); got.outcome != balance.OK {
			t.Errorf("told %+v of a sound next hop", got)
		}
	}
}
