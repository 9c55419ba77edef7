// Command coralrelay is one node: it takes callers' connections, has the
// decision module choose a next hop for each, and relays until either side ends.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/caller"
	"coralrelay/internal/config"
	"coralrelay/internal/decide"
	"coralrelay/internal/nexthop"
	"coralrelay/internal/roster"
)

const (
	// spareSockets are kept for the listener, discovery, probes and callers
	// that are given a busy answer.
	spareSockets = 128
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
)

func main() {
	if err := run(); err != nil {
		slog.Error("coralrelay", "err", err)
		os.Exit(1)
	}
}

// fleet passes a list on: first the addresses, then the decision.
type fleet struct {
	hops *nexthop.Hops
	core *decide.Core
}

func (f *fleet) Listed(u roster.Update) {
	if u.Kind != balance.ListFailed {
		f.hops.Update(u.Kind != balance.ListDelta, u.Entries, time.Now())
	}
	f.core.Listed(u.List())
}

func run() error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	// Caught from the first moment on: unhandled, either would end the process.
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	terminate, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	c, err := config.Load(os.Getenv)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	limit(c.Limits)
	return serve(terminate, hangUps, c)
}

// serve runs the node until terminate ends, and then lets it end in good order.
// On each hang-up the configuration is read again, also while the node ends.
func serve(terminate context.Context, hangUps <-chan os.Signal, c config.Config) error {
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	defer parts.Wait()
	defer cancel()

	hops := nexthop.New(ctx, nexthop.Limits{Connect: c.Settings.Limits.ConnectTimeout, Probe: probeWait,
		Drain: c.Settings.Rules.DrainGrace})
	lists := &fleet{hops: hops}
	watch := roster.New(c.Discovery, lists)
	core, err := decide.New(decide.NewClock(), c.Seed, c.Settings, hops, watch)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	lists.core = core
	hops.Watch(core)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := caller.New(core, caller.Limits{Sockets: c.Limits.Sockets - min(spareSockets, c.Limits.Sockets/4),
		Pause: pause(c.Settings.Limits)})
	parts.Go(func() { core.Run(ctx) })
	parts.Go(func() { watch.Run(ctx, c.Known) })
	parts.Go(func() { reload(ctx, hangUps, c, watch) })
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	slog.Info("serving", "name", c.Name, "listen", c.Listen, "known", len(c.Known.Entries))

	<-terminate.Done()
	begun := time.Now()
	longest := time.Duration(0)
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	longest = min(longest, longestDrain)
	slog.Info("draining", "longest", longest)
	server.Drain(begun.Add(longest/2), begun.Add(longest+afterDrain/2), begun.Add(longest+afterDrain))
	_ = listener.Close()
	err = <-served
	server.Close()
	slog.Info("drained", "took", time.Since(begun))
	return err
}

// reload reads the configuration again on each hang-up, until ctx ends. A file
// that can't be used changes nothing.
func reload(ctx context.Context, hangUps <-chan os.Signal, c config.Config, watch *roster.Watch) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangUps:
		}
		next, fixed, err := c.Reload(os.Getenv)
		if err != nil {
			slog.Error("reload: the old configuration stays", "err", err)
			continue
		}
		if len(fixed) > 0 {
			slog.Warn("reload: these keys change with a restart only", "keys", fixed)
		}
		slog.Info("reloaded", "discovery", next.Discovery, "was", c.Discovery)
		c = next
		watch.Follow(c.Discovery)
	}
}

// pause is asked of callers that are refused unseen, where the settings allow it.
func pause(l balance.Limits) time.Duration {
	if !l.RetryAfter {
		return 0
	}
	return min(refused, l.MaxRetryAfter)
}

// limit keeps the process within its machine.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	// The rest is for stacks' growth, the kernel's share and the binary.
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 3 / 4)
}
