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

// ServerOptions configures a server.
type ServerOptions struct {
	Name     string
	Feed     *Feed // nil means a server without streams
	Observer ServerObserver
	Lag      time.Duration // how far the server is behind the feed
	History  int           // how many changes of a group the server can replay to resume a stream
	Capacity int           // number of connections at which the server reports a load of 1

	// IgnoreEpoch makes the server treat a position of any epoch as one of its own, which is wrong. A
	// mutation uses it.
	IgnoreEpoch bool

	// Datagrams is called for each datagram. If it is not nil, the server receives datagrams on the
	// ports of its listeners and echoes them.
	Datagrams         func(d Datagram)
	DelayedReplyShare float64 // share of the datagrams that are echoed a second time, seconds later
}

// Server is a fake server that streams a feed. While it is running, it listens on one address for each
// node.
type Server struct {
	ServerOptions

	forcedLoad       atomic.Int64 // in thousandths; 0 means that the measured load is reported
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
	// base has, by group, the number in the feed of the server's offset 0. It is nil in the first epoch,
	// in which offsets are the numbers in the feed.
	base map[string]uint64
}

// initialEpoch is the epoch of each server until it restarts.
const initialEpoch = 0xc0

// NewServer returns a server without starting it.
func NewServer(o ServerOptions) *Server {
	return &Server{
		ServerOptions: o,
		addrs:         map[string]string{},
		epoch:         initialEpoch,
		streams:       map[*stream]struct{}{},
	}
}

// listen listens on addr or, if it is empty, on a new address. The port of a new address is below the
// ephemeral ports, so that the address is still free when the server restarts on it.
func listen(addr string) (net.Listener, error) {
	if addr != "" {
		return net.Listen("tcp", addr)
	}
	return loopback.Listen()
}

// Start starts the server and returns its addresses by node. A restart reuses the addresses of the
// first start and begins a new epoch, like a server that has lost its numbering.
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

// listenFor opens the server's address for one node. The caller holds the lock.
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

// beginEpoch begins a new epoch, in which the changes are numbered from now on. The caller holds the
// lock.
func (s *Server) beginEpoch() {
	s.epoch = initialEpoch + uint64(s.starts)<<16 + uint64(time.Now().UnixNano())<<24
	s.base = map[string]uint64{}
	s.Lag = 0 // a restarted server has just loaded the complete state
	if s.Feed == nil {
		return
	}
	for _, group := range s.Feed.names {
		s.base[group] = s.Feed.Head(group, time.Now())
	}
}

// Kill stops the server like a killed process: its connections are reset.
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

// Drain makes the server refuse new connections. If moveWithin is not 0, the server also sends MOVE to
// its clients, spread evenly over that time.
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

// Undrain makes the server accept connections again.
func (s *Server) Undrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = false
}

// SetLoad sets the load that the server reports; 0 restores the measured load.
func (s *Server) SetLoad(load float64) { s.forcedLoad.Store(int64(load * 1000)) }

// OpenConnections returns the number of established connections.
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

// accept serves the connections from a node until the listener is closed or the server is killed.
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

// admit reports whether the server accepts a first line. If it does, the connection is established.
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
