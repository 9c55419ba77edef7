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
	probeWait = 500 * time.Millisecond
	// refused is the pause of callers that are refused unseen: while the node
	// drains the front still sends some here for 0.4 s.
	refused = 500 * time.Millisecond
	// longestDrain and afterDrain: a planned restart leaves the longest
	// deadline, at most longestDrain, and 0.7 s. What stays of that is room.
	longestDrain = 3 * time.Second
	afterDrain   = 400 * time.Millisecond
	// arriving is how long the front still sends callers here after a restart has begun, those
	// too who are moved.
	arriving = 400 * time.Millisecond
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

	listener, err := clientsListener(c)
	if err != nil {
		return err
	}
	defer listener.Close() // whatever keeps the node from starting
	if place, err = takePlace(c, listener, own); err != nil {
		return err
	}
	c.Settings = platform.ForWatch(c.Settings)
	// A node's start is one of many, a successor's its own.
	c.Settings.SubscribeImmediately = c.Settings.SubscribeImmediately || place.IsSiblingAlive()
	hops := upstream.New(ctx, hopLimits(c.Settings))
	lists := &fleet{hops: hops, known: make(chan struct{})}
	watch := discovery.New(c.Discovery, lists)
	core, err := dispatch.New(dispatch.NewClock(), c.Seed, c.Settings, hops, watch)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	lists.core = core
	hops.SetObserver(core)
	if lists.udp, err = startUDP(ctx, &parts, c, own.UDP, core, hops); err != nil {
		return err
	}
	room := shareOut(c, own, place)
	limits := downstream.Limits{Sockets: room.callers(len(c.Known.Endpoints)), RetryAfter: pause(c.Settings.Limits)}
	other := &neighbour{place: place}
	if place != nil {
		limits.UsedElsewhere = other.elsewhere
	}
	server := downstream.New(core, hops, limits)
	lists.listed = func(n int) { server.SetSocketLimit(room.callers(n)) }
	book := &metrics.Registry{}
	inForce := &live{core: core, hops: hops, server: server, watch: watch, book: book}
	inForce.take(c)
	server.Metrics = book
	if place != nil {
		used := func() int { return server.SocketsInUse() + hops.EndpointCount() }
		parts.Go(func() { other.watch(ctx, c.Limits, used, inForce.beside) })
	}
	resume, err := startResume(ctx, &parts, c.Name, own.Resume)
	if err != nil {
		return err
	}
	if resume != nil {
		server.Resumptions = resume.sessions
	}
	if err := startMgmt(ctx, &parts, c.AdminAddr, operations{server, hops, core, book}); err != nil {
		return err
	}
	if err := startFleet(ctx, &parts, own.Fleet, core); err != nil {
		return err
	}
	parts.Go(func() { core.Run(ctx) })
	parts.Go(func() { watch.Run(ctx, c.Known) })
	parts.Go(func() {
		own := own // what is in force, which differs from the start's
		reload(ctx, hangUps, inForce.reload, func() { own = reloadOwn(own, path, resume) })
	})
	if place != nil {
		if err := hotrestart.Listen(ctx, &parts, os.TempDir(), place.Name(), successor{server, core}); err != nil {
			slog.Warn("a process before this one can't hand over what stands", "err", err)
		}
	}
	if place.IsSiblingAlive() { // who serves meanwhile; alone, clients would wait
		awaitList(terminate, lists.known, place.IsSiblingAlive)
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
	resume.leave()
	leave(server, core, listener, place, min(inForce.longest(), longestDrain))
	err = <-served
	server.Close()
	return err
}

// leave empties the node for good, within the longest deadline and a little more.
func leave(server *downstream.Server, core *dispatch.EventLoop, listener net.Listener, place *instancelock.Lock, longest time.Duration) {
	begun := time.Now()
	place.SetServing(false)
	succeeded := place.IsSiblingServing() // one that is not ready, or leaves too, would leave clients to nobody
	slog.Info("draining", "longest", longest, "successor", succeeded)
	plan := ending(begun, longest)
	if succeeded { // who connects from now on is the successor's, who was accepted before is served
		_ = listener.Close()
		plan.RejectAt, plan.MoveStartAt = plan.EndAt, begun
		if g := heir(place); g != nil {
			g.SendLearnedState(core.ExportLearnedState())
			plan.Successor = g
			defer g.Close()
		}
	}
	server.Drain(plan)
	_ = listener.Close()
	slog.Info("drained", "took", time.Since(begun))
}

// ending is how a planned restart goes where the longest deadline is so long.
func ending(begun time.Time, longest time.Duration) downstream.DrainPlan {
	end := begun.Add(longest + afterDrain)
	return downstream.DrainPlan{RejectAt: begun, MoveStartAt: begun.Add(max(longest/2, arriving)), MoveEndAt: end.Add(-3 * afterDrain / 4), EndAt: end}
}

// pause is asked of callers that are refused unseen, where the settings allow it.
func pause(l balance.Limits) time.Duration {
	if !l.SendRetryAfter {
		return 0
	}
	return min(refused, l.MaxRetryAfter)
}

// limit keeps the process within its machine.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(heap(l))
}

// heap is what of the memory the heap may take. The rest is for stacks' growth, the
// kernel's share and the binary.
func heap(l config.Limits) int64 { return int64(l.MemoryMB) << 20 * 3 / 4 }
