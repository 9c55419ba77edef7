package refmodel_test

// The processes of a scene, and how one takes over from another.

import (
	"bytes"
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/proxy"
	"coralrelay/internal/upstream"
)

// node is one process.
type node struct {
	core   *dispatch.EventLoop
	hops   *upstream.Pool
	server *downstream.Server
	door   listener
	cancel context.CancelFunc
	parts  sync.WaitGroup
}

// start starts a process, which is told what the last one was.
func (s *scene) start(list ...discovery.Endpoint) *node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{door: listener{s.front, make(chan struct{})}, cancel: cancel}
	n.hops = upstream.New(ctx, upstream.Limits{ConnectTimeout: connect, ProbeTimeout: 500 * ms, DrainGrace: 300 * ms})
	n.hops.Dial = s.dial
	var lists dispatch.Discovery = noRoster{}
	watch := discovery.New("discovery:1", sink{s, n})
	watch.Dial = s.board.dial
	if s.kind == silent {
		lists = watch
	}
	core, err := dispatch.New(dispatch.NewClock(), uint64(s.upTo(time.Hour)), s.set, n.hops, lists)
	if err != nil {
		s.t.Fatal(err)
	}
	n.core = core
	n.hops.SetObserver(core)
	n.server = downstream.New(core, n.hops, downstream.Limits{Sockets: 1000})
	n.server.Metrics = s.count
	n.parts.Go(func() { core.Run(ctx) })
	if s.kind == silent {
		n.parts.Go(func() { watch.Run(ctx, discovery.Update{}) })
	} else {
		n.tell(balance.ListFull, list)
	}
	s.mu.Lock()
	s.nodes = append(s.nodes, n)
	s.mu.Unlock()
	n.parts.Go(func() { _ = n.server.Serve(n.door) })
	return n
}

func (n *node) tell(kind balance.ListKind, entries []discovery.Endpoint) {
	u := discovery.Update{Kind: kind, Endpoints: entries}
	n.hops.Update(kind != balance.ListDelta, entries, time.Now())
	n.core.UpdateEndpoints(u.ListUpdate())
}

// end lets a process end: at once, or as one that is replaced.
func (s *scene) end(n *node, heir proxy.Successor) {
	if heir == nil {
		_ = n.door.Close()
	} else {
		now := time.Now()
		end := now.Add(1400 * ms)
		n.server.Drain(downstream.DrainPlan{RejectAt: end, MoveStartAt: now, MoveEndAt: end, EndAt: end, Successor: heir})
		if took := time.Since(now); took > 1400*ms {
			s.t.Errorf("it took %v to leave", took)
		}
		if left := n.server.OpenSessions(); left > 0 {
			s.t.Errorf("%d connections were not answered, handed over or moved", left)
		}
	}
	n.server.Close()
	s.mu.Lock()
	s.nodes = slices.DeleteFunc(s.nodes, func(o *node) bool { return o == n })
	s.mu.Unlock()
	n.cancel()
	n.parts.Wait()
}

// replace has a successor take over from the node, which takes its time to end.
func (s *scene) replace() {
	s.mu.Lock()
	var list []discovery.Endpoint
	for _, f := range s.feeds {
		list = append(list, f.entry)
	}
	s.mu.Unlock()
	old := s.node
	s.two.Store(true)
	s.set.Processes = 2
	s.node = s.start(list...)
	next := s.node
	old.core.UpdateSettings(s.set)
	s.ended.Go(func() {
		defer func() {
			set := s.set
			set.Processes = 1
			next.core.UpdateSettings(set)
			s.two.Store(false)
		}()
		if s.kind == beside {
			time.Sleep(s.upTo(2 * time.Second))
		}
		_ = old.door.Close()
		next.core.ImportLearnedState(old.core.ExportLearnedState())
		s.end(old, heir{s, next.server})
	})
}

// heir is the successor, as its socket would have it. Now and then it takes nothing.
type heir struct {
	s  *scene
	to *downstream.Server
}

func (h heir) Take(st proxy.EstablishedSession, c, hop net.Conn) bool {
	if h.s.chance(0.1) {
		return false
	}
	st.FromClient, st.FromUpstream = bytes.Clone(st.FromClient), bytes.Clone(st.FromUpstream) // as the wire does
	a, b := c.(*handle), hop.(*handle)
	a.given.Store(true)
	b.given.Store(true)
	if h.to.Adopt(st, &handle{Conn: a.Conn}, &handle{Conn: b.Conn}) {
		return true
	}
	a.given.Store(false)
	b.given.Store(false)
	return false
}

// handle is a process's own copy of a connection: once another process has one too,
// closing this one ends nothing.
type handle struct {
	net.Conn
	given atomic.Bool
}

func (h *handle) Close() error {
	if h.given.Load() {
		return nil
	}
	return h.Conn.Close()
}

func (h *handle) SetReadDeadline(t time.Time) error {
	if h.given.Load() {
		return nil
	}
	return h.Conn.SetReadDeadline(t)
}

// listener hands the node what clients dial.
type listener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l listener) Close() error { close(l.done); return nil }
func (listener) Addr() net.Addr { return &net.TCPAddr{} }

type noRoster struct{}

func (noRoster) Subscribe() {}
