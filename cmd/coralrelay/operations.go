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
	instanceLockTimeout = 4 * time.Second
	// listWithin is how long a successor waits for discovery before it takes clients by
	// the list that the node had last. It has 6 s to say yes.
	firstListTimeout = 2 * time.Second
	// besideSockets are what a process needs besides its callers and their branches:
	// operators' calls, probes, discovery, listeners.
	siblingReservedSockets = admin.MaxCalls + 24
	// looksBeside is how old the word on the process beside this one may be.
	siblingPollInterval = 50 * time.Millisecond
	// drainFrom, drainOver: how an operator's drain moves what stands. Callers come for
	// 0.2 s after the front has heard; all have to be told within 4 s.
	lameDuckRejectDelay, lameDuckMoveStart, lameDuckMoveEnd = 600 * time.Millisecond, 350 * time.Millisecond, 2500 * time.Millisecond
	// noEnd is later than any drain.
	noDrainEnd = 100 * 365 * 24 * time.Hour
)

// takePlace takes this process's place beside another, where there may be one; else
// it returns nil. What the other holds and can't hand over ends the start, and not the
// other.
func acquireInstanceLock(cfg config.Config, listener net.Listener, operatorFile operatorconfig.File) (*instancelock.Lock, error) {
	if cfg.InheritedFD == 0 {
		return nil, nil
	}
	lock, err := instancelock.Acquire(os.TempDir(), listener.Addr().String(), time.Now().Add(instanceLockTimeout))
	if err != nil || !lock.IsSiblingAlive() {
		return lock, err
	}
	exclusive := ""
	switch {
	case operatorFile.Resume.Enabled:
		exclusive = "resume.enabled: the ledger"
	case operatorFile.UDP.Listen != "":
		exclusive = "udp.listen: the flows' socket"
	default:
		return lock, nil
	}
	lock.Close()
	return nil, fmt.Errorf("%s belongs to the process that serves here, and can't be taken over: end that one first", exclusive)
}

// heir is the successor that takes what stands, or nil: then it is moved.
func dialSuccessor(lock *instancelock.Lock) *hotrestart.Sender {
	sender, err := hotrestart.Dial(os.TempDir(), lock.SiblingName())
	if err != nil {
		slog.Warn("what stands is moved", "err", err)
		return nil
	}
	return sender
}

// neighbour is the process beside this one, as it was a moment ago: nobody who asks waits
// for a file.
type siblingMonitor struct {
	lock         *instancelock.Lock
	socketsInUse atomic.Int64 // that it uses
}

func (m *siblingMonitor) usedElsewhere() int { return int(m.socketsInUse.Load()) }

// watch tells the other process what this one uses, learns what the other does, and leaves
// half of the memory to it while it lives; whoever else goes by that is told. It ends with ctx.
func (m *siblingMonitor) run(ctx context.Context, limits config.Limits, ownSockets func() int, onSiblingChange func(alive bool)) {
	ticker := time.NewTicker(siblingPollInterval)
	defer ticker.Stop()
	for wasAlive := false; ; {
		sockets, alive := m.lock.ExchangeSocketCounts(ownSockets())
		if alive {
			sockets += siblingReservedSockets
		}
		m.socketsInUse.Store(int64(sockets))
		if alive != wasAlive {
			wasAlive = alive
			memoryLimit := heapLimit(limits)
			if alive {
				memoryLimit /= 2
			}
			debug.SetMemoryLimit(memoryLimit)
			onSiblingChange(alive)
			slog.Info("beside another process of this node", "lives", alive)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// awaitList waits until discovery has said who is there, but not for long, and no longer
// than there is another process that serves.
func awaitFirstList(terminate context.Context, received <-chan struct{}, isSiblingAlive func() bool) {
	timeout, poll := time.NewTimer(firstListTimeout), time.NewTicker(siblingPollInterval)
	defer timeout.Stop()
	defer poll.Stop()
	for isSiblingAlive() {
		select {
		case <-poll.C:
			continue
		case <-received:
		case <-timeout.C:
		case <-terminate.Done():
		}
		return
	}
}

// successor goes on with what another process hands over.
type handoverReceiver struct {
	*downstream.Server
	eventLoop *dispatch.EventLoop
}

func (r handoverReceiver) Learn(state balance.LearnedState) { r.eventLoop.ImportLearnedState(state) }

// operations are what operators may ask of the node.
type adminNode struct {
	*downstream.Server
	pool      *upstream.Pool
	eventLoop *dispatch.EventLoop
	metrics   *metrics.Registry
}

func (n adminNode) Metrics() string {
	return n.metrics.Text(metrics.Gauges{OpenSessions: n.OpenSessions(), ListedEndpoints: n.pool.EndpointCount(), AvoidedEndpoints: n.eventLoop.AvoidedCount()})
}

func (n adminNode) LameDuck() {
	now := time.Now()
	slog.Info("emptying the node, as an operator asked")
	n.Server.LameDuck(downstream.DrainPlan{RejectAt: now.Add(lameDuckRejectDelay), MoveStartAt: now.Add(lameDuckMoveStart), MoveEndAt: now.Add(lameDuckMoveEnd), EndAt: now.Add(noDrainEnd)})
}

func (n adminNode) Rejoin() {
	slog.Info("taking clients, as an operator asked")
	n.Server.Rejoin()
}

// startMgmt starts the operators' front, if it has an address. It ends with ctx.
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
