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

// node holds the components of this process and their shared state. The stages of serve set its
// fields, in the order in which they are grouped here.
type node struct {
	cfg          config.Config       // as the process was started
	operatorFile operatorconfig.File // as the process was started
	operatorPath string              // of operatorFile; empty if there is none
	goroutines   sync.WaitGroup      // those that end with the context passed to start

	// Set by openListener and acquireLock.
	listener    net.Listener
	acceptQueue func() int         // returns the length of the accept queue
	lock        *instancelock.Lock // nil unless the listener is inherited and may be shared

	// Set by build.
	pool      *upstream.Pool
	updater   *endpointUpdater
	watcher   *discovery.Watcher
	eventLoop *dispatch.EventLoop
	server    *downstream.Server
	metrics   *metrics.Registry
	active    *activeConfig
	sibling   *siblingMonitor // nil without a lock

	// Set by start.
	resumption *tokenResumption // nil if disabled
	reloadLog  logging.Throttled
}

// serve runs the node until terminate ends, and then drains it. It reloads the configuration on
// each signal from sighups, also while the node drains.
func serve(
	terminate context.Context, sighups <-chan os.Signal,
	cfg config.Config, operatorFile operatorconfig.File, operatorPath string,
) error {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cfg: cfg, operatorFile: operatorFile, operatorPath: operatorPath}
	defer func() { n.lock.Close() }() // last: it tells the sibling that this process has ended
	defer n.goroutines.Wait()
	defer cancel()

	if err := n.openListener(); err != nil {
		return err
	}
	defer n.listener.Close() // also if a later stage fails
	if err := n.acquireLock(); err != nil {
		return err
	}
	if err := n.build(ctx); err != nil {
		return err
	}
	if err := n.start(ctx, sighups); err != nil {
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

// openListener opens the clients' listener, or uses the socket that the platform passes on.
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

// acquireLock acquires the lock that this process shares with its sibling, if it may have a sibling.
func (n *node) acquireLock() (err error) {
	n.lock, err = acquireInstanceLock(n.cfg, n.listener, n.operatorFile)
	return err
}

// build creates and connects the components that serve sessions. It starts none of them.
func (n *node) build(ctx context.Context) (err error) {
	n.cfg.Settings = settings.ForWatch(n.cfg.Settings)
	if n.lock.IsSiblingAlive() { // many nodes may start at once, but a successor starts alone
		n.cfg.Settings.SubscribeImmediately = true
	}
	budget := newDescriptorBudget(n.cfg, n.operatorFile, n.lock)
	n.cfg.Settings.Limits.ProbeConnections = budget.probeLimit()
	n.pool = upstream.New(ctx, upstreamLimits(n.cfg.Settings))
	n.pool.SetProbeConnLimit(budget.probeLimit())
	n.updater = &endpointUpdater{pool: n.pool, firstListReceived: make(chan struct{})}
	n.watcher = discovery.New(n.cfg.Discovery, n.updater)
	clock := dispatch.NewClock()
	n.watcher.Limits = discovery.LimitsFor(n.cfg.Limits.MemoryMB)
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

// buildServer creates the server for clients, whose socket limit depends on the number of listed
// endpoints.
func (n *node) buildServer(budget descriptorBudget) {
	limits := downstream.Limits{
		Sockets:    budget.clientLimit(len(n.cfg.CachedEndpoints.Endpoints)),
		RetryAfter: retryAfter(n.cfg.Settings.Limits),
	}
	if n.lock != nil {
		n.sibling = &siblingMonitor{lock: n.lock}
		limits.UsedElsewhere = n.sibling.usedElsewhere
	}
	n.server = downstream.New(n.eventLoop, n.pool, limits)
	n.server.FreeDescriptors = n.pool.CloseIdleProbeConns
	n.updater.onEndpointCount = func(endpoints int) { n.server.SetSocketLimit(budget.clientLimit(endpoints)) }
}

// start opens the sockets of the optional components and starts all goroutines except the one that
// accepts clients. They end with ctx.
func (n *node) start(ctx context.Context, sighups <-chan os.Signal) (err error) {
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
	operatorAPI := adminNode{Server: n.server, pool: n.pool, eventLoop: n.eventLoop, watcher: n.watcher,
		metrics: n.metrics, acceptQueue: n.acceptQueue}
	if err := startAdmin(ctx, &n.goroutines, n.cfg.AdminAddr, operatorAPI); err != nil {
		return err
	}
	if err := startAgentClient(ctx, &n.goroutines, n.operatorFile.Fleet, n.cfg.Limits.MemoryMB, n.eventLoop); err != nil {
		return err
	}
	n.goroutines.Go(func() { n.eventLoop.Run(ctx) })
	n.goroutines.Go(func() { n.watcher.Run(ctx, n.cfg.CachedEndpoints) })
	n.goroutines.Go(func() { n.reloadOnSIGHUP(ctx, sighups) })
	n.listenForSessions(ctx)
	return nil
}

// listenForSessions starts to receive the sessions that the sibling process hands over.
func (n *node) listenForSessions(ctx context.Context) {
	if n.lock == nil {
		return
	}
	receiver := handoverReceiver{Server: n.server, eventLoop: n.eventLoop}
	if err := hotrestart.Listen(ctx, &n.goroutines, os.TempDir(), n.lock.Name(), receiver); err != nil {
		slog.Warn("cannot receive sessions from a previous process", "component", componentNode, "error", err)
	}
}

// acceptClients starts to accept clients. The returned channel receives the server's error after the
// listener has been closed.
func (n *node) acceptClients(terminate context.Context) <-chan error {
	if pending, ok := terminate.(signalFlusher); ok {
		pending.FlushPending()
	}
	if terminate.Err() != nil { // during the start: clients are rejected, unless a sibling is alive
		n.startDraining()
	}
	n.lock.SetServing(true) // before any client is accepted
	served := make(chan error, 1)
	n.goroutines.Go(func() { served <- n.server.Serve(n.listener) })
	slog.Info("serving", "component", componentNode, "name", n.cfg.Name, "listen", n.cfg.Listen,
		"known_endpoints", len(n.cfg.CachedEndpoints.Endpoints))
	return served
}

// startDraining rejects new clients from now on, unless a sibling process is alive that may serve them.
func (n *node) startDraining() {
	if !n.lock.IsSiblingAlive() {
		n.server.StartDraining(time.Now())
	}
}
