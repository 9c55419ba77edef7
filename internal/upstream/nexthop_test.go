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

const patience = 10 * time.Second // no test waits this long unless it fails

// told is what became of a branch or a probe.
type told struct {
	up      bool
	outcome balance.Outcome
	load    balance.LoadReport
}

type watcher chan told

func (w watcher) AttemptEstablished(dispatch.Placement, int, string, time.Duration) {
	w <- told{up: true}
}
func (w watcher) AttemptEnded(_ dispatch.Placement, _ int, _ string, o balance.Outcome, _ time.Duration, l balance.LoadReport) {
	w <- told{outcome: o, load: l}
}
func (w watcher) ProbeEnded(_ string, o balance.Outcome, _ time.Duration, l balance.LoadReport) {
	w <- told{outcome: o, load: l}
}

// The exchange tells these; no test here waits for them.
func (w watcher) ClientGone(dispatch.Placement)                      {}
func (w watcher) PlacementEnded(dispatch.Placement, balance.Outcome) {}

func (w watcher) next(t *testing.T) told {
	t.Helper()
	select {
	case got := <-w:
		return got
	case <-time.After(patience):
		t.Fatal("nothing was told")
		return told{}
	}
}

// listen serves each connection with f until the test ends.
func listen(t *testing.T, f func(net.Conn)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer conn.Close(); f(conn) }()
		}
	}()
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
}

// start returns Hops that know one next hop, which serves each connection with f.
func start(t *testing.T, f func(net.Conn)) (*Pool, watcher, string) {
	t.Helper()
	addr := listen(t, f)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	h, w := New(ctx, Limits{ConnectTimeout: patience, ProbeTimeout: 300 * time.Millisecond, DrainGrace: 300 * time.Millisecond}), make(watcher, 16)
	h.SetObserver(w)
	h.Update(true, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: addr}}, time.Now())
	return h, w, addr
}

// transaction returns one that a caller waits for.
func transaction(t *testing.T, w watcher) *proxy.Session {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { near.Close(); far.Close() })
	o, err := lineproto.ParseConnectRequest([]byte("OPEN a k c=feed,d=2000,g=x"))
	if err != nil {
		t.Fatal(err)
	}
	return proxy.New(proxy.Request{ID: "a"}, &o, lineproto.Codec{}, w, bufconn.New(near))
}

// What comes back decides the outcome, as the protocol's table says.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		name, answer string
		reset        bool
		want         told
	}{
		{"up", "UP r1\r\n", false, told{up: true}},
		{"busy", "BUSY x0=0.5\r\n", false, told{outcome: balance.AtCapacity}},
		{"error", "ERR\r\n", false, told{outcome: balance.Errored}},
		{"bye", "BYE\r\n", false, told{outcome: balance.OK}},
		{"move", "MOVE\r\n", false, told{outcome: balance.Cancelled}},
		{"malformed", "WHAT IS THIS\r\n", false, told{outcome: balance.Errored}},
		{"endless", strings.Repeat("UP", bufconn.BufferSize), false, told{outcome: balance.Reset}},
		{"ends", "", false, told{outcome: balance.Reset}},
		{"ends within its answer", "UP r", false, told{outcome: balance.Reset}},
		{"resets", "", true, told{outcome: balance.Reset}},
		{"nothing", "wait", false, told{outcome: balance.TimedOut}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, closed := make(chan string, 1), make(chan struct{})
			h, w, _ := start(t, func(conn net.Conn) {
				defer close(closed)
				r := bufio.NewReader(conn)
				first, _ := r.ReadString('\n')
				got <- first
				if tt.reset {
					conn.(*net.TCPConn).SetLinger(0)
					return
				}
				if tt.answer != "wait" {
					fmt.Fprint(conn, tt.answer)
				}
				if tt.answer != "" && tt.answer != "UP r" {
					r.ReadByte() // until the branch is closed
				}
			})
			x := transaction(t, w)
			h.StartAttempt(x, 0, "s1", time.Now().Add(200*time.Millisecond))
			end := w.next(t)
			if end.up != tt.want.up || end.outcome != tt.want.outcome {
				t.Errorf("told %+v, want %+v", end, tt.want)
			}
			if first := <-got; !strings.HasPrefix(first, "OPEN a k c=feed,d=") || !strings.HasSuffix(first, ",g=x\r\n") {
				t.Errorf("first line %q", first)
			}
			if !tt.want.up {
				<-closed // the branch's socket is
			}
		})
	}
}

