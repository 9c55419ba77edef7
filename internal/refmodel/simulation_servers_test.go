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

// attempt is the node's end of a connection to a server. An attempt is in flight until its server
// has answered or the node has closed it.
type attempt struct {
	net.Conn
	sim      *simulation
	id       string // guarded by the simulation's lock; empty before the first line, and for probes
	finished bool
}

// finish reports the attempt's end, once.
func (a *attempt) finish(how refmodel.AttemptOutcome) {
	a.sim.record(func(c *refmodel.Checker, now time.Duration) {
		if a.id != "" && !a.finished {
			a.finished = true
			c.AttemptEnded(now, a.id, how)
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
	case s.faults == hangingConnects && s.chance(0.05): // nothing comes back
		late := time.NewTimer(time.Until(deadline))
		defer late.Stop()
		select {
		case <-ctx.Done():
		case <-late.C:
		}
		return nil, context.DeadlineExceeded
	case s.faults == lateConnects && s.chance(0.4):
		up := s.randomDuration(connectTimeout - ms)
		late := time.NewTimer(min(up, time.Until(deadline)))
		defer late.Stop()
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-late.C:
		}
		if !time.Now().Before(deadline) {
			return nil, context.DeadlineExceeded
		}
	}
	server, _, _ := strings.Cut(addr, ":")
	near, far := net.Pipe()
	a := &attempt{Conn: near, sim: s}
	s.background.Go(func() { s.serveConn(server, far, a) })
	return &sharedConn{Conn: a}, nil
}

// serveConn is the server's side of one connection.
func (s *simulation) serveConn(server string, conn net.Conn, a *attempt) {
	defer conn.Close()
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		text := lines.Text()
		switch word, rest, _ := strings.Cut(text, " "); word {
		case "STATS":
			if !s.answerLoadProbe(server, conn) {
				return
			}
		case "OPEN":
			id, _, _ := strings.Cut(rest, " ")
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

// answerLoadProbe answers a probe, now and then late, never, or with an impossible load.
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

// answerOpen answers a first line and serves the connection. It is false if the connection ended.
func (s *simulation) answerOpen(server string, conn net.Conn, a *attempt) bool {
	time.Sleep(s.randomDuration(60 * ms))
	switch {
	case s.faults.isFullFleet(): // it accepts everything, so that it can be overloaded
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
	lifetime := ms + s.randomDuration(2*meanConnLifetime) // its client has noted the answer by then
	s.background.Go(func() {                              // its end, unless the other side's comes before
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
