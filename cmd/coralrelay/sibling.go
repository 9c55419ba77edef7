package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/admin"
	"coralrelay/internal/config"
	"coralrelay/internal/dispatch"
	"coralrelay/internal/downstream"
	"coralrelay/internal/instancelock"
	"coralrelay/internal/operatorconfig"
)

const (
	// instanceLockTimeout bounds the wait for the second slot of the instance lock, which the sibling's
	// own predecessor may still hold until it has exited.
	instanceLockTimeout = 4 * time.Second
	// firstListTimeout bounds a successor's wait for discovery, after which it accepts clients with the
	// last list that the node had. A successor has 6 s to become ready.
	firstListTimeout = 2 * time.Second
	// siblingReservedSockets are the sockets that a process needs besides those of its clients and their
	// attempts: for operators' calls, probes, discovery and listeners.
	siblingReservedSockets = admin.MaxConnections + 24
	// siblingPollInterval is how often the state of the sibling process is read.
	siblingPollInterval = 50 * time.Millisecond
)

// acquireInstanceLock acquires the lock that this process shares with its sibling. It returns nil if
// there can be no sibling because the listener is not inherited. If the sibling holds state that can't
// be handed over, acquireInstanceLock fails and the sibling goes on serving.
func acquireInstanceLock(
	cfg config.Config, listener net.Listener, operatorFile operatorconfig.File,
) (*instancelock.Lock, error) {
	if cfg.InheritedFD == 0 {
		return nil, nil
	}
	lock, err := instancelock.Acquire(os.TempDir(), listener.Addr().String(), time.Now().Add(instanceLockTimeout))
	if err != nil || !lock.IsSiblingAlive() {
		return lock, err
	}
	exclusiveState := ""
	switch {
	case operatorFile.Resume.Enabled:
		exclusiveState = "resume.enabled: the replay guard's store"
	case operatorFile.UDP.Listen != "":
		exclusiveState = "udp.listen: the flows' socket"
	default:
		return lock, nil
	}
	lock.Close()
	return nil, fmt.Errorf("%s is held by the serving process and can't be handed over; terminate it first",
		exclusiveState)
}

// siblingMonitor keeps a recent copy of the sibling process's state, so that reading it needs no file
// access.
type siblingMonitor struct {
	lock         *instancelock.Lock
	socketsInUse atomic.Int64 // the sibling's sockets, including siblingReservedSockets
}

func (m *siblingMonitor) usedElsewhere() int { return int(m.socketsInUse.Load()) }

// run exchanges the counts of sockets with the sibling process until ctx ends, and halves this process's
// memory limit while the sibling is alive. It calls onSiblingChange when the sibling starts or ends.
func (m *siblingMonitor) run(
	ctx context.Context, limits config.Limits, ownSockets func() int, onSiblingChange func(alive bool),
) {
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
			debug.SetMemoryLimit(sharedHeapLimit(limits, alive))
			onSiblingChange(alive)
			slog.Info("sibling process changed", "component", componentNode, "alive", alive)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// awaitFirstList waits for the first list from discovery, for at most firstListTimeout, while the sibling
// process is alive and serves the clients. Without a sibling it returns at once, because clients would
// have to wait too.
func (n *node) awaitFirstList(terminate context.Context) {
	timeout, poll := time.NewTimer(firstListTimeout), time.NewTicker(siblingPollInterval)
	defer timeout.Stop()
	defer poll.Stop()
	for n.lock.IsSiblingAlive() {
		select {
		case <-poll.C:
			continue
		case <-n.updater.firstListReceived:
		case <-timeout.C:
		case <-terminate.Done():
		}
		return
	}
}

// handoverReceiver adopts the sessions and the learned state that the sibling process hands over. It is
// a hotrestart.Receiver.
type handoverReceiver struct {
	*downstream.Server
	eventLoop *dispatch.EventLoop
}

// Learn implements hotrestart.Receiver.
func (r handoverReceiver) Learn(state balance.LearnedState) { r.eventLoop.ImportLearnedState(state) }