// A line goes to no next hop once a drain's grace is over, however long before
// the dial was begun; and what was never sent has never run.
func TestNotSentAfterTheDrain(t *testing.T) {
	h, w, addr := start(t, func(conn net.Conn) {
		if s, _ := bufio.NewReader(conn).ReadString('\n'); s != "" {
			t.Errorf("sent %q", s)
		}
	})
	leaving := []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1", State: balance.Draining}, Addr: addr}}
	h.Update(false, leaving, time.Now().Add(-time.Second))
	h.StartAttempt(transaction(t, w), 0, "s1", time.Now().Add(patience))
	if end := w.next(t); end.outcome != balance.ConnectFailed {
		t.Errorf("told %+v", end)
	}
	h.Update(true, nil, time.Now())
	h.StartAttempt(transaction(t, w), 0, "s1", time.Now().Add(patience))
	if end := w.next(t); end.outcome != balance.ConnectFailed {
		t.Errorf("gone: told %+v", end)
	}
}

func TestRefusedConnection(t *testing.T) {
	h, w, _ := start(t, func(net.Conn) {})
	h.Update(false, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s2"}, Addr: "127.0.0.1:1"}}, time.Now())
	h.StartAttempt(transaction(t, w), 0, "s2", time.Now().Add(patience))
	if end := w.next(t); end.outcome != balance.ConnectFailed {
		t.Errorf("told %+v", end)
	}
}

// Probes share one kept connection, which is made anew when it was closed; a
// malformed report is an error and a missing one a time-out.
func TestProbes(t *testing.T) {
	answers := []string{"PONG outstanding=7,x0=0.5,recent_ms=2", "PONG x0=0.25", "", "PONG x0=1", "PONG x0=much", "NO", "wait"}
	want := []told{{load: balance.LoadReport{Utilization: 0.5, Inflight: 7, LatencyMillis: 2}}, {load: balance.LoadReport{Utilization: 0.25}},
		{load: balance.LoadReport{Utilization: 1}}, {outcome: balance.Errored}, {outcome: balance.Errored}, {outcome: balance.TimedOut}}
	var conns atomic.Int32
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	h, w, _ := start(t, func(conn net.Conn) {
		conns.Add(1)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			if lines.Text() != lineproto.Stats {
				t.Errorf("asked %q", lines.Text())
			}
			switch a := <-next; a {
			case "":
				return // closed while it was kept
			case "wait":
			default:
				fmt.Fprintf(conn, "%s\r\n", a)
			}
		}
	})
	for i, wanted := range want {
		h.Probe("s1")
		got := w.next(t)
		if got.outcome != wanted.outcome || got.outcome == balance.OK && got.load.Utilization != wanted.load.Utilization {
			t.Errorf("probe %d: told %+v, want %+v", i, got, wanted)
		}
	}
	if n := conns.Load(); n != 4 {
		t.Errorf("%d connections for %d probes, of which 3 lost theirs before the last", n, len(want))
	}
	h.Probe("s9")
	if got := w.next(t); got.outcome != balance.ConnectFailed {
		t.Errorf("unknown next hop: told %+v", got)
	}
}

// stats serves load reports on a listener of its own.
func stats(t *testing.T, x0 string) (addr string) {
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
	h, w, _ := start(t, func(net.Conn) {})
	for _, x0 := range []float64{0.25, 0.75} {
		moved := []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: stats(t, fmt.Sprint(x0))}}
		h.Update(false, moved, time.Now())
		h.Probe("s1")
		if got := w.next(t); got.outcome != balance.OK || got.load.Utilization != x0 {
			t.Errorf("told %+v, want the report %v of who has the id now", got, x0)
		}
	}
}

// A probe of a next hop that has gone meanwhile tells nothing of the one that has its
// id now: it was held against that one as a failure.
func TestProbesOfWhoHasGone(t *testing.T) {
	asked := make(chan struct{})
	h, w, _ := start(t, func(conn net.Conn) {
		bufio.NewScanner(conn).Scan()
		close(asked)
		conn.Read(make([]byte, 1)) // answers nothing
	})
	h.Probe("s1")
	<-asked
	h.Update(false, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1", State: balance.Gone}}}, time.Now())
	h.Update(false, []discovery.Endpoint{{ServerEntry: balance.ServerEntry{ID: "s1"}, Addr: stats(t, "0.5")}}, time.Now())
	for range 3 {
		h.Probe("s1")
		if got := w.next(t); got.outcome != balance.OK {
			t.Errorf("told %+v of a sound next hop", got)
		}
	}
}
