package refmodel_test

// The processes of a simulation, and how one takes over from another.

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
	"coralrelay/internal/listlease"
	"coralrelay/internal/proxy"
	"coralrelay/internal/upstream"
)

// poolLimits are the upstream limits of all processes.
var poolLimits = upstream.Limits{ConnectTimeout: connectTimeout, ProbeTimeout: 500 * ms, DrainGrace: 300 * ms}

// process is one process of the node.
type process struct {
	eventLoop  *dispatch.EventLoop
	pool       *upstream.Pool
	server     *downstream.Server
	listener   pipeListener
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// startProcess starts a process with the endpoints of the last one.
func (s *simulation) startProcess(list ...discovery.Endpoint) *process {
	ctx, cancel := context.WithCancel(context.Background())
	n := &process{listener: pipeListener{s.clientConns, make(chan struct{})}, cancel: cancel}
	n.pool = upstream.New(ctx, poolLimits)
	n.pool.Dial = s.dialServer
	var lists dispatch.Discovery = noDiscovery{}
	watch := discovery.New("discovery:1", endpointSink{s, n})
	watch.Dial = s.discovery.dial
	if s.faults.isPolled() {
		lists = watch
		n.pool.ListStatus = watch.Status
		watch.SetTerms(listlease.Terms{DrainGrace: poolLimits.DrainGrace})
		watch.OnLease = func(status listlease.Status) { n.eventLoop.UpdateListLease(status.ExpiresAt) }
	}
	core, err := dispatch.New(dispatch.NewClock(), uint64(s.randomDuration(time.Hour)), s.settings, n.pool, lists)
	if err != nil {
		s.t.Fatal(err)
	}
	n.eventLoop = core
	n.pool.SetObserver(core)
	n.server = downstream.New(core, n.pool, downstream.Limits{Sockets: 1000})
	n.server.Metrics = s.metrics
	n.goroutines.Go(func() { core.Run(ctx) })
	if s.faults.isPolled() {
		n.goroutines.Go(func() { watch.Run(ctx, discovery.Update{}) })
	} else {
		n.updateEndpoints(balance.ListFull, list)
	}
	s.mu.Lock()
	s.processes = append(s.processes, n)
	s.mu.Unlock()
	n.goroutines.Go(func() { _ = n.server.Serve(n.listener) })
	return n
}

func (n *process) updateEndpoints(kind balance.ListKind, entries []discovery.Endpoint) {
	u := discovery.Update{Kind: kind, Endpoints: entries}
	n.pool.Update(kind != balance.ListDelta, entries, time.Now())
	n.eventLoop.UpdateEndpoints(u.ListUpdate())
}

// endProcess ends a process: at once, or as one that is replaced by next.
func (s *simulation) endProcess(n *process, next proxy.Successor) {
	if next == nil {
		_ = n.listener.Close()
	} else {
		now := time.Now()
		end := now.Add(1400 * ms)
		n.server.Drain(downstream.DrainPlan{
			RejectAt: end, MoveStartAt: now, MoveEndAt: end, EndAt: end, Successor: next,
		})
		if took := time.Since(now); took > 1400*ms {
			s.t.Errorf("the drain took %v", took)
		}
		if left := n.server.OpenSessions(); left > 0 {
			s.t.Errorf("%d connections were not answered, handed over or moved", left)
		}
	}
	n.server.Close()
	s.mu.Lock()
	s.processes = slices.DeleteFunc(s.processes, func(o *process) bool { return o == n })
	s.mu.Unlock()
	n.cancel()
	n.goroutines.Wait()
}

// replaceProcess has a successor take over from the process, which ends in the background.
func (s *simulation) replaceProcess() {
	s.mu.Lock()
	var list []discovery.Endpoint
	for _, f := range s.servers {
		list = append(list, f.endpoint)
	}
	s.mu.Unlock()
	old := s.process
	s.hasTwoProcesses.Store(true)
	s.settings.Processes = 2
	s.process = s.startProcess(list...)
	next := s.process
	old.eventLoop.UpdateSettings(s.settings)
	s.endingProcesses.Go(func() {
		defer func() {
			set := s.settings
			set.Processes = 1
			next.eventLoop.UpdateSettings(set)
			s.hasTwoProcesses.Store(false)
		}()
		if s.faults == overlappingProcesses {
			time.Sleep(s.randomDuration(2 * time.Second))
		}
		_ = old.listener.Close()
		next.eventLoop.ImportLearnedState(old.eventLoop.ExportLearnedState())
		s.endProcess(old, successor{s, next.server})
	})
}

// successor is the process that takes over, as the hot restart's socket would present it. Now and
// then it refuses a session.
type successor struct {
	sim    *simulation
	server *downstream.Server
}

func (h successor) Take(session proxy.EstablishedSession, client, endpoint net.Conn) bool {
	if h.sim.chance(0.1) {
		return false
	}
	session.FromClient = bytes.Clone(session.FromClient) // as sending it does
	session.FromUpstream = bytes.Clone(session.FromUpstream)
	a, b := client.(*sharedConn), endpoint.(*sharedConn)
	a.handedOver.Store(true)
	b.handedOver.Store(true)
	if h.server.Adopt(session, &sharedConn{Conn: a.Conn}, &sharedConn{Conn: b.Conn}) {
		return true
	}
	a.handedOver.Store(false)
	b.handedOver.Store(false)
	return false
}

// sharedConn is one process's descriptor of a connection: once another process has one too, closing
// this one does not end the connection.
type sharedConn struct {
	net.Conn
	handedOver atomic.Bool
}

func (h *sharedConn) Close() error {
	if h.handedOver.Load() {
		return nil
	}
	return h.Conn.Close()
}

func (h *sharedConn) SetReadDeadline(t time.Time) error {
	if h.handedOver.Load() {
		return nil
	}
	return h.Conn.SetReadDeadline(t)
}

// pipeListener hands the node what clients dial.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l pipeListener) Close() error { close(l.done); return nil }
func (pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// noDiscovery is for processes whose list is pushed.
type noDiscovery struct{}

func (noDiscovery) Subscribe() {}
