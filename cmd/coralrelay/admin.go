package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/admin"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/inputlimit"
	"coralrelay/internal/listlease"
	"coralrelay/internal/metrics"
	"coralrelay/internal/upstream"
)

// The schedule of a lame duck drain, measured from the operator's LAMEDUCK call. The front sends
// clients for another 0.2 s after it learns of the drain, and every session must be asked to move
// within 4 s.
const (
	lameDuckMoveStart   = 350 * time.Millisecond
	lameDuckRejectDelay = 600 * time.Millisecond
	lameDuckMoveEnd     = 2500 * time.Millisecond
	// unboundedDrain stands in for the end of a drain that lasts until REJOIN.
	unboundedDrain = 100 * 365 * 24 * time.Hour
)

// adminNode implements the operations of the admin server. It is an admin.Node.
type adminNode struct {
	*downstream.Server
	pool      *upstream.Pool
	eventLoop *dispatch.EventLoop
	watcher   *discovery.Watcher
	metrics   *metrics.Registry
	// acceptQueue returns the number of connections in the listener's accept queue.
	acceptQueue func() int
}

// Metrics implements admin.Node.
func (n adminNode) Metrics() string {
	return n.metrics.Text(metrics.Gauges{
		OpenSessions:     n.OpenSessions(),
		AcceptQueue:      n.acceptQueue(),
		AcceptWait:       n.LastAcceptWait(),
		ListedEndpoints:  n.pool.EndpointCount(),
		AvoidedEndpoints: n.eventLoop.AvoidedCount(),
		List:             n.listMetrics(time.Now()),
		Rejections:       n.rejections(),
		ExceededLimits:   exceededLimits(),
	})
}

// listMetrics returns the age of the endpoint list at the given time, and the counts of discovery
// calls by outcome.
func (n adminNode) listMetrics(now time.Time) metrics.List {
	list := metrics.List{Age: n.watcher.Status().Age(now)}
	for outcome := range listlease.OutcomeCount {
		list.Calls = append(list.Calls, metrics.Count{Name: outcome.String(), Value: n.watcher.CallCount(outcome)})
	}
	return list
}

// rejections returns the counts of rejected requests by reason.
func (n adminNode) rejections() (counts []metrics.Count) {
	for reason := range balance.RejectReasonCount {
		counts = append(counts, metrics.Count{Name: reason.String(), Value: n.eventLoop.RejectionCount(reason)})
	}
	return counts
}

// exceededLimits returns how often the input of peers has exceeded each limit.
func exceededLimits() (counts []metrics.Count) {
	for limit := range inputlimit.Count {
		counts = append(counts, metrics.Count{Name: limit.String(), Value: inputlimit.ExceededCount(limit)})
	}
	return counts
}

// LameDuck implements admin.Node.
func (n adminNode) LameDuck() {
	now := time.Now()
	slog.Info("lame duck mode started by an operator", "component", componentNode)
	n.Server.LameDuck(downstream.DrainPlan{
		RejectAt:    now.Add(lameDuckRejectDelay),
		MoveStartAt: now.Add(lameDuckMoveStart),
		MoveEndAt:   now.Add(lameDuckMoveEnd),
		EndAt:       now.Add(unboundedDrain),
	})
}

// Rejoin implements admin.Node.
func (n adminNode) Rejoin() {
	slog.Info("lame duck mode ended by an operator", "component", componentNode)
	n.Server.Rejoin()
}

// startAdmin starts the admin server if addr is not empty. Its goroutine ends with ctx.
func startAdmin(ctx context.Context, goroutines *sync.WaitGroup, addr string, node admin.Node) error {
	if addr == "" {
		return nil
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	goroutines.Go(func() { _ = admin.New(node).Serve(listener) })
	return nil
}
