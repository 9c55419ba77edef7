package fake

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Opened is a first line as a feed server saw it.
type Opened struct {
	Server, Node, Key string
	At                time.Time
}

// Started is the start of a stream as a feed server saw it.
type Started struct {
	Server, Node, Key, Group string
	Nonce                    string // of the token that was honoured; empty for none
	Resumed                  bool   // else a snapshot was sent
	Bytes, Snapshot          int    // sent to catch up, and what a snapshot would have been
}

// Witness is told what feed servers see.
type ServerObserver interface {
	Opened(o Opened)
	Started(s Started)
}

// ServerOptions say how a feed server behaves.
type ServerOptions struct {
	Name     string
	Feed     *Feed
	Observer ServerObserver
	Lag      time.Duration // how far it is behind the feed
	History  int           // changes of a group that it can send again
	Capacity int           // connections that fill it
	// IgnoreEpoch makes it take a position of any numbering for one of its own: a
	// cheat, for a mutation.
	IgnoreEpoch       bool
	Datagrams         func(d Datagram) // with it the server takes datagrams too, at the same ports
	DelayedReplyShare float64          // of them that it answers once more, seconds later
}

// Server is a feed server. While it runs it listens at one address for each node.
type Server struct {
	ServerOptions
	load  atomic.Int64 // reported load in thousandths, where not 0
	draws atomic.Int64

	spoilt atomic.Int32

	mu       sync.Mutex
	running  bool
	draining bool
	cancel   context.CancelFunc
	addrs    map[string]string
	hung     atomic.Bool
	epoch    uint64
	base     map[string]uint64 // of its own numbering, by group; nil for the feed's
	starts   int
	conns    map[*stream]struct{}
	wg       sync.WaitGroup
	flows    flows
}

// feedEpoch is the numbering that servers share until they restart.
const feedEpoch = 0xc0

// NewServer returns a server that does not run yet.
func NewServer(o ServerOptions) *Server {
	return &Server{ServerOptions: o, addrs: map[string]string{}, epoch: feedEpoch, conns: map[*stream]struct{}{}}
}

// listen opens an address, or a new one below the ports that the machine gives to whoever
// connects: the address has to be free again when the server comes back to it.
func listen(at string) (l net.Listener, err error) {
	if at != "" {
		return net.Listen("tcp", at)
	}
	for range 100 {
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(20_000))); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// Start runs the server, at the addresses it had before if it had some. From its
// second start on it numbers by itself, as one whose numbering was lost.
func (s *Server) Start(nodes []string) (addrs map[string]string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	for _, node := range nodes {
		l, err := listen(s.addrs[node])
		if err != nil {
			cancel()
			return nil, fmt.Errorf("server %s: %w", s.Name, err)
		}
		s.addrs[node] = l.Addr().String()
		context.AfterFunc(ctx, func() { _ = l.Close() })
		s.wg.Go(func() { s.accept(ctx, node, l) })
		if s.Datagrams != nil {
			if err := s.listenUDP(ctx, node, s.addrs[node]); err != nil {
				cancel()
				return nil, err
			}
		}
	}
	if s.starts++; s.starts > 1 {
		s.epoch = feedEpoch + uint64(s.starts)<<16 + uint64(time.Now().UnixNano())<<24
		s.base = map[string]uint64{}
		s.Lag = 0          // it has just loaded the whole state
		if s.Feed != nil { // without one nothing is numbered
			for _, g := range s.Feed.names {
				s.base[g] = s.Feed.Head(g, time.Now())
			}
		}
	}
	s.running, s.draining, s.cancel = true, false, cancel
	return s.addrs, nil
}

// Kill ends the server as a killed process ends: its connections are reset.
func (s *Server) Kill() {
	s.mu.Lock()
	s.running = false
	s.cancel()
	for c := range s.conns {
		c.reset()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Drain makes the server refuse new connections; sendAway has it also send its
// clients away, bit by bit over a time.
func (s *Server) Drain(sendAway time.Duration) {
	s.mu.Lock()
	s.draining = true
	list := make([]*stream, 0, len(s.conns))
	for c := range s.conns {
		list = append(list, c)
	}
	s.mu.Unlock()
	if sendAway == 0 || len(list) == 0 {
		return
	}
	s.wg.Go(func() {
		for _, c := range list {
			time.Sleep(sendAway / time.Duration(len(list)))
			c.sendAway()
		}
	})
}

// Undrain takes connections again.
func (s *Server) Undrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = false
}

// Report has the server report this load, in place of its own; 0 for its own.
func (s *Server) SetLoad(load float64) { s.load.Store(int64(load * 1000)) }

// Held is how many connections stand.
func (s *Server) OpenConnections() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.key != "" {
			n++
		}
	}
	return n
}

// Probes is how often the server was asked for its load.
func (s *Server) Probes() int64 { return s.draws.Load() }

func (s *Server) accept(ctx context.Context, node string, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := &stream{s: s, node: node, conn: conn}
		s.mu.Lock()
		if !s.running {
			s.mu.Unlock()
			c.reset()
			return
		}
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(func() {
			c.serve(ctx)
			_ = conn.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		})
	}
}

func (s *Server) stats() string {
	held := s.OpenConnections() + s.flows.count(time.Now())
	load := float64(held) / float64(max(1, s.Capacity))
	if forced := s.load.Load(); forced > 0 {
		load = float64(forced) / 1000
	}
	return fmt.Sprintf("PONG inflight=%d,x0=%.3f,latency_ms=%.2f", held, load, 2+load)
}

// take tells whether a first line is taken.
func (s *Server) take(c *stream, key, group string) bool {
	held := s.OpenConnections()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || !s.running || held >= 2*s.Capacity {
		return false
	}
	c.key, c.group = key, group
	return true
}

// numbering returns epoch, base and the changes known of a group.
func (s *Server) numbering(group string, now time.Time) (epoch, base, head uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch, s.base[group], s.Feed.Head(group, now.Add(-s.Lag))
}
