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

// answerDelays is how long the endpoint of each name takes to answer a line; hung never does.
var answerDelays = map[string]time.Duration{"prompt": ms, "late": 600 * ms, "later": 1300 * ms, "hung": time.Hour}

// restartTest is a node on pipes whose endpoints answer with different delays.
type restartTest struct {
	transcript *transcript
	goroutines sync.WaitGroup
}

// serveUpstream serves one connection of an endpoint.
func (r *restartTest) serveUpstream(how string, conn net.Conn) {
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
		switch word, rest, _ := strings.Cut(lines.Text(), " "); word {
		case "STATS":
			fmt.Fprint(conn, "PONG outstanding=1,x0=0.1,recent_ms=2\r\n")
		case "OPEN":
			id, _, _ = strings.Cut(rest, " ")
			fmt.Fprint(conn, "UP r1\r\n")
		default:
			_, _ = fmt.Sscanf(rest, "%d", &n)
			r.transcript.recordReceived(id, "up", n)
			if how != "hung" {
				r.goroutines.Go(func() {
					time.Sleep(answerDelays[how])
					send()
				})
			}
		}
	}
}

// runClient opens a connection and sends on it, answered or not, for as long as it is open.
func (r *restartTest) runClient(id string, conn net.Conn) {
	defer conn.Close()
	fmt.Fprintf(conn, "OPEN %s k%s c=feed,d=1000\r\n", id, id)
	lines := bufio.NewScanner(conn)
	if !lines.Scan() || lines.Text() != "UP r1" {
		return // never established: it is reported as having had no MOVE
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
			time.Sleep(30 * ms) // what it has sent before is read meanwhile
			return
		}
		_, _ = fmt.Sscanf(lines.Text(), "line %d", &n)
		r.transcript.recordReceived(id, "down", n)
	}
	r.transcript.recordTime(r.transcript.endedAt, id)
}

// A graceful restart while clients go on sending: until a connection is sent MOVE it loses no line
// in either direction, also where its endpoint answers late; and none ends without MOVE, also where
// its endpoint never answers.
func TestGracefulRestartLosesNoLines(t *testing.T) {
	for _, longest := range []time.Duration{1200 * ms, 3 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r := &restartTest{transcript: newTranscript()}
				door := pipeListener{make(chan net.Conn), make(chan struct{})}
				hops := upstream.New(ctx, poolLimits)
				hops.Dial = func(_ context.Context, addr string, _ time.Time) (net.Conn, error) {
					near, far := net.Pipe()
					r.goroutines.Go(func() { r.serveUpstream(addr, far) })
					return near, nil
				}
				set := pollSettings(1)
				set.LoadReporting.InProbeResults, set.Limits.ProbesAllowed = true, true
				core, err := dispatch.New(dispatch.NewClock(), 1, set, hops, noDiscovery{})
				if err != nil {
					t.Fatal(err)
				}
				hops.SetObserver(core)
				server := downstream.New(core, hops, downstream.Limits{Sockets: 1000})
				r.goroutines.Go(func() { core.Run(ctx) })
				u := discovery.Update{Kind: balance.ListFull}
				for how := range answerDelays {
					u.Endpoints = append(u.Endpoints, discovery.Endpoint{Addr: how, ServerEntry: balance.ServerEntry{ID: how}})
				}
				hops.Update(true, u.Endpoints, time.Now())
				core.UpdateEndpoints(u.ListUpdate())
				r.goroutines.Go(func() { _ = server.Serve(door) })
				var clients []string
				for i := range 60 {
					id := fmt.Sprint("c", i)
					clients = append(clients, id)
					near, far := net.Pipe()
					door.conns <- near
					r.goroutines.Go(func() { r.runClient(id, far) })
					time.Sleep(10 * ms)
				}
				begun := time.Now() // as SIGTERM does it
				server.Drain(downstream.DrainPlan{
					RejectAt:    begun,
					MoveStartAt: begun.Add(longest / 2),
					MoveEndAt:   begun.Add(longest + 200*ms),
					EndAt:       begun.Add(longest + 400*ms),
				})
				if took := time.Since(begun); took > longest+400*ms || server.OpenSessions() > 0 {
					t.Errorf("it took %v, %d connections are left", took, server.OpenSessions())
				}
				_ = door.Close()
				server.Close()
				cancel()
				r.goroutines.Wait()
				for _, wrong := range r.transcript.findLosses(clients) {
					t.Error(wrong)
				}
				if len(r.transcript.received) < 1000 {
					t.Errorf("only %d lines were passed on", len(r.transcript.received))
				}
			})
		})
	}
}
