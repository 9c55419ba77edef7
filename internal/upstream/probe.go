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
func (h *Pool) Probe(server string) {
	p := h.get(server)
	if p == nil {
		go h.watch.ProbeEnded(server, balance.ConnectFailed, 0, balance.EmptyLoadReport)
		return
	}
	select {
	case p.probes <- struct{}{}:
	default: // one is waiting already, and answers both
	}
}

// probeLoop owns the kept connection of one next hop.
func (h *Pool) probeLoop(ctx context.Context, p *hop) {
	var l *bufconn.Conn
	at := "" // where l goes to
	closeKept := func() {
		if l != nil {
			l.Release()
			l = nil
		}
	}
	defer closeKept()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.probes:
		}
		if addr := p.address(); addr != at || l != nil && !quiet(l) {
			closeKept() // whoever answers there is somebody else, or nobody any more
			at = addr
		}
		begun := time.Now()
		deadline := begun.Add(h.limits.Load().ProbeTimeout)
		kept := l != nil
		load, err := h.stats(ctx, p.id, at, &l, deadline)
		if err != nil && kept && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, errStats) {
			// The next hop may have closed it while it was idle. An answer that
			// is no report is one all the same: asking again would only add to
			// whatever ails it.
			closeKept()
			load, err = h.stats(ctx, p.id, at, &l, deadline)
		}
		if ctx.Err() != nil {
			return // gone: what came of it says nothing of who may have its id now
		}
		outcome := balance.OK
		if err != nil {
			outcome = probeOutcome(err, l != nil)
			closeKept()
		}
		p.mu.Lock()
		p.mute = outcome != balance.OK && outcome != balance.Errored
		p.mu.Unlock()
		h.watch.ProbeEnded(p.id, outcome, time.Since(begun), load)
	}
}

// errStats marks an answer that is no load report.
var errStats = errors.New("probe")

func probeOutcome(err error, connected bool) balance.Outcome {
	switch {
	case errors.Is(err, errStats):
		return balance.Errored
	case !connected:
		return balance.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return balance.TimedOut
	}
	return balance.Reset
}

// stats asks over the kept connection, which it makes if there is none.
func (h *Pool) stats(ctx context.Context, id, addr string, kept **bufconn.Conn, deadline time.Time) (balance.LoadReport, error) {
	if *kept == nil {
		conn, err := h.dial(ctx, addr, deadline)
		if err != nil {
			return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", id, err)
		}
		*kept = bufconn.New(conn)
	}
	l := *kept
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if err := l.WriteLine(lineproto.Stats, deadline); err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", id, err)
	}
	text, err := l.ReadTextLineBefore(deadline)
	if err != nil {
		return balance.EmptyLoadReport, fmt.Errorf("probe %s: %w", id, err)
	}
	slog.Debug("probe", "nexthop", id, "line", string(text))
	load, err := lineproto.ParseStats(text)
	if err != nil {
		return balance.EmptyLoadReport, errors.Join(errStats, err)
	}
	return load, nil
}
