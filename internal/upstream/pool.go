// Package nexthop is the side of the feed servers: it makes branches, one
// connection each, and probes over one kept connection to each next hop.
package upstream

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/logging"
)

// Watcher is told what becomes of branches and probes. A branch's socket is
// closed, or the exchange's, by then.
type Observer interface {
	AttemptEstablished(item dispatch.Placement, attempt int, server string, latency time.Duration)
	AttemptEnded(item dispatch.Placement, attempt int, server string, outcome balance.Outcome,
		latency time.Duration, load balance.LoadReport)
	ProbeEnded(server string, outcome balance.Outcome, latency time.Duration, load balance.LoadReport)
}

// Limits bound what is spent on a next hop.
type Limits struct {
	ConnectTimeout time.Duration // a connection not made within this could not be made
	ProbeTimeout   time.Duration // a probe not answered within this has timed out
	DrainGrace     time.Duration // sends end this long after a drain was told
}

// Hops knows the next hops and their addresses. Its methods never block on a
// socket.
type Pool struct {
	// Dial connects to an address by a deadline, over TCP unless a test has another
	// way. Set before anything is started.
	Dial func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)

	ctx          context.Context // ends every probe connection
	limits       atomic.Pointer[Limits]
	observer     Observer
	malformedLog logging.Throttled

	mu        sync.Mutex
	endpoints map[string]*endpointState
}

// hop is one next hop.
type endpointState struct {
	id string

	mu             sync.Mutex
	addr           string
	drainStartedAt time.Time // when the roster told that it drains or is gone; zero if not
	unresponsive   bool      // it did not answer its last probe

	probeRequests chan struct{} // a probe is wanted
	cancel        context.CancelFunc
}

// New returns Hops without any next hop; their probe connections end with ctx.
func New(ctx context.Context, limits Limits) *Pool {
	p := &Pool{Dial: dial, ctx: ctx, endpoints: map[string]*endpointState{}}
	p.SetLimits(limits)
	return p
}

// Limit bounds what is spent from now on.
func (p *Pool) SetLimits(limits Limits) { p.limits.Store(&limits) }

// Listed is how many next hops the list names.
func (p *Pool) EndpointCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// Watch names who is told; call it before anything is started.
func (p *Pool) SetObserver(observer Observer) { p.observer = observer }

// Update takes what the roster has told.
func (p *Pool) Update(full bool, entries []discovery.Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		endpoint := p.endpoints[entry.ID]
		if endpoint == nil {
			endpoint = &endpointState{id: entry.ID, probeRequests: make(chan struct{}, 1)}
			p.endpoints[entry.ID] = endpoint
			var ctx context.Context
			ctx, endpoint.cancel = context.WithCancel(p.ctx)
			go p.probeLoop(ctx, endpoint)
		}
		endpoint.update(entry.Addr, entry.State != balance.Ready, now)
		if entry.State == balance.Gone {
			p.remove(endpoint)
		}
	}
	for id, endpoint := range p.endpoints {
		if full && !listed[id] {
			endpoint.update("", true, now)
			p.remove(endpoint)
		}
	}
}

// drop ends a next hop that is gone. Branches that hold it still see that it
// is leaving.
func (p *Pool) remove(endpoint *endpointState) {
	endpoint.cancel()
	delete(p.endpoints, endpoint.id)
}

func (p *Pool) lookup(id string) *endpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

func (e *endpointState) update(addr string, draining bool, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if addr != "" {
		e.addr = addr
	}
	switch {
	case !draining:
		e.drainStartedAt = time.Time{}
	case e.drainStartedAt.IsZero():
		e.drainStartedAt = now
	}
}

func (e *endpointState) address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// mayTake tells whether a first line may still go there.
func (e *endpointState) acceptsSessions(now time.Time, grace time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.drainStartedAt.IsZero() || now.Before(e.drainStartedAt.Add(grace))
}

// Address is where a next hop is; empty if it is not known.
func (p *Pool) Address(server string) string {
	if endpoint := p.lookup(server); endpoint != nil {
		return endpoint.address()
	}
	return ""
}

// MaySend tells whether a datagram may still go to a next hop. Of the grace after a
// drain half is kept back, for what is under way.
func (p *Pool) CanSend(server string, now time.Time) bool {
	endpoint := p.lookup(server)
	return endpoint != nil && endpoint.acceptsSessions(now, p.limits.Load().DrainGrace/2)
}

// Answers tells whether a next hop has answered its last probe; one that was never asked
// passes.
func (p *Pool) IsResponsive(server string) bool {
	endpoint := p.lookup(server)
	if endpoint == nil {
		return false
	}
	endpoint.mu.Lock()
	defer endpoint.mu.Unlock()
	return !endpoint.unresponsive
}

// Leaving tells whether a next hop drains or is gone.
func (p *Pool) IsDraining(server string, now time.Time) bool {
	endpoint := p.lookup(server)
	return endpoint == nil || !endpoint.acceptsSessions(now, 0)
}
