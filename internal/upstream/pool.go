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
	"coralrelay/internal/listlease"
	"coralrelay/internal/logging"
	"coralrelay/internal/neterr"
	"coralrelay/internal/sysfault"
)

// Observer receives the results of attempts and probes. When it gets the result of an attempt,
// the attempt's socket is closed or belongs to the session.
type Observer interface {
	AttemptEstablished(placement dispatch.Placement, attempt int, server string, latency time.Duration)
	AttemptEnded(placement dispatch.Placement, attempt int, server string, outcome balance.Outcome,
		latency time.Duration, load balance.LoadReport)
	ProbeEnded(server string, outcome balance.Outcome, latency time.Duration, load balance.LoadReport)
}

// Limits bound what is spent on an endpoint.
type Limits struct {
	ConnectTimeout time.Duration // for a connection of an attempt or a probe; 0 for no limit of its own
	ProbeTimeout   time.Duration // for a probe, its connection included
	DrainGrace     time.Duration // after a drain is known, until nothing may be sent any more
}

// Pool knows the endpoints and their addresses. Its methods may be called from any goroutine
// and never block on a socket.
type Pool struct {
	// Dial connects to an address by a deadline, over TCP unless a test replaces it. Set
	// before anything is started.
	Dial func(ctx context.Context, addr string, deadline time.Time) (net.Conn, error)
	// ListStatus is what is known now of the endpoint list, by which endpoints are used. Set before
	// anything is started; nil where nobody follows a list.
	ListStatus func() listlease.Status

	ctx          context.Context // ends every probe and its connection
	probeConns   *probeConns
	limits       atomic.Pointer[Limits]
	observer     Observer
	malformedLog logging.Throttled

	mu        sync.Mutex
	endpoints map[string]*endpointState
}

// defaultProbeConns is how many probe connections there may be unless SetProbeConnLimit says otherwise.
const defaultProbeConns = 64

// New returns a Pool without endpoints. Its probe connections end with ctx.
func New(ctx context.Context, limits Limits) *Pool {
	p := &Pool{Dial: sysfault.Dial(dial), ctx: ctx, probeConns: newProbeConns(), endpoints: map[string]*endpointState{}}
	p.probeConns.setCapacity(defaultProbeConns)
	context.AfterFunc(ctx, p.probeConns.close)
	p.SetLimits(limits)
	return p
}

// SetProbeConnLimit sets how many probe connections there may be, idle ones included.
func (p *Pool) SetProbeConnLimit(limit int) { p.probeConns.setCapacity(limit) }

// ProbeConnCount is how many probe connections there are, idle ones included.
func (p *Pool) ProbeConnCount() int { return p.probeConns.count() }

// CloseIdleProbeConns closes the probe connections that are not in use, for a process that has run out
// of descriptors. It returns how many there were.
func (p *Pool) CloseIdleProbeConns() int { return p.probeConns.closeIdle() }

// SetLimits sets the limits for what is started from now on.
func (p *Pool) SetLimits(limits Limits) { p.limits.Store(&limits) }

// SetObserver sets the receiver of results. Call it before anything is started.
func (p *Pool) SetObserver(observer Observer) { p.observer = observer }

// EndpointCount is how many endpoints the list has.
func (p *Pool) EndpointCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.endpoints)
}

// Update takes discovery's list, or changes to it unless full is set. now is when it came.
func (p *Pool) Update(full bool, entries []discovery.Endpoint, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(entries))
	for _, entry := range entries {
		listed[entry.ID] = true
		endpoint := p.endpoints[entry.ID]
		if endpoint == nil {
			endpoint = p.add(entry.ID)
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

// add adds a new endpoint. The caller holds the lock.
func (p *Pool) add(id string) *endpointState {
	endpoint := &endpointState{id: id}
	p.endpoints[id] = endpoint
	return endpoint
}

// remove ends the probes of an endpoint that is gone. Attempts that hold it still see that it
// drains. The caller holds the lock.
func (p *Pool) remove(endpoint *endpointState) {
	endpoint.remove()
	p.probeConns.closeEndpoint(endpoint.id)
	delete(p.endpoints, endpoint.id)
}

func (p *Pool) lookup(id string) *endpointState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[id]
}

// listStatus is what is known now of the endpoint list.
func (p *Pool) listStatus() listlease.Status {
	if p.ListStatus == nil {
		return listlease.Status{}
	}
	return p.ListStatus()
}

// Address is where an endpoint is, empty if it is not known.
func (p *Pool) Address(server string) string {
	if endpoint := p.lookup(server); endpoint != nil {
		return endpoint.address()
	}
	return ""
}

// CanSend is whether a datagram may still be sent to an endpoint. Half of the drain grace is
// kept back for what is under way.
func (p *Pool) CanSend(server string, now time.Time) bool {
	endpoint := p.lookup(server)
	return endpoint != nil && endpoint.acceptsTraffic(now, p.sendGrace())
}

// MayBegin is whether something new may be sent to an endpoint: what CanSend asks, and whether the list that
// names it may be relied on.
func (p *Pool) MayBegin(server string, now time.Time) bool {
	return p.CanSend(server, now) && p.listStatus().MayRely(now)
}

// IsResponsive is whether an endpoint answered its last probe, true if there was none yet.
func (p *Pool) IsResponsive(server string) bool {
	endpoint := p.lookup(server)
	return endpoint != nil && endpoint.isResponsive()
}

// IsDraining is whether an endpoint drains or is gone.
func (p *Pool) IsDraining(server string, now time.Time) bool {
	endpoint := p.lookup(server)
	return endpoint == nil || !endpoint.acceptsTraffic(now, 0)
}

// sendGrace is for how long after the start of a drain something new may be sent.
func (p *Pool) sendGrace() time.Duration { return p.limits.Load().DrainGrace / 2 }

// dial connects before the deadline, or the connect timeout if that is sooner.
func (p *Pool) dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	timeout := p.limits.Load().ConnectTimeout
	if connectDeadline := time.Now().Add(timeout); timeout > 0 && connectDeadline.Before(deadline) {
		deadline = connectDeadline
	}
	return p.DialUntil(ctx, addr, deadline)
}

// DialUntil connects before the deadline. If the process has run out of descriptors, it closes the
// idle probe connections and tries again.
func (p *Pool) DialUntil(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	conn, err := p.Dial(ctx, addr, deadline)
	if neterr.IsExhausted(err) && p.CloseIdleProbeConns() > 0 {
		return p.Dial(ctx, addr, deadline)
	}
	return conn, err
}

func dial(ctx context.Context, addr string, deadline time.Time) (net.Conn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	return dialer.DialContext(ctx, "tcp", addr)
}
