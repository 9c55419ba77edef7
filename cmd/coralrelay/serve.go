package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/config"
	"coralrelay/internal/discovery"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/hotrestart"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/metrics"
	"coralrelay/internal/operatorconfig"
	platform "coralrelay/internal/settings"
	"coralrelay/internal/upstream"
)

const (
	// probeWait is how long a probe may take: longer than a busy next hop
	// needs, shorter than the module waits before it asks again.
	probeTimeout = 500 * time.Millisecond
	// refused is the pause of callers that are refused unseen: while the node
	// drains the front still sends some here for 0.4 s.
	rejectRetryAfter = 500 * time.Millisecond
	// longestDrain and afterDrain: a planned restart leaves the longest
	// deadline, at most longestDrain, and 0.7 s. What stays of that is room.
	maxDrainDeadline = 3 * time.Second
	drainMargin      = 400 * time.Millisecond
	// arriving is how long the front still sends callers here after a restart has begun, those
	// too who are moved.
	frontUpdateDelay = 400 * time.Millisecond
)

// serve runs the node until terminate ends, and then lets it end in good order.
// On each hang-up the configuration is read again, also while the node ends.
func serve(terminate context.Context, hangUps <-chan os.Signal, cfg config.Config, operatorFile operatorconfig.File, operatorPath string) error {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	var lock *instancelock.Lock
	defer func() { lock.Close() }() // when all is over: the process beside this one goes by it
	defer goroutines.Wait()
	defer cancel()

	listener, err := openClientListener(cfg)
	if err != nil {
		return err
	}
	defer listener.Close() // whatever keeps the node from starting
	if lock, err = acquireInstanceLock(cfg, listener, operatorFile); err != nil {
		return err
	}
	cfg.Settings = platform.ForWatch(cfg.Settings)
	// A node's start is one of many, a successor's its own.
	cfg.Settings.SubscribeImmediately = cfg.Settings.SubscribeImmediately || lock.IsSiblingAlive()
	pool := upstream.New(ctx, upstreamLimits(cfg.Settings))
	updater := &endpointUpdater{pool: pool, firstListReceived: make(chan struct{})}
	watcher := discovery.New(cfg.Discovery, updater)
	eventLoop, err := dispatch.New(dispatch.NewClock(), cfg.Seed, cfg.Settings, pool, watcher)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	updater.eventLoop = eventLoop
	pool.SetObserver(eventLoop)
	if updater.udpListeners, err = startUDP(ctx, &goroutines, cfg, operatorFile.UDP, eventLoop, pool); err != nil {
		return err
	}
	budget := newDescriptorBudget(cfg, operatorFile, lock)
	limits := downstream.Limits{Sockets: budget.forClients(len(cfg.CachedEndpoints.Endpoints)), RetryAfter: retryAfter(cfg.Settings.Limits)}
	sibling := &siblingMonitor{lock: lock}
	if lock != nil {
		limits.UsedElsewhere = sibling.usedElsewhere
	}
	server := downstream.New(eventLoop, pool, limits)
	updater.onEndpointCount = func(n int) { server.SetSocketLimit(budget.forClients(n)) }
	book := &metrics.Registry{}
	active := &activeConfig{eventLoop: eventLoop, pool: pool, server: server, watcher: watcher, metrics: book}
	active.apply(cfg)
	server.Metrics = book
	if lock != nil {
		used := func() int { return server.SocketsInUse() + pool.EndpointCount() }
		goroutines.Go(func() { sibling.run(ctx, cfg.Limits, used, active.setSiblingAlive) })
	}
	resume, err := startTokenResumption(ctx, &goroutines, cfg.Name, operatorFile.Resume)
	if err != nil {
		return err
	}
	if resume != nil {
		server.Resumptions = resume.factory
	}
	if err := startAdmin(ctx, &goroutines, cfg.AdminAddr, adminNode{server, pool, eventLoop, book}); err != nil {
		return err
	}
	if err := startAgentClient(ctx, &goroutines, operatorFile.Fleet, eventLoop); err != nil {
		return err
	}
	goroutines.Go(func() { eventLoop.Run(ctx) })
	goroutines.Go(func() { watcher.Run(ctx, cfg.CachedEndpoints) })
	goroutines.Go(func() {
		operatorFile := operatorFile // what is in force, which differs from the start's
		reloadOnHangUp(ctx, hangUps, active.reload, func() { operatorFile = reloadOperatorFile(operatorFile, operatorPath, resume) })
	})
	if lock != nil {
		if err := hotrestart.Listen(ctx, &goroutines, os.TempDir(), lock.Name(), handoverReceiver{server, eventLoop}); err != nil {
			slog.Warn("a process before this one can't hand over what stands", "err", err)
		}
	}
	if lock.IsSiblingAlive() { // who serves meanwhile; alone, clients would wait
		awaitFirstList(terminate, updater.firstListReceived, lock.IsSiblingAlive)
	}
	startDraining := func() { // before anything that may take its time
		if !lock.IsSiblingAlive() {
			server.StartDraining(time.Now())
		}
	}
	if terminate.Err() != nil { // in the start: nobody is taken at all
		startDraining()
	}
	lock.SetServing(true) // before anybody is told so
	served := make(chan error, 1)
	goroutines.Go(func() { served <- server.Serve(listener) })
	slog.Info("serving", "name", cfg.Name, "listen", cfg.Listen, "known", len(cfg.CachedEndpoints.Endpoints))

	<-terminate.Done()
	startDraining()
	resume.beginDraining()
	drain(server, eventLoop, listener, lock, min(active.longestDeadline(), maxDrainDeadline))
	err = <-served
	server.Close()
	return err
}

