package refmodel_test

// The servers of a simulation.

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"

	"coralrelay/internal/discovery"
	"coralrelay/internal/refmodel"
)

// simServer is a server of a simulation.
type simServer struct {
	id       string
	conns    map[net.Conn]bool // established
	endpoint discovery.Endpoint
}

// attempt is the node's end of a connection to a server. The attempt is in flight until the server has
// answered or the node has closed the connection.
type attempt struct {
	net.Conn
	sim      *simulation
	id       string // guarded by the simulation's lock; empty before the OPEN line, and for load probes
	finished bool
}

// finish reports the end of the attempt to the checker, once.
func (a *attempt) finish(outcome refmodel.AttemptOutcome) {
	a.sim.record(func(c *refmodel.Checker, now time.Duration) {
		if a.id != "" && !a.finished {
			a.finished = true
			c.AttemptEnded(now, a.id, outcome)
		}
	})
}

func (a *attempt) Close() error {
	a.finish(refmodel.NoReply)
	return a.Conn.Close()
}

var errRefused = fmt.Errorf("dial: %w", syscall.ECONNREFUSED)

func (s *simulation) dialServer(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	switch {
	case !s.faults.isFullFleet() && s.chance(0.06):
		return nil, errRefused
	case s.faults == hangingConnects && s.chance(0.05): // the connect hangs until the deadline
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, context.DeadlineExceeded
	case s.faults == lateConnects && s.chance(0.4):
		connectDelay := s.randomDuration(connectTimeout - ms)
		timer := time.NewTimer(min(connectDelay, time.Until(deadline)))
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-timer.C:
		}
		if !time.Now().Before(deadline) {
			return nil, context.DeadlineExceeded
		}
	}
	server, _, _ := strings.Cut(addr, ":")
	nodeConn, serverConn := net.Pipe()
	a := &attempt{Conn: nodeConn, sim: s}
	s.background.Go(func() { s.serveConn(server, serverConn, a) })
	return &sharedConn{Conn: a}, nil
}

// serveConn serves the server's end of one connection.
func (s *simulation) serveConn(server string, conn net.Conn, a *attempt) {
	defer conn.Close()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		text := lines.Text()
		switch command, args, _ := strings.Cut(text, " "); command {
		case "STATS":
			if !s.answerLoadProbe(server, conn) {
				return
			}
		case "OPEN":
			id, _, _ := strings.Cut(args, " ")
			s.record(func(c *refmodel.Checker, now time.Duration) {
				a.id = id
				s.attemptsRead++
				c.AttemptSent(now, id, server)
			})
			if !s.answerOpen(server, conn, a) {
				return
			}
		default:
			fmt.Fprintf(conn, "yes\r\n")
		}
	}
}

// answerLoadProbe answers a load probe: at random late, never, or with an impossible load. It returns false
// if the connection must be closed.
func (s *simulation) answerLoadProbe(server string, conn net.Conn) bool {
	s.mu.Lock()
	conns := len(s.servers[server].conns)
	s.mu.Unlock()
	x0 := fmt.Sprint(float64(conns) / s.config.capacity)
	switch {
	case s.chance(0.05):
		time.Sleep(600 * ms)
	case s.chance(0.05):
		return false
	case s.chance(0.05):
		x0 = "18446744073709551615"
	}
	time.Sleep(s.randomDuration(4 * ms))
	_, err := fmt.Fprintf(conn, "PONG outstanding=%d,x0=%s,recent_ms=2\r\n", conns, x0)
	return err == nil
}

// answerOpen answers a connection's OPEN line. It returns false if the connection must be closed.
func (s *simulation) answerOpen(server string, conn net.Conn, a *attempt) bool {
	time.Sleep(s.randomDuration(60 * ms))
	switch {
	case s.faults.isFullFleet(): // its servers accept all requests, so that they can be overloaded
	case s.chance(0.12):
		a.finish(refmodel.NotRun)
		fmt.Fprintf(conn, "BUSY\r\n")
		return false
	case s.chance(0.06), s.faults == lateConnects && s.chance(0.2):
		a.finish(refmodel.MayHaveRun)
		fmt.Fprintf(conn, "ERR\r\n")
		return false
	case s.chance(0.05):
		a.finish(refmodel.NoReply)
		return false
	case s.chance(0.05): // hangs until the node gives up
		_, _ = conn.Read(make([]byte, 1))
		return false
	}
	if _, err := fmt.Fprintf(conn, "UP r1\r\n"); err != nil {
		return false
	}
	s.mu.Lock()
	s.servers[server].conns[conn] = true
	s.mu.Unlock()
	lifetime := ms + s.randomDuration(2*meanConnLifetime) // its client has recorded the answer by then
	s.background.Go(func() {                              // ends it, unless the other side does so before
		time.Sleep(lifetime)
		if s.chance(0.5) {
			_ = conn.SetWriteDeadline(time.Now().Add(ms))
			fmt.Fprintf(conn, "BYE\r\n")
		}
		conn.Close()
		s.mu.Lock()
		delete(s.servers[server].conns, conn)
		s.mu.Unlock()
	})
	return true
}
