package refmodel_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// The overloaded discovery of these tests answers 503 at once while it has too many callers: nodes whose
// watches have ended, and nodes that start. It is reachable, so that its changes count as notified after
// notifyDeadline.
const (
	nodeCount           = 300
	overloadWarmUp      = 60 * time.Second // for all nodes to have their watches and the queue to be empty
	restartAfter        = 2 * time.Second  // from the overload's start; then 7 in 10 nodes are replaced
	overloadObservation = 20 * time.Second
	sampleInterval      = 50 * ms
)

// overloadNodes are the nodes of an overloaded discovery.
type overloadNodes struct {
	watched []*listWatcher // those that had a watch
	started []*listWatcher // those that start during the overload
}

// runOverload ends all watches, answers all calls 503 for the length of an outage, and then replaces most
// nodes by new processes. It returns the nodes, and since when discovery is reachable.
func runOverload(ctx context.Context, t *testing.T, d *fakeDiscovery, outage time.Duration) (nodes overloadNodes, reachableSince time.Time) {
	d.closesWatches = true
	replacedCtx, endReplaced := context.WithCancel(ctx)
	t.Cleanup(endReplaced)
	for i := range uint64(nodeCount) {
		if isReplaced := i%10 >= 3; isReplaced {
			d.startListWatcher(replacedCtx, t, fmt.Sprint("old", i), i, pollSettings(nodeCount))
		} else {
			nodes.watched = append(nodes.watched, d.startListWatcher(ctx, t, fmt.Sprint("n", i), i, pollSettings(nodeCount)))
		}
	}
	time.Sleep(overloadWarmUp)
	d.isDown.Store(true)
	d.silenceWatches()
	time.Sleep(outage)
	d.isDown.Store(false)
	reachableSince = time.Now()
	time.Sleep(restartAfter)
	endReplaced()
	for i := len(nodes.watched); i < nodeCount; i++ {
		w := d.startListWatcher(ctx, t, fmt.Sprint("new", i), uint64(nodeCount+i), pollSettings(nodeCount))
		nodes.started = append(nodes.started, w)
	}
	return nodes, reachableSince
}

// countOverdue returns how many nodes rely on a list for longer than notifyDeadline after the list was
// last confirmed or, if that is later, after discovery became reachable.
func countOverdue(watchers []*listWatcher, reachableSince time.Time) (count int) {
	overdue := map[*listWatcher]bool{}
	for start := time.Now(); time.Since(start) < overloadObservation; time.Sleep(sampleInterval) {
		now := time.Now()
		for _, w := range watchers {
			status, confirmedAt := w.watcher.Status(), reachableSince
			if status.ConfirmedAt.After(confirmedAt) {
				confirmedAt = status.ConfirmedAt
			}
			if status.IsValid(now) && now.Sub(confirmedAt) > notifyDeadline+sampleInterval {
				overdue[w] = true
			}
		}
	}
	return len(overdue)
}

// How long discovery is down before the overload: not at all where watches were reset.
const noOutage, longOutage = 0, 8 * time.Second

// The queue lengths of an overloaded discovery, as multiples of the calls that it can serve within their
// timeout of 2 s. With a deep queue most calls time out in it, with a shallow one most are rejected at once.
const shallowQueue, deepQueue = 1, 5

// Processes that start during an overload stop relying on their list within notifyDeadline.
func TestStartedProcessesStopRelyingInTime(t *testing.T) {
	selectNodes := func(nodes overloadNodes) []*listWatcher { return nodes.started }
	testOverload(t, shallowQueue, selectNodes, noOutage, longOutage)
	testOverload(t, deepQueue, selectNodes, noOutage, longOutage)
}

func watchedNodes(nodes overloadNodes) []*listWatcher { return nodes.watched }

// Nodes whose watches ended in an outage stop relying on their list within notifyDeadline, where
// discovery lets their calls wait in a deep queue after the outage.
func TestEndedWatchesStopRelyingInTime(t *testing.T) {
	testOverload(t, deepQueue, watchedNodes, longOutage)
}

// Nodes whose watches were reset while discovery was up stop relying on their list within notifyDeadline.
// Guards against a fault with which 20 of 90 nodes did not: while one call waited in the queue, a second one
// was answered 503 at once, which was taken for an outage and renewed the lease.
func TestResetWatchesStopRelyingInTime(t *testing.T) {
	testOverload(t, deepQueue, watchedNodes, noOutage)
}

// Nodes whose calls are all answered 503 at once stop relying on their list within notifyDeadline. Guards
// against a fault with which 56 and 33 of 90 nodes did not: after discovery had ended a watch, 503 at
// once was taken for an outage. A full queue answers 503 at once as well, and a node can't tell the two
// apart: its watch ends at 0 s, and its calls at 0.97, 1.10 and 1.56 s are answered 503 at once, by a full
// queue in one run and by a service that is down in another.
func TestEndedWatchesBesideFullQueueStopRelyingInTime(t *testing.T) {
	testOverload(t, shallowQueue, watchedNodes, noOutage, longOutage)
}

func testOverload(t *testing.T, depth int, selectNodes func(nodes overloadNodes) []*listWatcher, outages ...time.Duration) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // see TestManySilentWatchesAreReplacedInTime
	for _, outage := range outages {
		t.Run(fmt.Sprint("down for ", outage, ", a queue of ", depth, " times 2 s"), func(t *testing.T) {
			newDiscovery := func() *fakeDiscovery {
				d := busyCase{nodes: nodeCount, maxWait: 2 * time.Second}.discovery()
				d.queueLimit *= depth
				return d
			}
			runInBubble(t, newDiscovery, func(ctx context.Context, d *fakeDiscovery) {
				nodes, reachableSince := runOverload(ctx, t, d, outage)
				watchers := selectNodes(nodes)
				if isStart := watchers[0] == nodes.started[0]; isStart {
					reachableSince = reachableSince.Add(restartAfter)
				}
				if count := countOverdue(watchers, reachableSince); count > 0 {
					t.Errorf("%d of %d nodes rely on a list for over %v", count, len(watchers), notifyDeadline)
				}
			})
		})
	}
}
