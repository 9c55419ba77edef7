package upstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/lineproto"
	"coralrelay/internal/neterr"
)

var (
	// errNotLoadReport marks an answer to a probe that is not a load report.
	errNotLoadReport = errors.New("answer is not a load report")
	// errNotConnected marks a probe whose connection could not be made.
	errNotConnected = errors.New("no connection")
	// errNoPlace marks a probe that was not sent: all probe connections are in use.
	errNoPlace = errors.New("all probe connections are in use")
)

// keptConnectFraction is the part of the connect timeout for which an answer over a kept connection is
// awaited.
const keptConnectFraction = 4

// Probe requests a load report from an endpoint. The result is reported to the observer. An
// endpoint has one probe at a time; one that is requested meanwhile follows it, and shares its result
// with all that are requested until then.
func (p *Pool) Probe(server string) {
	endpoint := p.lookup(server)
	if endpoint == nil {
		go p.observer.ProbeEnded(server, balance.ConnectFailed, 0, balance.EmptyLoadReport)
		return
	}
	if ctx, ok := endpoint.beginProbe(p.ctx); ok {
		go p.runProbes(ctx, endpoint)
	}
}

// runProbes probes an endpoint until no probe is requested any more or the endpoint is gone.
func (p *Pool) runProbes(ctx context.Context, endpoint *endpointState) {
	for {
		startedAt := time.Now()
		probe := &probe{pool: p, endpoint: endpoint, addr: endpoint.address()}
		load, err := probe.run(ctx, startedAt.Add(p.limits.Load().ProbeTimeout))
		if ctx.Err() != nil {
			return // the endpoint is gone: the result says nothing of a new one with its id
		}
		outcome := probeOutcome(err)
		if outcome != balance.NotSent {
			endpoint.setUnresponsive(outcome != balance.OK && outcome != balance.Errored)
		}
		countProbe(outcome)
		more := endpoint.endProbe()
		p.observer.ProbeEnded(endpoint.id, outcome, time.Since(startedAt), load)
		if !more {
			return
		}
	}
}

// probe is one probe of an endpoint.
type probe struct {
	pool     *Pool
	endpoint *endpointState
	addr     string
}

// run asks for a load report, over the kept connection if there is one.
func (p *probe) run(ctx context.Context, deadline time.Time) (balance.LoadReport, error) {
	kept, ok := p.pool.probeConns.acquire(p.endpoint.id, p.addr)
	if !ok {
		return balance.EmptyLoadReport, p.wrap(errNoPlace)
	}
	if kept == nil {
		return p.overNewConn(ctx, deadline)
	}
	// The endpoint may have closed the kept connection while it was idle, or have forgotten it and
	// stay silent. An answer that is not a load report is an answer all the same: to ask again would
	// only add to what ails the endpoint.
	load, err := p.query(ctx, kept, p.keptDeadline(deadline))
	if err == nil || errors.Is(err, errNotLoadReport) || ctx.Err() != nil {
		return load, err
	}
	if kept, ok = p.pool.probeConns.acquire(p.endpoint.id, p.addr); !ok {
		return balance.EmptyLoadReport, p.wrap(errNoPlace)
	}
	if kept != nil {
		_ = kept.Close()
	}
	return p.overNewConn(ctx, deadline)
}

// keptDeadline is how long an answer over a kept connection is awaited before a new one is tried: no more
// than half of the time, and a part of what a connection may take, so that an endpoint which is cut off is
// found out hardly later than by a new connection alone.
func (p *probe) keptDeadline(deadline time.Time) time.Time {
	now := time.Now()
	wait := deadline.Sub(now) / 2
	if timeout := p.pool.limits.Load().ConnectTimeout; timeout > 0 {
		wait = min(wait, timeout/keptConnectFraction)
	}
	return now.Add(wait)
}

// overNewConn asks over a new connection, for which a place is taken already.
func (p *probe) overNewConn(ctx context.Context, deadline time.Time) (balance.LoadReport, error) {
	conn, err := p.pool.dial(ctx, p.addr, deadline)
	if err != nil {
		p.pool.probeConns.forget()
		return balance.EmptyLoadReport, p.wrap(errors.Join(errNotConnected, err))
	}
	return p.query(ctx, conn, deadline)
}

// query asks over a connection. It gives the connection's place back, and keeps the connection if it
// was answered with a load report.
func (p *probe) query(ctx context.Context, raw net.Conn, deadline time.Time) (balance.LoadReport, error) {
	conn := bufconn.New(raw)
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	load, err := p.exchange(conn, deadline)
	if !stop() || err != nil {
		conn.Release()
		p.pool.probeConns.forget()
		return load, err
	}
	if rested := conn.Detach(); rested != nil {
		p.pool.probeConns.release(p.endpoint.id, p.addr, rested)
	} else {
		p.pool.probeConns.forget()
	}
	return load, nil
}

// exchange writes the question and reads the answer.
func (p *probe) exchange(conn *bufconn.Conn, deadline time.Time) (balance.LoadReport, error) {
	if err := conn.WriteLine(lineproto.Stats, deadline); err != nil {
		return balance.EmptyLoadReport, p.wrap(err)
	}
	text, err := conn.ReadTextLineBefore(deadline)
	if err != nil {
		return balance.EmptyLoadReport, p.wrap(err)
	}
	slog.Debug("probe answered", "component", "upstream", "endpoint", p.endpoint.id, "line", string(text))
	load, err := lineproto.ParseStats(text)
	if err != nil {
		return balance.EmptyLoadReport, p.wrap(errors.Join(errNotLoadReport, err))
	}
	return load, nil
}

// wrap says in an error which endpoint was probed.
func (p *probe) wrap(err error) error { return fmt.Errorf("probe %s: %w", p.endpoint.id, err) }

// probeOutcome is what a probe says of its endpoint. One that could not be sent for a reason of this
// process says nothing.
func probeOutcome(err error) balance.Outcome {
	switch {
	case err == nil:
		return balance.OK
	case errors.Is(err, errNotLoadReport):
		return balance.Errored
	case errors.Is(err, errNoPlace), neterr.IsLocal(err):
		return balance.NotSent
	case errors.Is(err, errNotConnected):
		return balance.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.Reset
}
