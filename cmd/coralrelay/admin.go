package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"coralrelay/internal/admin"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/metrics"
	"coralrelay/internal/upstream"
)

// The times of an operator's drain, after its call. The front sends clients for 0.2 s after
// it knows; all sessions have to be asked to move within 4 s.
const (
	lameDuckMoveStart   = 350 * time.Millisecond
	lameDuckRejectDelay = 600 * time.Millisecond
	lameDuckMoveEnd     = 2500 * time.Millisecond
	// noDrainEnd is later than any drain.
	noDrainEnd = 100 * 365 * 24 * time.Hour
)

// adminNode is what operators may ask of the node. It is an admin.Node.
type adminNode struct {
	*downstream.Server
	pool      *upstream.Pool
	eventLoop *dispatch.EventLoop
	metrics   *metrics.Registry
}

// Metrics implements admin.Node.
func (n adminNode) Metrics() string {
	return n.metrics.Text(metrics.Gauges{
		OpenSessions:     n.OpenSessions(),
		ListedEndpoints:  n.pool.EndpointCount(),
		AvoidedEndpoints: n.eventLoop.AvoidedCount(),
	})
}

// LameDuck implements admin.Node.
func (n adminNode) LameDuck() {
	now := time.Now()
	slog.Info("lame duck mode started by an operator", "component", componentNode)
	n.Server.LameDuck(downstream.DrainPlan{
		RejectAt:    now.Add(lameDuckRejectDelay),
		MoveStartAt: now.Add(lameDuckMoveStart),
		MoveEndAt:   now.Add(lameDuckMoveEnd),
		EndAt:       now.Add(noDrainEnd),
	})
}

// Rejoin implements admin.Node.
func (n adminNode) Rejoin() {
	slog.Info("lame duck mode ended by an operator", "component", componentNode)
	n.Server.Rejoin()
}

// startAdmin starts the operators' server, if it has an address. Its goroutine ends with ctx.
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
