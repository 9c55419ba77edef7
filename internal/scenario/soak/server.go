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
	// serverCapacity is how many first lines a second fill a warm server.
	serverCapacity = 6.0
	// loadWindow is the time that a load report looks back.
	loadWindow = 2 * time.Second
	// idleLimit is how long a probe connection rests at a server that closes or forgets idle ones.
	idleLimit = 150 * time.Millisecond
	// lateAnswer is when the second of two answers comes.
	lateAnswer = 5 * time.Millisecond
)

// mode is how a server behaves; several may hold at once.
type mode struct {
	hangs, drains, closesIdle, forgets, spoils, doubles, busy atomic.Bool
}

// server is a feed server that writes down the first lines that it gets.
type server struct {
	mode
	run    *run
	number int
	addr   string

	mu          sync.Mutex
	incarnation int
	startedAt   time.Time         // zero for long ago
	addrs       map[string]string // at which the nodes reach it
	listener    net.Listener
	conns       map[net.Conn]struct{}
	arrivals    []time.Time // of first lines, of late
	rng         *rand.Rand

	probes, probeConns atomic.Int64
}

func newServer(r *run, number int) *server {
	return &server{run: r, number: number, conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(r.Options.Seed, uint64(1000+number)))}
}

// name is the server's id in the endpoint list.
func (s *server) name() string { return fmt.Sprintf("s%d", s.number) }

// start opens the server's address; from its second start on it is cold.
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

// stop ends the server as a killed process ends: its connections are reset.
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
		case s.hangs.Load(), probed && s.forgets.Load() && time.Since(askedAt) > idleLimit:
		case line == "STATS":
			if s.probes.Add(1); !probed {
				s.probeConns.Add(1)
			}
			probed = true
			s.reply(conn, s.loadReport())
		case record == nil && strings.HasPrefix(line, "OPEN "):
			if record = s.opened(line, incarnation); !s.answerFirstLine(conn, record) {
				s.ended(record, "server")
				return
			}
		case record != nil:
			s.reply(conn, "pong "+line)
		default:
			_, _ = fmt.Fprint(conn, "NO\r\n")
		}
	}
	if record != nil {
		s.ended(record, s.endedBy(incarnation))
	}
}

// endedBy says who has ended a connection: the server, if its process has ended since.
func (s *server) endedBy(incarnation int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil || s.incarnation != incarnation {
		return "server"
	}
	return "node"
}

// reply writes a line, spoilt or twice if the server does so now.
func (s *server) reply(conn net.Conn, line string) {
	if s.spoils.Load() && s.draw() < 0.3 {
		line = "WHAT IS THIS"
	}
	_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	if s.doubles.Load() && s.draw() < 0.3 {
		time.Sleep(lateAnswer)
		_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	}
}

func (s *server) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// opened writes a first line down. Its id tells which node sent it.
func (s *server) opened(line string, incarnation int) *opened {
	id, _, _ := strings.Cut(strings.TrimPrefix(line, "OPEN "), " ")
	record := &opened{ID: id, Server: s.number, Incarnation: incarnation}
	now := time.Now()
	s.mu.Lock()
	s.arrivals = append(s.arrivals, now)
	record.WorkAllowed = slowStartWork(s.startedAt, now)
	s.mu.Unlock()
	s.run.history.update(func(now time.Duration) {
		record.At = now
		s.run.history.opened = append(s.run.history.opened, record)
	})
	return record
}

// answerFirstLine answers as the server's mode says. It returns false if that ends the connection.
func (s *server) answerFirstLine(conn net.Conn, record *opened) bool {
	answer := "UP r" + record.ID
	switch {
	case s.drains.Load() || s.busy.Load():
		answer = "BUSY"
	case s.spoils.Load() && s.draw() < 0.5:
		answer = "ERR"
	}
	s.run.history.update(func(now time.Duration) { record.Answer, record.AnsweredAt = answer, now })
	_, err := fmt.Fprintf(conn, "%s\r\n", answer)
	return err == nil && strings.HasPrefix(answer, "UP")
}

func (s *server) ended(record *opened, by string) {
	s.run.history.update(func(now time.Duration) { record.EndedAt, record.EndedBy = now, by })
}

// loadReport is the answer to a load probe: what was opened of late over what the server can do.
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

// relist has discovery list the server with a lifecycle, at the addresses at which each node reaches it.
func (s *server) relist(lifecycle string) {
	s.mu.Lock()
	startedAt, addrs := s.startedAt, s.addrs
	s.mu.Unlock()
	s.run.discovery.Set(s.name(), lifecycle, startedAt, addrs)
	s.run.history.addChange(lifecycle, -1, s.number)
}
