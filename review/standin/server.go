package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Arrival is a first line that a feed server got.
type Arrival struct {
	At   time.Time
	Text string
}

// Server is a stand-in of a feed server.
type Server struct {
	ID, Addr string

	c        *Case
	mu       sync.Mutex
	draining bool
	open     int
	lines    []Arrival
}

// NewServer starts a feed server.
func NewServer(c *Case, id string) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: listener.Addr().String(), c: c}
	c.Defer(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// NewServers starts feed servers and lists them at discovery.
func NewServers(c *Case, discovery *Discovery, count int) (servers []*Server, err error) {
	for i := range count {
		server, err := NewServer(c, fmt.Sprintf("s%d", i+1))
		if err != nil {
			return nil, err
		}
		discovery.Set(server.ID, server.Addr, "active")
		servers = append(servers, server)
	}
	return servers, nil
}

// Drain makes the server turn new connections away. Those that are open go on.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// FirstLines returns the first lines that the server got.
func (s *Server) FirstLines() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.lines...)
}

// serve serves a connection: probes, or one client.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "PING":
			_, err = fmt.Fprint(conn, "PONG\r\n")
		case line == "STATS":
			_, err = fmt.Fprint(conn, s.report())
		case strings.HasPrefix(line, "OPEN "):
			s.serveClient(conn, reader, line)
			return
		default:
			_, _ = fmt.Fprint(conn, "SYNTAX\r\n")
			s.c.Log(s.ID, "a first line that no client sent: %q", line)
			return
		}
		if err != nil {
			return
		}
	}
}

func (s *Server) report() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("PONG %s%.3f\r\n", s.c.Site.Report, 0.2+0.005*float64(s.open))
}

// serveClient answers a first line and then each line of the client.
func (s *Server) serveClient(conn net.Conn, reader *bufio.Reader, line string) {
	s.mu.Lock()
	s.lines = append(s.lines, Arrival{time.Now(), line})
	draining := s.draining
	s.mu.Unlock()
	if draining {
		s.c.Log(s.ID, "got %q, answered BUSY", line)
		_, _ = fmt.Fprint(conn, "BUSY\r\n")
		return
	}
	id := strings.Fields(line)[1]
	s.c.Log(s.ID, "got %q, answered UP", line)
	s.addOpen(1)
	defer s.addOpen(-1)
	if _, err := fmt.Fprintf(conn, "UP %s.%s\r\n", s.ID, id); err != nil {
		return
	}
	for {
		text, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(conn, "OK %s", text); err != nil {
			return
		}
	}
}

func (s *Server) addOpen(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open += change
}
