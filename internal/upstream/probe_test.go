package upstream

import (
	"bufio"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/lineproto"
)

// Probes share one kept connection, which is made anew when it was closed; a malformed report
// is an error and a missing one a timeout.
func TestProbesShareOneConnection(t *testing.T) {
	answers := []string{
		"PONG outstanding=7,x0=0.5,recent_ms=2", "PONG x0=0.25", "", "PONG x0=1", "PONG x0=much", "NO", "wait",
	}
	want := []observation{
		{load: balance.LoadReport{Utilization: 0.5, Inflight: 7, LatencyMillis: 2}},
		{load: balance.LoadReport{Utilization: 0.25}},
		{load: balance.LoadReport{Utilization: 1}},
		{outcome: balance.Errored},
		{outcome: balance.Errored},
		{outcome: balance.TimedOut},
	}
	var conns atomic.Int32
	answerQueue := make(chan string, len(answers))
	for _, answer := range answers {
		answerQueue <- answer
	}
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		conns.Add(1)
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			if lines.Text() != lineproto.Stats {
				t.Errorf("probe sent %q", lines.Text())
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
		if got.outcome != wanted.outcome ||
			got.outcome == balance.OK && got.load.Utilization != wanted.load.Utilization {
			t.Errorf("probe %d: got %+v, want %+v", i, got, wanted)
		}
	}
	if count := conns.Load(); count != 4 {
		t.Errorf("%d connections for %d probes, of which 3 lost theirs before the last", count, len(want))
	}
	pool.Probe("s9")
	if got := observations.next(t); got.outcome != balance.ConnectFailed {
		t.Errorf("unknown endpoint: got %+v", got)
	}
}

// serveLoadReports serves load reports on a listener of its own.
func serveLoadReports(t *testing.T, x0 string) (addr string) {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		for lines := bufio.NewScanner(conn); lines.Scan(); {
			fmt.Fprintf(conn, "PONG x0=%s\r\n", x0)
		}
	})
}

// A process that took an id over at another address was judged by the one that had it before:
// probes went on over the kept connection for as long as that one answered.
func TestProbesFollowTheAddress(t *testing.T) {
	pool, observations, _ := startPool(t, func(net.Conn) {})
	for _, x0 := range []float64{0.25, 0.75} {
		moved := []discovery.Endpoint{endpointAt("s1", serveLoadReports(t, fmt.Sprint(x0)))}
		pool.Update(false, moved, time.Now())
		pool.Probe("s1")
		if got := observations.next(t); got.outcome != balance.OK || got.load.Utilization != x0 {
			t.Errorf("got %+v, want the report %v of the process that has the id now", got, x0)
		}
	}
}

// A probe of an endpoint that is gone meanwhile says nothing of the one that has its id now: it
// counted as a failure of that one.
func TestDiscardsProbeResultOfRemovedEndpoint(t *testing.T) {
	requested := make(chan struct{})
	pool, observations, _ := startPool(t, func(conn net.Conn) {
		bufio.NewScanner(conn).Scan()
		close(requested)
		_, _ = conn.Read(make([]byte, 1)) // answers nothing
	})
	pool.Probe("s1")
	<-requested
	gone := endpointAt("s1", "")
	gone.State = balance.Gone
	pool.Update(false, []discovery.Endpoint{gone}, time.Now())
	pool.Update(false, []discovery.Endpoint{endpointAt("s1", serveLoadReports(t, "0.5"))}, time.Now())
	for range 3 {
		pool.Probe("s1")
		if got := observations.next(t); got.outcome != balance.OK {
			t.Errorf("got %+v of a healthy endpoint", got)
		}
	}
}
