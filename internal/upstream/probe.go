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

// Probe asks a next hop for its load.
func (p *Pool) Probe(server string) {
	endpoint := p.lookup(server)
	if endpoint == nil {
		go p.observer.ProbeEnded(server, balance.ConnectFailed, 0, balance.EmptyLoadReport)
		return
	}
	select {
	case endpoint.probeRequests <- struct{}{}:
	default: // one is waiting already, and answers both
	}
}

// probeLoop owns the kept connection of one next hop.
func (p *Pool) probeLoop(ctx context.Context, endpoint *endpointState) {
	var kept *bufconn.Conn
	connectedAddr := "" // where l goes to
	closeConn := func() {
		if kept != nil {
			kept.Release()
			kept = nil
		}
	}
	defer closeConn()
	for {
		select {
		case <-ctx.Done():
			return
		case <-endpoint.probeRequests:
		}
		if addr := endpoint.address(); addr != connectedAddr || kept != nil && !isIdle(kept) {
			closeConn() // whoever answers there is somebody else, or nobody any more
			connectedAddr = addr
		}
		startedAt := time.Now()
		deadline := startedAt.Add(p.limits.Load().ProbeTimeout)
		reused := kept != nil
		load, err := p.queryLoad(ctx, endpoint.id, connectedAddr, &kept, deadline)
		if err != nil && reused && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errNotLoadReport) {
			// The next hop may have closed it while it was idle. An answer that
			// is no report is one all the same: asking again would only add to
			// whatever ails it.
			closeConn()
			load, err = p.queryLoad(ctx, endpoint.id, connectedAddr, &kept, deadline)
		}
		if ctx.Err() != nil {
			return // gone: what came of it says nothing of who may have its id now
		}
		outcome := balance.OK
		if err != nil {
			outcome = probeOutcome(err, kept != nil)
			closeConn()
		}
		endpoint.mu.Lock()
		endpoint.unresponsive = outcome != balance.OK && outcome != balance.Errored
		endpoint.mu.Unlock()
		p.observer.ProbeEnded(endpoint.id, outcome, time.Since(startedAt), load)
	}
}

// errStats marks an answer that is no load report.
var errNotLoadReport = errors.New("probe")

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

// stats asks over the kept connection, which it makes if there is none.
func (p *Pool) queryLoad(ctx context.Context, id, addr string, kept **bufconn.Conn, deadline time.Time) (balance.LoadReport, error) {
	if *kept == nil {
		conn, err := p.dial(ctx, addr, deadline)
		if err != nil {
			return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", id, err)
		}
		*kept = bufconn.New(conn)
	}
	buffered := *kept
	stop := context.AfterFunc(ctx, func() { _ = buffered.Close() })
	defer stop()
	if err := buffered.WriteLine(lineproto.Stats, deadline); err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", id, err)
	}
	text, err := buffered.ReadTextLineBefore(deadline)
	if err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", id, err)
	}
	slog.Debug("probe", "nexthop", id, "line", string(text))
	load, err := lineproto.ParseStats(text)
	if err != nil {
		return balance.EmptyLoadReport, errors.Join(errNotLoadReport, err)
	}
	return load, nil
}
