package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"coralrelay/internal/config"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/hotrestart"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/listlease"
	"coralrelay/internal/logging"
	"coralrelay/internal/metrics"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/settings"
	"coralrelay/internal/sysfault"
	"coralrelay/internal/upstream"
)

// node is this process: its parts and what they share. The stages of serve fill it in, in
// their order.
type node struct {
	cfg          config.Config       // as the process was started
	operatorFile operatorconfig.File // as the process was started
	operatorPath string              // of operatorFile; empty for none
	goroutines   sync.WaitGroup      // all that end with the context of start

	// Of openListener.
	listener    net.Listener
	acceptQueue func() int         // how many connections wait to be accepted
	lock        *instancelock.Lock // nil if this process shares the listener with nobody

	// Of build.
	pool      *upstream.Pool
	updater   *endpointUpdater
	watcher   *discovery.Watcher
	eventLoop *dispatch.EventLoop
	server    *downstream.Server
	metrics   *metrics.Registry
	active    *activeConfig
	sibling   *siblingMonitor // nil without a lock

	// Of start.
	resumption *tokenResumption // nil where it is off
	reloadLog  logging.Throttled
}

// serve runs the node until terminate ends, and then drains it. On each hang-up the
// configuration is read again, also while the node drains.
func serve(
	terminate context.Context, hangUps <-chan os.Signal,
	cfg config.Config, operatorFile operatorconfig.File, operatorPath string,
) error {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cfg: cfg, operatorFile: operatorFile, operatorPath: operatorPath}
	defer func() { n.lock.Close() }() // when all has ended: the sibling process goes by it
	defer n.goroutines.Wait()
	defer cancel()

	if err := n.openListener(); err != nil {
		return err
	}
	defer n.listener.Close() // whatever keeps the node from starting
	if err := n.acquireLock(); err != nil {
		return err
	}
	if err := n.build(ctx); err != nil {
		return err
	}
	if err := n.start(ctx, hangUps); err != nil {
		return err
	}
	n.awaitFirstList(terminate)
	served := n.acceptClients(terminate)
	<-terminate.Done()
	n.drain()
	err := <-served
	n.server.Close()
	return err
}

// openListener opens the clients' listener, or takes over the one that the platform holds.
func (n *node) openListener() (err error) {
	listener, err := openClientListener(n.cfg)
	if err != nil {
		return err
	}
	if err := limitBacklog(listener, n.cfg.Limits.Sockets); err != nil {
		_ = listener.Close()
		return err
	}
	n.acceptQueue = func() int { return acceptQueue(listener) }
	n.listener = sysfault.Listener(listener)
	return nil
}

// acquireLock acquires the lock that this process shares with its sibling, if it may have one.
func (n *node) acquireLock() (err error) {
	n.lock, err = acquireInstanceLock(n.cfg, n.listener, n.operatorFile)
	return err
}

// build makes the parts of a session's path and joins them. Nothing runs yet.
func (n *node) build(ctx context.Context) (err error) {
	n.cfg.Settings = settings.ForWatch(n.cfg.Settings)
	if n.lock.IsSiblingAlive() { // a node's start is one of many at once, a successor's its own
		n.cfg.Settings.SubscribeImmediately = true
	}
	budget := newDescriptorBudget(n.cfg, n.operatorFile, n.lock)
	n.cfg.Settings.Limits.ProbeConnections = budget.forProbes()
	n.pool = upstream.New(ctx, upstreamLimits(n.cfg.Settings))
	n.pool.SetProbeConnLimit(budget.forProbes())
	n.updater = &endpointUpdater{pool: n.pool, firstListReceived: make(chan struct{})}
	n.watcher = discovery.New(n.cfg.Discovery, n.updater)
	clock := dispatch.NewClock()
	n.watcher.Now = clock.Now
	n.watcher.Dial = n.pool.DialUntil
	n.pool.ListStatus = n.watcher.Status
	n.watcher.OnLease = func(status listlease.Status) { n.eventLoop.UpdateListLease(status.ExpiresAt) }
	n.eventLoop, err = dispatch.New(clock, n.cfg.Seed, n.cfg.Settings, n.pool, n.watcher)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	n.updater.eventLoop = n.eventLoop
	n.pool.SetObserver(n.eventLoop)
	n.buildServer(budget)
	n.metrics = &metrics.Registry{}
	n.active = &activeConfig{
		eventLoop: n.eventLoop,
		pool:      n.pool,
		server:    n.server,
		watcher:   n.watcher,
		metrics:   n.metrics,
	}
	n.active.apply(n.cfg)
	n.server.Metrics = n.metrics
	return nil
}

