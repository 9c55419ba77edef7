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

	ctx    context.Context // ends every probe connection
	limits atomic.Pointer[Limits]
	watch  Observer
	bad    logging.Throttled

	mu   sync.Mutex
	hops map[string]*hop
}

// hop is one next hop.
type hop struct {
	id string

	mu      sync.Mutex
	addr    string
	leaving time.Time // when the roster told that it drains or is gone; zero if not
	mute    bool      // it did not answer its last probe

	probes chan struct{} // a probe is wanted
	cancel context.CancelFunc
}

// New returns Hops without any next hop; their probe connections end with ctx.
func New(ctx context.Context, l Limits) *Pool {
	h := &Pool{Dial: dial, ctx: ctx, hops: map[string]*hop{}}
	h.SetLimits(l)
	return h
}

// Limit bounds what is spent from now on.
func (h *Pool) SetLimits(l Limits) { h.limits.Store(&l) }

// Listed is how many next hops the list names.
func (h *Pool) EndpointCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.hops)
}

// Watch names who is told; call it before anything is started.
func (h *Pool) SetObserver(w Observer) { h.watch = w }

// Update takes what the roster has told.
func (h *Pool) Update(full bool, entries []discovery.Endpoint, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		p := h.hops[e.ID]
		if p == nil {
			p = &hop{id: e.ID, probes: make(chan struct{}, 1)}
			h.hops[e.ID] = p
			var ctx context.Context
			ctx, p.cancel = context.WithCancel(h.ctx)
			go h.probeLoop(ctx, p)
		}
		p.set(e.Addr, e.State != balance.Ready, now)
		if e.State == balance.Gone {
			h.drop(p)
		}
	}
	for id, p := range h.hops {
		if full && !listed[id] {
			p.set("", true, now)
			h.drop(p)
		}
	}
}

// drop ends a next hop that is gone. Branches that hold it still see that it
// is leaving.
func (h *Pool) drop(p *hop) {
	p.cancel()
	delete(h.hops, p.id)
}

func (h *Pool) get(id string) *hop {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hops[id]
}

func (p *hop) set(addr string, leaving bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" {
		p.addr = addr
	}
	switch {
	case !leaving:
		p.leaving = time.Time{}
	case p.leaving.IsZero():
		p.leaving = now
	}
}

func (p *hop) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addr
}

// mayTake tells whether a first line may still go there.
func (p *hop) mayTake(now time.Time, grace time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving.IsZero() || now.Before(p.leaving.Add(grace))
}

// Address is where a next hop is; empty if it is not known.
func (h *Pool) Address(server string) string {
	if p := h.get(server); p != nil {
		return p.address()
	}
	return ""
}

// MaySend tells whether a datagram may still go to a next hop. Of the grace after a
// drain half is kept back, for what is under way.
func (h *Pool) CanSend(server string, now time.Time) bool {
	p := h.get(server)
	return p != nil && p.mayTake(now, h.limits.Load().DrainGrace/2)
}

// Answers tells whether a next hop has answered its last probe; one that was never asked
// passes.
func (h *Pool) IsResponsive(server string) bool {
	p := h.get(server)
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.mute
}

// Leaving tells whether a next hop drains or is gone.
func (h *Pool) IsDraining(server string, now time.Time) bool {
	p := h.get(server)
	return p == nil || !p.mayTake(now, 0)
}
