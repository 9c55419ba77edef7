package refmodel_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/upstream"
)

// answerDelays are the times that endpoints take to answer a line, by endpoint. The endpoint hung never
// answers.
var answerDelays = map[string]time.Duration{"prompt": ms, "late": 600 * ms, "later": 1300 * ms, "hung": time.Hour}

// restartTest is a node that pipes connect to clients and to endpoints with different answer delays.
type restartTest struct {
	transcript *transcript
	goroutines sync.WaitGroup
}

// serveUpstream serves one connection to an endpoint.
func (r *restartTest) serveUpstream(endpoint string, conn net.Conn) {
	defer conn.Close()
	id, sent := "", 0
	var writing sync.Mutex
	send := func() { // one numbered line at a time
		writing.Lock()
		defer writing.Unlock()
		if _, err := fmt.Fprintf(conn, "line %d\r\n", sent+1); err == nil {
			sent++
			r.transcript.recordSent(id, "down", sent)
		}
	}
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		n := 0
		switch command, rest, _ := strings.Cut(lines.Text(), " "); command {
		case "STATS":
			fmt.Fprint(conn, "PONG outstanding=1,x0=0.1,recent_ms=2\r\n")
		case "OPEN":
			id, _, _ = strings.Cut(rest, " ")
			fmt.Fprint(conn, "UP r1\r\n")
		default:
			_, _ = fmt.Sscanf(rest, "%d", &n)
			r.transcript.recordReceived(id, "up", n)
			if endpoint != "hung" {
				r.goroutines.Go(func() {
					time.Sleep(answerDelays[endpoint])
					send()
				})
			}
		}
	}
}

// runClient opens a connection and sends lines on it, answered or not, while it is open.
func (r *restartTest) runClient(id string, conn net.Conn) {
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s k%s c=feed,d=1000\r\n", id, id)
	lines := bufio.NewScanner(conn)
	if !lines.Scan() || lines.Text() != "UP r1" {
		return // never established: findLosses reports that it was not sent MOVE
	}
	moved := make(chan struct{})
	r.goroutines.Go(func() {
		for n := 1; ; n++ {
			if _, err := fmt.Fprintf(conn, "line %d\r\n", n); err != nil {
				return
			}
			r.transcript.recordSent(id, "up", n)
			select {
			case <-moved:
				return
			case <-time.After(70 * ms):
			}
		}
	})
	for lines.Scan() {
		n := 0
		if lines.Text() == "MOVE" {
			r.transcript.recordTime(r.transcript.movedAt, id)
			close(moved)
			time.Sleep(30 * ms) // lets the node read what the client sent before MOVE
			return
		}
		_, _ = fmt.Sscanf(lines.Text(), "line %d", &n)
		r.transcript.recordReceived(id, "down", n)
	}
	r.transcript.recordTime(r.transcript.endedAt, id)
}

// During a graceful restart clients go on sending. A connection loses no line in either direction before
// it is sent MOVE, even if its endpoint answers late, and no connection ends without MOVE, even if its
// endpoint never answers.
func TestGracefulRestartLosesNoLines(t *testing.T) {
	for _, longestAnswer := range []time.Duration{1200 * ms, 3 * time.Second} {
		t.Run(longestAnswer.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r := &restartTest{transcript: newTranscript()}
				listener := pipeListener{make(chan net.Conn), make(chan struct{})}
				pool := upstream.New(ctx, poolLimits)
				pool.Dial = func(_ context.Context, addr string, _ time.Time) (net.Conn, error) {
					nodeConn, peerConn := net.Pipe()
					r.goroutines.Go(func() { r.serveUpstream(addr, peerConn) })
					return nodeConn, nil
				}
				settings := pollSettings(1)
				settings.LoadReporting.InProbeResults, settings.Limits.ProbesAllowed = true, true
				eventLoop, err := dispatch.New(dispatch.NewClock(), 1, settings, pool, noDiscovery{})
				if err != nil {
					t.Fatal(err)
				}
				pool.SetObserver(eventLoop)
				server := downstream.New(eventLoop, pool, downstream.Limits{Sockets: 1000})
				r.goroutines.Go(func() { eventLoop.Run(ctx) })
				u := discovery.Update{Kind: balance.ListFull}
				for endpoint := range answerDelays {
					u.Endpoints = append(u.Endpoints, discovery.Endpoint{Addr: endpoint, ServerEntry: balance.ServerEntry{ID: endpoint}})
				}
				pool.Update(true, u.Endpoints, time.Now())
				eventLoop.UpdateEndpoints(u.ListUpdate())
				r.goroutines.Go(func() { _ = server.Serve(listener) })
				var clients []string
				for i := range 60 {
					id := fmt.Sprint("c", i)
					clients = append(clients, id)
					nodeConn, peerConn := net.Pipe()
					listener.conns <- nodeConn
					r.goroutines.Go(func() { r.runClient(id, peerConn) })
					time.Sleep(10 * ms)
				}
				drainStart := time.Now() // the drain that SIGTERM starts
				server.Drain(downstream.DrainPlan{
					RejectAt:    drainStart,
					MoveStartAt: drainStart.Add(longestAnswer / 2),
					MoveEndAt:   drainStart.Add(longestAnswer + 200*ms),
					EndAt:       drainStart.Add(longestAnswer + 400*ms),
				})
				if took := time.Since(drainStart); took > longestAnswer+400*ms || server.OpenSessions() > 0 {
					t.Errorf("the drain took %v; %d connections are left", took, server.OpenSessions())
				}
				_ = listener.Close()
				server.Close()
				cancel()
				r.goroutines.Wait()
				for _, loss := range r.transcript.findLosses(clients) {
					t.Error(loss)
				}
				if len(r.transcript.received) < 1000 {
					t.Errorf("only %d lines were received", len(r.transcript.received))
				}
			})
		})
	}
}