// buildServer makes the clients' server, whose share of the descriptors follows the list of
// endpoints.
func (n *node) buildServer(budget descriptorBudget) {
	limits := downstream.Limits{
		Sockets:    budget.forClients(len(n.cfg.CachedEndpoints.Endpoints)),
		RetryAfter: retryAfter(n.cfg.Settings.Limits),
	}
	if n.lock != nil {
		n.sibling = &siblingMonitor{lock: n.lock}
		limits.UsedElsewhere = n.sibling.usedElsewhere
	}
	n.server = downstream.New(n.eventLoop, n.pool, limits)
	n.server.FreeDescriptors = n.pool.CloseIdleProbeConns
	n.updater.onEndpointCount = func(endpoints int) { n.server.SetSocketLimit(budget.forClients(endpoints)) }
}

// start opens the sockets of the optional parts and starts all goroutines but the one that
// accepts clients. They end with ctx.
func (n *node) start(ctx context.Context, hangUps <-chan os.Signal) (err error) {
	n.updater.udpListeners, err = startUDP(ctx, &n.goroutines, n.cfg, n.operatorFile.UDP, n.eventLoop, n.pool)
	if err != nil {
		return err
	}
	if n.sibling != nil {
		ownSockets := func() int { return n.server.SocketsInUse() + n.pool.ProbeConnCount() }
		n.goroutines.Go(func() { n.sibling.run(ctx, n.cfg.Limits, ownSockets, n.active.setSiblingAlive) })
	}
	n.resumption, err = startTokenResumption(ctx, &n.goroutines, n.cfg.Name, n.operatorFile.Resume)
	if err != nil {
		return err
	}
	if n.resumption != nil {
		n.server.Resumptions = n.resumption.factory
	}
	operations := adminNode{Server: n.server, pool: n.pool, eventLoop: n.eventLoop, watcher: n.watcher,
		metrics: n.metrics, acceptQueue: n.acceptQueue}
	if err := startAdmin(ctx, &n.goroutines, n.cfg.AdminAddr, operations); err != nil {
		return err
	}
	if err := startAgentClient(ctx, &n.goroutines, n.operatorFile.Fleet, n.eventLoop); err != nil {
		return err
	}
	n.goroutines.Go(func() { n.eventLoop.Run(ctx) })
	n.goroutines.Go(func() { n.watcher.Run(ctx, n.cfg.CachedEndpoints) })
	n.goroutines.Go(func() { n.reloadOnHangUp(ctx, hangUps) })
	n.listenForSessions(ctx)
	return nil
}

// listenForSessions lets the sibling process hand its sessions over to this one.
func (n *node) listenForSessions(ctx context.Context) {
	if n.lock == nil {
		return
	}
	receiver := handoverReceiver{Server: n.server, eventLoop: n.eventLoop}
	if err := hotrestart.Listen(ctx, &n.goroutines, os.TempDir(), n.lock.Name(), receiver); err != nil {
		slog.Warn("cannot receive sessions from a previous process", "component", componentNode, "error", err)
	}
}

// acceptClients starts to accept clients. The channel has the server's error once its
// listener is closed.
func (n *node) acceptClients(terminate context.Context) <-chan error {
	if pending, ok := terminate.(settler); ok {
		pending.Settle()
	}
	if terminate.Err() != nil { // in the start: no client is served at all
		n.startDraining()
	}
	n.lock.SetServing(true) // before any client can see it
	served := make(chan error, 1)
	n.goroutines.Go(func() { served <- n.server.Serve(n.listener) })
	slog.Info("serving", "component", componentNode, "name", n.cfg.Name, "listen", n.cfg.Listen,
		"known_endpoints", len(n.cfg.CachedEndpoints.Endpoints))
	return served
}

// startDraining has new clients rejected from now on, unless a sibling process may serve them.
func (n *node) startDraining() {
	if !n.lock.IsSiblingAlive() {
		n.server.StartDraining(time.Now())
	}
}
