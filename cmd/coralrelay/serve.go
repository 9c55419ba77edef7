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
func serve(terminate context.Context, hangUps <-chan os.Signal, c config.Config, own operatorconfig.File, path string) error {
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	var place *instancelock.Lock
	defer func() { place.Close() }() // when all is over: the process beside this one goes by it
	defer parts.Wait()
	defer cancel()

	listener, err := openClientListener(c)
	if err != nil {
		return err
	}
	defer listener.Close() // whatever keeps the node from starting
	if place, err = acquireInstanceLock(c, listener, own); err != nil {
		return err
	}
	c.Settings = platform.ForWatch(c.Settings)
	// A node's start is one of many, a successor's its own.
	c.Settings.SubscribeImmediately = c.Settings.SubscribeImmediately || place.IsSiblingAlive()
	hops := upstream.New(ctx, upstreamLimits(c.Settings))
	lists := &endpointUpdater{pool: hops, firstListReceived: make(chan struct{})}
	watch := discovery.New(c.Discovery, lists)
	core, err := dispatch.New(dispatch.NewClock(), c.Seed, c.Settings, hops, watch)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	lists.eventLoop = core
	hops.SetObserver(core)
	if lists.udpListeners, err = startUDP(ctx, &parts, c, own.UDP, core, hops); err != nil {
		return err
	}
	room := newDescriptorBudget(c, own, place)
	limits := downstream.Limits{Sockets: room.forClients(len(c.Known.Endpoints)), RetryAfter: retryAfter(c.Settings.Limits)}
	other := &siblingMonitor{lock: place}
	if place != nil {
		limits.UsedElsewhere = other.usedElsewhere
	}
	server := downstream.New(core, hops, limits)
	lists.onEndpointCount = func(n int) { server.SetSocketLimit(room.forClients(n)) }
	book := &metrics.Registry{}
	inForce := &activeConfig{eventLoop: core, pool: hops, server: server, watcher: watch, metrics: book}
	inForce.apply(c)
	server.Metrics = book
	if place != nil {
		used := func() int { return server.SocketsInUse() + hops.EndpointCount() }
		parts.Go(func() { other.run(ctx, c.Limits, used, inForce.setSiblingAlive) })
	}
	resume, err := startTokenResumption(ctx, &parts, c.Name, own.Resume)
	if err != nil {
		return err
	}
	if resume != nil {
		server.Resumptions = resume.factory
	}
	if err := startAdmin(ctx, &parts, c.AdminAddr, adminNode{server, hops, core, book}); err != nil {
		return err
	}
	if err := startAgentClient(ctx, &parts, own.Fleet, core); err != nil {
		return err
	}
	parts.Go(func() { core.Run(ctx) })
	parts.Go(func() { watch.Run(ctx, c.Known) })
	parts.Go(func() {
		own := own // what is in force, which differs from the start's
		reloadOnHangUp(ctx, hangUps, inForce.reload, func() { own = reloadOperatorFile(own, path, resume) })
	})
	if place != nil {
		if err := hotrestart.Listen(ctx, &parts, os.TempDir(), place.Name(), handoverReceiver{server, core}); err != nil {
			slog.Warn("a process before this one can't hand over what stands", "err", err)
		}
	}
	if place.IsSiblingAlive() { // who serves meanwhile; alone, clients would wait
		awaitFirstList(terminate, lists.firstListReceived, place.IsSiblingAlive)
	}
	turnAway := func() { // before anything that may take its time
		if !place.IsSiblingAlive() {
			server.StartDraining(time.Now())
		}
	}
	if terminate.Err() != nil { // in the start: nobody is taken at all
		turnAway()
	}
	place.SetServing(true) // before anybody is told so
	served := make(chan error, 1)
	parts.Go(func() { served <- server.Serve(listener) })
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "known", len(c.Known.Endpoints))

	<-terminate.Done()
	turnAway()
	resume.beginDraining()
	drain(server, core, listener, place, min(inForce.longestDeadline(), maxDrainDeadline))
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
