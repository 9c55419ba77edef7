package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/loopback"
)

const (
	// serverCapacity is the rate of first lines, per second, that fully loads a warm server.
	serverCapacity = 6.0
	// loadWindow is the period that a load report covers.
	loadWindow = 2 * time.Second
	// idleLimit is the idle time after which a probe connection is closed or ignored by a server
	// with that fault.
	idleLimit = 150 * time.Millisecond
	// duplicateDelay is the delay of the second copy of a duplicated reply.
	duplicateDelay = 5 * time.Millisecond
)

// mode is the set of faults that are active at a server; several may be active at once.
type mode struct {
	hangs, drains, closesIdle, ignoresIdle, corruptsReplies, duplicatesReplies, busy atomic.Bool
}

// server is a feed server that records the first lines that it receives.
type server struct {
	mode
	run    *run
	number int
	addr   string

	mu          sync.Mutex
	incarnation int
	startedAt   time.Time         // zero for a server that has been running for a long time
	addrs       map[string]string // address for each node, through the proxy
	listener    net.Listener
	conns       map[net.Conn]struct{}
	arrivals    []time.Time // of first lines within loadWindow
	rng         *rand.Rand

	probes, probeConns atomic.Int64
}

func newServer(r *run, number int) *server {
	return &server{run: r, number: number, conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(r.Options.Seed, uint64(1000+number)))}
}

// name returns the server's id in the endpoint list.
func (s *server) name() string { return fmt.Sprintf("s%d", s.number) }

// start opens the server's address. From the second start on, the server is cold.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" {
		addr, err := loopback.Reserve()
		if err != nil {
			return err
		}
		s.addr = addr
	}
	listener, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	if s.incarnation++; s.incarnation > 1 {
		s.startedAt = time.Now()
	}
	s.listener = listener
	s.run.serving.Go(func() { s.accept(listener, s.incarnation) })
	return nil
}

// stop ends the server like a killed process: its connections are reset.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
	for conn := range s.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

func (s *server) accept(listener net.Listener, incarnation int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.run.serving.Go(func() {
			s.serve(conn, incarnation)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

// serve answers the lines of one connection until it ends.
func (s *server) serve(conn net.Conn, incarnation int) {
	var record *opened
	probed := false
	lines := bufio.NewScanner(conn)
	for {
		if probed && s.closesIdle.Load() {
			_ = conn.SetReadDeadline(time.Now().Add(idleLimit))
		}
		askedAt := time.Now()
		if !lines.Scan() {
			break
		}
		line := lines.Text()
		switch {
		case s.hangs.Load(), probed && s.ignoresIdle.Load() && time.Since(askedAt) > idleLimit:
		case line == "STATS":
			if s.probes.Add(1); !probed {
				s.probeConns.Add(1)
			}
			probed = true
			s.reply(conn, s.loadReport())
		case record == nil && strings.HasPrefix(line, "OPEN "):
			if record = s.opened(line, incarnation); !s.answerFirstLine(conn, record) {
				s.recordEnd(record, "server")
				return
			}
		case record != nil:
			s.reply(conn, "pong "+line)
		default:
			_, _ = fmt.Fprint(conn, "NO\r\n")
		}
	}
	if record != nil {
		s.recordEnd(record, s.endedBy(incarnation))
	}
}

// endedBy returns which side ended a connection: the server, if its process has ended since.
func (s *server) endedBy(incarnation int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil || s.incarnation != incarnation {
		return "server"
	}
	return "node"
}

// reply writes a line, corrupted or duplicated if the server has that fault.
func (s *server) reply(conn net.Conn, line string) {
	if s.corruptsReplies.Load() && s.randomFloat() < 0.3 {
		line = "WHAT IS THIS"
	}
	_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	if s.duplicatesReplies.Load() && s.randomFloat() < 0.3 {
		time.Sleep(duplicateDelay)
		_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	}
}

func (s *server) randomFloat() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// opened records a first line. Its id names the node that sent it.
func (s *server) opened(line string, incarnation int) *opened {
	id, _, _ := strings.Cut(strings.TrimPrefix(line, "OPEN "), " ")
	record := &opened{ID: id, Server: s.number, Incarnation: incarnation}
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	record.WorkAllowed = slowStartBudget(s.startedAt, now)
	s.mu.Unlock()
	s.run.history.update(func(now time.Duration) {
		record.At = now
		s.run.history.opened = append(s.run.history.opened, record)
	})
	return record
}

// answerFirstLine answers according to the server's mode. It returns false if the connection ends
// with that answer.
func (s *server) answerFirstLine(conn net.Conn, record *opened) bool {
	answer := "UP r" + record.ID
	switch {
	case s.drains.Load() || s.busy.Load():
		answer = "BUSY"
	case s.corruptsReplies.Load() && s.randomFloat() < 0.5:
		answer = "ERR"
	}
	s.run.history.update(func(now time.Duration) { record.Answer, record.AnsweredAt = answer, now })
	_, err := fmt.Fprintf(conn, "%s\r\n", answer)
	return err == nil && strings.HasPrefix(answer, "UP")
}

func (s *server) recordEnd(record *opened, by string) {
	s.run.history.update(func(now time.Duration) { record.EndedAt, record.EndedBy = now, by })
}

// loadReport returns the answer to a load probe: the recent rate of first lines divided by the
// server's current capacity.
func (s *server) loadReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.arrivals) > 0 && now.Sub(s.arrivals[0]) > loadWindow {
		s.arrivals = s.arrivals[1:]
	}
	rate := float64(len(s.arrivals)) / loadWindow.Seconds()
	load := rate / (serverCapacity * slowStartShare(s.startedAt, now))
	return fmt.Sprintf("PONG inflight=%d,x0=%.3f,latency_ms=2", len(s.arrivals), max(load, 0.01))
}

// relist lists the server with a lifecycle in discovery, with the addresses at which each node
// reaches it.
func (s *server) relist(lifecycle string) {
	s.mu.Lock()
	startedAt, addrs := s.startedAt, s.addrs
	s.mu.Unlock()
	s.run.discovery.Set(s.name(), lifecycle, startedAt, addrs)
	s.run.history.addChange(lifecycle, -1, s.number)
}
