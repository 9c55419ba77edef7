package fake

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/internal/loopback"
)

// ServerOptions say how a server behaves.
type ServerOptions struct {
	Name     string
	Feed     *Feed // nil for a server without streams
	Observer ServerObserver
	Lag      time.Duration // how far it is behind the feed
	History  int           // how many changes of a group it can send again
	Capacity int           // the number of connections at which it reports a load of 1

	// IgnoreEpoch has it take a position of any epoch for one of its own, which is a fault. It is
	// for a mutation.
	IgnoreEpoch bool

	// Datagrams is called for each datagram. With it the server takes datagrams at the ports of its
	// listeners and echoes them.
	Datagrams         func(d Datagram)
	DelayedReplyShare float64 // the share of the datagrams that it echoes a second time, seconds later
}

// Server is a server of the feed. While it runs it listens at one address for each node.
type Server struct {
	ServerOptions

	forcedLoad       atomic.Int64 // in thousandths; 0 for the server's own
	probes           atomic.Int64
	fault            atomic.Int32 // a FaultMode
	ignoresDatagrams atomic.Bool
	flows            flows
	wg               sync.WaitGroup

	mu         sync.Mutex
	isRunning  bool
	isDraining bool
	cancel     context.CancelFunc
	starts     int
	addrs      map[string]string // by node
	streams    map[*stream]struct{}
	epoch      uint64
	base       map[string]uint64 // by group: the feed's number of its own offset 0; nil for the feed's numbers
}

// feedEpoch is the epoch of the servers until they restart.
const feedEpoch = 0xc0

// NewServer returns a server that does not run yet.
func NewServer(o ServerOptions) *Server {
	return &Server{
		ServerOptions: o,
		addrs:         map[string]string{},
		epoch:         feedEpoch,
		streams:       map[*stream]struct{}{},
	}
}

// listen opens an address, or a new one below the ephemeral ports: the address has to be free again
// when the server restarts on it.
func listen(addr string) (net.Listener, error) {
	if addr != "" {
		return net.Listen("tcp", addr)
	}
	return loopback.Listen()
}

// Start runs the server, on the addresses that it had before if it had some. From its second start
// on it has an epoch of its own, as a server that has lost its numbering. It returns the addresses
// by node.
func (s *Server) Start(nodes []string) (addrs map[string]string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	for _, node := range nodes {
		if err := s.listenFor(ctx, node); err != nil {
			cancel()
			return nil, fmt.Errorf("server %s: %w", s.Name, err)
		}
	}
	if s.starts++; s.starts > 1 {
		s.beginEpoch()
	}
	s.isRunning, s.isDraining, s.cancel = true, false, cancel
	return s.addrs, nil
}

// listenFor opens the server's address for one node; the lock is held.
func (s *Server) listenFor(ctx context.Context, node string) error {
	l, err := listen(s.addrs[node])
	if err != nil {
		return err
	}
	s.addrs[node] = l.Addr().String()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	s.wg.Go(func() { s.accept(ctx, node, l) })
	if s.Datagrams == nil {
		return nil
	}
	return s.listenUDP(ctx, node, s.addrs[node])
}

// beginEpoch numbers the changes from now on; the lock is held.
func (s *Server) beginEpoch() {
	s.epoch = feedEpoch + uint64(s.starts)<<16 + uint64(time.Now().UnixNano())<<24
	s.base = map[string]uint64{}
	s.Lag = 0 // it has just loaded the complete state
	if s.Feed == nil {
		return
	}
	for _, group := range s.Feed.names {
		s.base[group] = s.Feed.Head(group, time.Now())
	}
}

// Kill ends the server as a killed process ends: its connections are reset.
func (s *Server) Kill() {
	s.mu.Lock()
	s.isRunning = false
	s.cancel()
	for c := range s.streams {
		c.reset()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Drain makes the server refuse new connections. Unless moveWithin is 0, it also sends its clients
// MOVE, evenly over that time.
func (s *Server) Drain(moveWithin time.Duration) {
	s.mu.Lock()
	s.isDraining = true
	list := slices.Collect(maps.Keys(s.streams))
	s.mu.Unlock()
	if moveWithin == 0 || len(list) == 0 {
		return
	}
	s.wg.Go(func() {
		for _, c := range list {
			time.Sleep(moveWithin / time.Duration(len(list)))
			c.sendMove()
		}
	})
}

// Undrain accepts connections again.
func (s *Server) Undrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = false
}

// SetLoad has the server report a load in place of its own; 0 ends that.
func (s *Server) SetLoad(load float64) { s.forcedLoad.Store(int64(load * 1000)) }

// OpenConnections returns how many connections are established.
func (s *Server) OpenConnections() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.streams {
		if c.key != "" {
			n++
		}
	}
	return n
}

// Probes returns how many load probes the server has received.
func (s *Server) Probes() int64 { return s.probes.Load() }

func (s *Server) accept(ctx context.Context, node string, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := &stream{server: s, node: node, conn: conn}
		s.mu.Lock()
		if !s.isRunning {
			s.mu.Unlock()
			c.reset()
			return
		}
		s.streams[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			c.serve(ctx)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.streams, c)
			s.mu.Unlock()
		})
	}
}

// loadReport returns the answer to a load probe.
func (s *Server) loadReport() string {
	inFlight := s.OpenConnections() + s.flows.count(time.Now())
	load := float64(inFlight) / float64(max(1, s.Capacity))
	if forced := s.forcedLoad.Load(); forced > 0 {
		load = float64(forced) / 1000
	}
	return fmt.Sprintf("PONG inflight=%d,x0=%.3f,latency_ms=%.2f", inFlight, load, 2+load)
}

// admit reports whether the server accepts a first line, and if so establishes the connection.
func (s *Server) admit(c *stream, key, group string) bool {
	open := s.OpenConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isDraining || !s.isRunning || open >= 2*s.Capacity {
		return false
	}
	c.key, c.group = key, group
	return true
}
