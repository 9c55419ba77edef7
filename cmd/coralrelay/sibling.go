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
	// instanceLockTimeout is how long a process waits for a slot beside its sibling: the last
	// process but one may still be ending.
	instanceLockTimeout = 4 * time.Second
	// firstListTimeout is how long a successor waits for discovery before it takes clients by
	// the list that the node had last. It has 6 s to become ready.
	firstListTimeout = 2 * time.Second
	// siblingReservedSockets are what a process needs besides its clients and their attempts:
	// operators' calls, probes, discovery, listeners.
	siblingReservedSockets = admin.MaxCalls + 24
	// siblingPollInterval bounds the age of what is known of the sibling process.
	siblingPollInterval = 50 * time.Millisecond
)

// acquireInstanceLock acquires the lock that this process shares with its sibling; nil where
// there can be none. If the sibling holds state that can't be handed over, the start fails
// and the sibling is not disturbed.
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
	exclusive := ""
	switch {
	case operatorFile.Resume.Enabled:
		exclusive = "resume.enabled: the replay guard's store"
	case operatorFile.UDP.Listen != "":
		exclusive = "udp.listen: the flows' socket"
	default:
		return lock, nil
	}
	lock.Close()
	return nil, fmt.Errorf("%s is held by the process that serves here and can't be taken over: end that one first",
		exclusive)
}

// siblingMonitor knows the sibling process as it was a moment ago, so that nobody who asks
// waits for a file.
type siblingMonitor struct {
	lock         *instancelock.Lock
	socketsInUse atomic.Int64 // by the sibling, with what is reserved for it
}

func (m *siblingMonitor) usedElsewhere() int { return int(m.socketsInUse.Load()) }

// run exchanges the counts of sockets with the sibling process, and leaves half of the memory
// to it while it is alive, until ctx ends. onSiblingChange is called when it appears or ends.
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

// awaitFirstList waits for the first list from discovery while the sibling process is alive, which
// serves meanwhile; without it, clients would wait too. It does not wait for long.
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

// handoverReceiver takes over what the sibling process hands over. It is a hotrestart.Receiver.
type handoverReceiver struct {
	*downstream.Server
	eventLoop *dispatch.EventLoop
}

// Learn implements hotrestart.Receiver.
func (r handoverReceiver) Learn(state balance.LearnedState) { r.eventLoop.ImportLearnedState(state) }
