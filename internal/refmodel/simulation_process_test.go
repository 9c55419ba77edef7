package refmodel_test

// The processes of a simulation, and the hot restart from one to another.

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

// startProcess starts a process with the present endpoints.
func (s *simulation) startProcess(list ...discovery.Endpoint) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{listener: pipeListener{s.clientConns, make(chan struct{})}, cancel: cancel}
	p.pool = upstream.New(ctx, poolLimits)
	p.pool.Dial = s.dialServer
	var listSource dispatch.Discovery = noDiscovery{}
	watcher := discovery.New("discovery:1", endpointSink{s, p})
	watcher.Dial = s.discovery.dial
	if s.faults.isPolled() {
		listSource = watcher
		p.pool.ListStatus = watcher.Status
		watcher.SetTerms(listlease.Terms{DrainGrace: poolLimits.DrainGrace})
		watcher.OnLease = func(status listlease.Status) { p.eventLoop.UpdateListLease(status.ExpiresAt) }
	}
	loop, err := dispatch.New(dispatch.NewClock(), uint64(s.randomDuration(time.Hour)), s.settings, p.pool, listSource)
	if err != nil {
		s.t.Fatal(err)
	}
	p.eventLoop = loop
	p.pool.SetObserver(loop)
	p.server = downstream.New(loop, p.pool, downstream.Limits{Sockets: 1000})
	p.server.Metrics = s.metrics
	p.goroutines.Go(func() { loop.Run(ctx) })
	if s.faults.isPolled() {
		p.goroutines.Go(func() { watcher.Run(ctx, discovery.Update{}) })
	} else {
		p.updateEndpoints(balance.ListFull, list)
	}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	p.goroutines.Go(func() { _ = p.server.Serve(p.listener) })
	return p
}

func (p *process) updateEndpoints(kind balance.ListKind, entries []discovery.Endpoint) {
	u := discovery.Update{Kind: kind, Endpoints: entries}
	p.pool.Update(kind != balance.ListDelta, entries, time.Now())
	p.eventLoop.UpdateEndpoints(u.ListUpdate())
}

// endProcess ends a process: at once if next is nil, or else with a drain that hands its sessions over
// to next.
func (s *simulation) endProcess(p *process, next proxy.Successor) {
	if next == nil {
		_ = p.listener.Close()
	} else {
		now := time.Now()
		end := now.Add(1400 * ms)
		p.server.Drain(downstream.DrainPlan{
			RejectAt: end, MoveStartAt: now, MoveEndAt: end, EndAt: end, Successor: next,
		})
		if took := time.Since(now); took > 1400*ms {
			s.t.Errorf("the drain took %v", took)
		}
		if left := p.server.OpenSessions(); left > 0 {
			s.t.Errorf("%d connections were not answered, handed over or moved", left)
		}
	}
	p.server.Close()
	s.mu.Lock()
	s.processes = slices.DeleteFunc(s.processes, func(other *process) bool { return other == p })
	s.mu.Unlock()
	p.cancel()
	p.goroutines.Wait()
}

// replaceProcess starts a successor that takes over from the process, which ends in the background.
func (s *simulation) replaceProcess() {
	s.mu.Lock()
	var list []discovery.Endpoint
	for _, srv := range s.servers {
		list = append(list, srv.endpoint)
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

// successor is the process that takes over, in the role of the hot restart's socket. It refuses sessions
// at random.
type successor struct {
	sim    *simulation
	server *downstream.Server
}

func (s successor) Take(session proxy.EstablishedSession, client, endpoint net.Conn) bool {
	if s.sim.chance(0.1) {
		return false
	}
	session.FromClient = bytes.Clone(session.FromClient) // the socket would copy it too
	session.FromUpstream = bytes.Clone(session.FromUpstream)
	sharedClient, sharedEndpoint := client.(*sharedConn), endpoint.(*sharedConn)
	sharedClient.handedOver.Store(true)
	sharedEndpoint.handedOver.Store(true)
	if s.server.Adopt(session, &sharedConn{Conn: sharedClient.Conn}, &sharedConn{Conn: sharedEndpoint.Conn}) {
		return true
	}
	sharedClient.handedOver.Store(false)
	sharedEndpoint.handedOver.Store(false)
	return false
}

// sharedConn is one process's descriptor of a connection. Once another process has a descriptor of the same
// connection, closing this one does not end the connection.
type sharedConn struct {
	net.Conn
	handedOver atomic.Bool
}

func (s *sharedConn) Close() error {
	if s.handedOver.Load() {
		return nil
	}
	return s.Conn.Close()
}

func (s *sharedConn) SetReadDeadline(t time.Time) error {
	if s.handedOver.Load() {
		return nil
	}
	return s.Conn.SetReadDeadline(t)
}

// pipeListener accepts the connections that are sent on conns.
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

// noDiscovery is the discovery of processes whose lists are pushed.
type noDiscovery struct{}

func (noDiscovery) Subscribe() {}
