package refmodel_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"
)

// A crowd is a discovery that answers 503 at once while it has too many callers: nodes whose watches have ended, and
// nodes that start. It can be reached, so that what it has to tell counts after notifyDeadline.
const (
	crowdNodes   = 300
	crowdWarmUp  = 60 * time.Second // until all nodes have their watches, and discovery's queue is empty
	restartAfter = 2 * time.Second  // after the crowd's begin seven in ten nodes are replaced by processes that start
	crowdWatched = 20 * time.Second
	samplePause  = 50 * ms
)

// followers are the nodes of a crowd.
type followers struct {
	watched []*follower // those that had a watch
	started []*follower // those that start in the crowd
}

// playCrowd has all watches end, answers all calls 503 for the time of an outage, and then has most nodes start again.
// It returns the nodes, and since when discovery could be reached.
func playCrowd(ctx context.Context, t *testing.T, d *fakeDiscovery, outage time.Duration) (nodes followers, begun time.Time) {
	d.closesWatches = true
	ending, end := context.WithCancel(ctx)
	t.Cleanup(end)
	for i := range uint64(crowdNodes) {
		if isReplaced := i%10 >= 3; isReplaced {
			d.startFollower(ending, t, fmt.Sprint("old", i), i, pollSettings(crowdNodes))
		} else {
			nodes.watched = append(nodes.watched, d.startFollower(ctx, t, fmt.Sprint("n", i), i, pollSettings(crowdNodes)))
		}
	}
	time.Sleep(crowdWarmUp)
	d.isDown.Store(true)
	d.silenceWatches()
	time.Sleep(outage)
	d.isDown.Store(false)
	begun = time.Now()
	time.Sleep(restartAfter)
	end()
	for i := len(nodes.watched); i < crowdNodes; i++ {
		f := d.startFollower(ctx, t, fmt.Sprint("new", i), uint64(crowdNodes+i), pollSettings(crowdNodes))
		nodes.started = append(nodes.started, f)
	}
	return nodes, begun
}

// countOverdue is how many nodes rely on a list for longer than notifyDeadline after it was last confirmed, or after
// discovery could be reached again since.
func countOverdue(all []*follower, reachableSince time.Time) (count int) {
	overdue := map[*follower]bool{}
	for begun := time.Now(); time.Since(begun) < crowdWatched; time.Sleep(samplePause) {
		now := time.Now()
		for _, f := range all {
			status, vouchedAt := f.watch.Status(), reachableSince
			if status.ConfirmedAt.After(vouchedAt) {
				vouchedAt = status.ConfirmedAt
			}
			if status.IsValid(now) && now.Sub(vouchedAt) > notifyDeadline+samplePause {
				overdue[f] = true
			}
		}
	}
	return len(overdue)
}

// How long discovery is down before its crowd; not at all where watches were reset.
const noOutage, longOutage = 0, 8 * time.Second

// The queues of a crowded discovery, as multiples of the calls that it can serve within their 2 s. Where the queue is
// deep most calls wait in vain, where it is shallow most are rejected at once.
const shallowQueue, deepQueue = 1, 5

// Processes that start in a crowd do not rely on their list for longer than they may.
func TestStartsInACrowdStopInTime(t *testing.T) {
	chosen := func(nodes followers) []*follower { return nodes.started }
	testCrowd(t, shallowQueue, chosen, noOutage, longOutage)
	testCrowd(t, deepQueue, chosen, noOutage, longOutage)
}

func watchedNodes(nodes followers) []*follower { return nodes.watched }

// Nor do nodes whose watches an outage has ended, if discovery lets their calls wait after it.
func TestEndedWatchesInACrowdStopInTime(t *testing.T) {
	testCrowd(t, deepQueue, watchedNodes, longOutage)
}

// Nor those whose watches were reset, while discovery was up. Once 20 of 90 failed at it: beside a call that waits in the
// queue a second one was answered 503 at once, and that passed for an outage and renewed the lease.
func TestResetWatchesInACrowdStopInTime(t *testing.T) {
	testCrowd(t, deepQueue, watchedNodes, noOutage)
}

// Nor those whose calls are all answered 503 at once. Once 56 and 33 of 90 failed at it: after a watch that discovery had
// ended, 503 at once passed for an outage. It is a full queue's answer too, as the records of the same node in both runs
// show: its watch ends at 0 s, and its calls of 0.97, 1.10 and 1.56 s are answered 503 at once, in one run by a queue
// that is full and in the other by a service that is down.
func TestEndedWatchesBesideAFullQueueStopInTime(t *testing.T) {
	testCrowd(t, shallowQueue, watchedNodes, noOutage, longOutage)
}

func testCrowd(t *testing.T, depth int, chosen func(nodes followers) []*follower, outages ...time.Duration) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in TestManySilentWatchesAreReplacedInTime
	for _, outage := range outages {
		t.Run(fmt.Sprint("down for ", outage, ", a queue of ", depth, " times 2 s"), func(t *testing.T) {
			begin := func() *fakeDiscovery {
				d := busyCase{nodes: crowdNodes, waits: 2 * time.Second}.discovery()
				d.queueLimit *= depth
				return d
			}
			runInBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) {
				nodes, begun := playCrowd(ctx, t, d, outage)
				all := chosen(nodes)
				if isStart := all[0] == nodes.started[0]; isStart {
					begun = begun.Add(restartAfter)
				}
				if count := countOverdue(all, begun); count > 0 {
					t.Errorf("%d of %d nodes rely on a list for over %v", count, len(all), notifyDeadline)
				}
			})
		})
	}
}
