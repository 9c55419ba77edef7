package upstream

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/bufconn"
	"coralrelay/internal/lineproto"
)

// errNotLoadReport marks an answer to a probe that is not a load report.
var errNotLoadReport = errors.New("answer is not a load report")

// Probe requests a load report from an endpoint. The result is reported to the observer; a
// probe that is requested while another waits to be sent shares that one's result.
func (p *Pool) Probe(server string) {
	endpoint := p.lookup(server)
	if endpoint == nil {
		go p.observer.ProbeEnded(server, balance.ConnectFailed, 0, balance.EmptyLoadReport)
		return
	}
	select {
	case endpoint.probeRequests <- struct{}{}:
	default: // one waits already, and answers both
	}
}

// prober probes one endpoint over a kept connection. It belongs to the goroutine of run.
type prober struct {
	pool     *Pool
	endpoint *endpointState
	addr     string        // that conn goes to
	conn     *bufconn.Conn // nil if there is none
}

// run probes whenever a probe is requested, until ctx ends.
func (p *prober) run(ctx context.Context) {
	defer p.closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.endpoint.probeRequests:
		}
		p.closeStaleConn()
		startedAt := time.Now()
		load, err := p.probe(ctx, startedAt.Add(p.pool.limits.Load().ProbeTimeout))
		if ctx.Err() != nil {
			return // the endpoint is gone: the result says nothing of a new one with its id
		}
		outcome := balance.OK
		if err != nil {
			outcome = probeOutcome(err, p.conn != nil)
			p.closeConn()
		}
		p.endpoint.setUnresponsive(outcome != balance.OK && outcome != balance.Errored)
		p.pool.observer.ProbeEnded(p.endpoint.id, outcome, time.Since(startedAt), load)
	}
}

// closeStaleConn closes the kept connection if the endpoint has moved, or if what would answer
// on it is not the endpoint any more.
func (p *prober) closeStaleConn() {
	if addr := p.endpoint.address(); addr != p.addr || p.conn != nil && !isIdle(p.conn) {
		p.closeConn()
		p.addr = addr
	}
}

// probe asks for a load report, once more over a new connection if the kept one is broken.
func (p *prober) probe(ctx context.Context, deadline time.Time) (balance.LoadReport, error) {
	reused := p.conn != nil
	load, err := p.queryLoad(ctx, deadline)
	// The endpoint may have closed the kept connection while it was idle. An answer that is not
	// a load report is an answer all the same: to ask again would only add to what ails it.
	if err != nil && reused && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errNotLoadReport) {
		p.closeConn()
		load, err = p.queryLoad(ctx, deadline)
	}
	return load, err
}

// queryLoad asks over the kept connection, which it makes if there is none.
func (p *prober) queryLoad(ctx context.Context, deadline time.Time) (balance.LoadReport, error) {
	if p.conn == nil {
		raw, err := p.pool.dial(ctx, p.addr, deadline)
		if err != nil {
			return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", p.endpoint.id, err)
		}
		p.conn = bufconn.New(raw)
	}
	conn := p.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.WriteLine(lineproto.Stats, deadline); err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", p.endpoint.id, err)
	}
	text, err := conn.ReadTextLineBefore(deadline)
	if err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", p.endpoint.id, err)
	}
	slog.Debug("probe answered", "component", "upstream", "endpoint", p.endpoint.id, "line", string(text))
	load, err := lineproto.ParseStats(text)
	if err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w: %w", p.endpoint.id, errNotLoadReport, err)
	}
	return load, nil
}

func (p *prober) closeConn() {
	if p.conn != nil {
		p.conn.Release()
		p.conn = nil
	}
}

// probeOutcome is what a failed probe says of its endpoint.
func probeOutcome(err error, connected bool) balance.Outcome {
	switch {
	case errors.Is(err, errNotLoadReport):
		return balance.Errored
	case !connected:
		return balance.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.Reset
}
