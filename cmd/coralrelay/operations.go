package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/admin"
	"coralrelay/internal/config"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/hotrestart"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/metrics"
	"coralrelay/internal/operatorconfig"
	"coralrelay/internal/upstream"
)

const (
	// placeWithin is how long a process waits for a place beside another: the last but
	// one may still be ending.
	placeWithin = 4 * time.Second
	// listWithin is how long a successor waits for discovery before it takes clients by
	// the list that the node had last. It has 6 s to say yes.
	listWithin = 2 * time.Second
	// besideSockets are what a process needs besides its callers and their branches:
	// operators' calls, probes, discovery, listeners.
	besideSockets = admin.MaxCalls + 24
	// looksBeside is how old the word on the process beside this one may be.
	looksBeside = 50 * time.Millisecond
	// drainFrom, drainOver: how an operator's drain moves what stands. Callers come for
	// 0.2 s after the front has heard; all have to be told within 4 s.
	drainRefuse, drainFrom, drainOver = 600 * time.Millisecond, 350 * time.Millisecond, 2500 * time.Millisecond
	// noEnd is later than any drain.
	noEnd = 100 * 365 * 24 * time.Hour
)

// takePlace takes this process's place beside another, where there may be one; else
// it returns nil. What the other holds and can't hand over ends the start, and not the
// other.
func takePlace(c config.Config, l net.Listener, own operatorconfig.File) (*instancelock.Lock, error) {
	if c.InheritedFD == 0 {
		return nil, nil
	}
	place, err := instancelock.Acquire(os.TempDir(), l.Addr().String(), time.Now().Add(placeWithin))
	if err != nil || !place.IsSiblingAlive() {
		return place, err
	}
	held := ""
	switch {
	case own.Resume.Enabled:
		held = "resume.enabled: the ledger"
	case own.UDP.Listen != "":
		held = "udp.listen: the flows' socket"
	default:
		return place, nil
	}
	place.Close()
	return nil, fmt.Errorf("%s belongs to the process that serves here, and can't be taken over: end that one first", held)
}

// heir is the successor that takes what stands, or nil: then it is moved.
func heir(place *instancelock.Lock) *hotrestart.Sender {
	g, err := hotrestart.Dial(os.TempDir(), place.SiblingName())
	if err != nil {
		slog.Warn("what stands is moved", "err", err)
		return nil
	}
	return g
}

// neighbour is the process beside this one, as it was a moment ago: nobody who asks waits
// for a file.
type neighbour struct {
	place   *instancelock.Lock
	sockets atomic.Int64 // that it uses
}

func (n *neighbour) elsewhere() int { return int(n.sockets.Load()) }

// watch tells the other process what this one uses, learns what the other does, and leaves
// half of the memory to it while it lives; whoever else goes by that is told. It ends with ctx.
func (n *neighbour) watch(ctx context.Context, l config.Limits, used func() int, beside func(lives bool)) {
	tick := time.NewTicker(looksBeside)
	defer tick.Stop()
	for was := false; ; {
		there, lives := n.place.ExchangeSocketCounts(used())
		if lives {
			there += besideSockets
		}
		n.sockets.Store(int64(there))
		if lives != was {
			was = lives
			share := heap(l)
			if lives {
				share /= 2
			}
			debug.SetMemoryLimit(share)
			beside(lives)
			slog.Info("beside another process of this node", "lives", lives)
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// awaitList waits until discovery has said who is there, but not for long, and no longer
// than there is another process that serves.
func awaitList(terminate context.Context, known <-chan struct{}, other func() bool) {
	late, look := time.NewTimer(listWithin), time.NewTicker(looksBeside)
	defer late.Stop()
	defer look.Stop()
	for other() {
		select {
		case <-look.C:
			continue
		case <-known:
		case <-late.C:
		case <-terminate.Done():
		}
		return
	}
}

// successor goes on with what another process hands over.
type successor struct {
	*downstream.Server
	core *dispatch.EventLoop
}

func (s successor) Learn(m balance.LearnedState) { s.core.ImportLearnedState(m) }

// operations are what operators may ask of the node.
type operations struct {
	*downstream.Server
	hops *upstream.Pool
	core *dispatch.EventLoop
	book *metrics.Registry
}

func (o operations) Metrics() string {
	return o.book.Text(metrics.Gauges{Open: o.OpenSessions(), Listed: o.hops.EndpointCount(), Avoided: o.core.AvoidedCount()})
}

func (o operations) LameDuck() {
	now := time.Now()
	slog.Info("emptying the node, as an operator asked")
	o.Server.LameDuck(downstream.DrainPlan{RejectAt: now.Add(drainRefuse), MoveStartAt: now.Add(drainFrom), MoveEndAt: now.Add(drainOver), EndAt: now.Add(noEnd)})
}

func (o operations) Rejoin() {
	slog.Info("taking clients, as an operator asked")
	o.Server.Rejoin()
}

// startMgmt starts the operators' front, if it has an address. It ends with ctx.
func startMgmt(ctx context.Context, parts *sync.WaitGroup, addr string, node admin.Node) error {
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("mgmt: %w", err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	parts.Go(func() { _ = admin.New(node).Serve(l) })
	return nil
}