// leave empties the node for good, within the longest deadline and a little more.
func drain(server *downstream.Server, eventLoop *dispatch.EventLoop, listener net.Listener, lock *instancelock.Lock, longest time.Duration) {
	startedAt := time.Now()
	lock.SetServing(false)
	hasSuccessor := lock.IsSiblingServing() // one that is not ready, or leaves too, would leave clients to nobody
	slog.Info("draining", "longest", longest, "successor", hasSuccessor)
	plan := newDrainPlan(startedAt, longest)
	if hasSuccessor { // who connects from now on is the successor's, who was accepted before is served
		_ = listener.Close()
		plan.RejectAt, plan.MoveStartAt = plan.EndAt, startedAt
		if sender := dialSuccessor(lock); sender != nil {
			sender.SendLearnedState(eventLoop.ExportLearnedState())
			plan.Successor = sender
			defer sender.Close()
		}
	}
	server.Drain(plan)
	_ = listener.Close()
	slog.Info("drained", "took", time.Since(startedAt))
}

// ending is how a planned restart goes where the longest deadline is so long.
func newDrainPlan(startedAt time.Time, longest time.Duration) downstream.DrainPlan {
	end := startedAt.Add(longest + drainMargin)
	return downstream.DrainPlan{RejectAt: startedAt, MoveStartAt: startedAt.Add(max(longest/2, frontUpdateDelay)), MoveEndAt: end.Add(-3 * drainMargin / 4), EndAt: end}
}

// pause is asked of callers that are refused unseen, where the settings allow it.
func retryAfter(limits balance.Limits) time.Duration {
	if !limits.SendRetryAfter {
		return 0
	}
	return min(rejectRetryAfter, limits.MaxRetryAfter)
}

// limit keeps the process within its machine.
func applyProcessLimits(limits config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(limits.Cores))))
	debug.SetMemoryLimit(heapLimit(limits))
}

// heap is what of the memory the heap may take. The rest is for stacks' growth, the
// kernel's share and the binary.
func heapLimit(limits config.Limits) int64 { return int64(limits.MemoryMB) << 20 * 3 / 4 }
