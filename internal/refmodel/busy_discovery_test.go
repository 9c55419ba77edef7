package refmodel_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// busyCase is a discovery that needs 7.5 s to serve all nodes, which start at the same moment.
type busyCase struct {
	name   string
	nodes  int
	waits  time.Duration // for how long it lets calls wait; calls that waited longer are answered 503 and cost their time
	inTime float64       // the share of the nodes that has to have the list by notifyDeadline; 0.8 can be served by then
	within time.Duration // nearly all have to have it by then
}

var busyCases = []busyCase{
	{"lets calls wait for 2 s", 300, 2 * time.Second, 0.4, 20 * time.Second},
	{"lets calls wait for 2 s", 900, 2 * time.Second, 0.4, 20 * time.Second},
	{"lets calls wait", 300, time.Hour, 0.75, 9 * time.Second},
	{"lets calls wait", 900, time.Hour, 0.75, 9 * time.Second},
}

// discovery returns the discovery of the case.
func (tt busyCase) discovery() *fakeDiscovery {
	times := rand.New(rand.NewPCG(1, 4))
	d := newFakeDiscovery(func(int) callBehavior { return answersList })
	d.queueTimeout, d.chargesExpired = tt.waits, true
	if tt.waits < time.Hour {
		d.queueLimit = tt.nodes * 80 / herdNodes
	}
	d.serviceTime = func() time.Duration {
		return (22*ms + randomUpTo(times, 6*ms)) * herdNodes / time.Duration(tt.nodes)
	}
	return d
}

// deepQueues are how many calls a discovery that needs 7.5 s for all nodes lets wait, as a multiple of those that it can
// serve within their 2 s.
var deepQueues = []int{2, 5}

// A discovery that is crowded, and whose queue is deep, serves calls in vain that have waited too long, one after the
// other. The nodes let it recover: nearly all have the list in the end.
func TestCrowdedDiscoveryRecovers(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // as in TestManySilentWatchesAreReplacedInTime
	const nearlyAll, within = 0.95, 45 * time.Second
	for _, nodes := range []int{herdNodes, 3 * herdNodes} {
		for _, depth := range deepQueues {
			t.Run(fmt.Sprint(nodes, " nodes, a queue of ", depth, " times 2 s"), func(t *testing.T) {
				tt := busyCase{nodes: nodes, waits: 2 * time.Second}
				begin := func() *fakeDiscovery {
					d := tt.discovery()
					d.queueLimit *= depth
					return d
				}
				runInBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) {
					all, begun := startFollowers(ctx, t, d, nodes), time.Now()
					time.Sleep(within)
					if served := shareServed(all, begun); served < nearlyAll {
						t.Errorf("%.2f of the nodes have the list within %v", served, within)
					}
				})
			})
		}
	}
}

// startFollowers starts so many nodes at the same moment.
func startFollowers(ctx context.Context, t *testing.T, d *fakeDiscovery, nodes int) (all []*follower) {
	t.Helper()
	for i := range uint64(nodes) {
		all = append(all, d.startFollower(ctx, t, fmt.Sprint("n", i), i, pollSettings(nodes)))
	}
	return all
}

// shareServed is the share of the nodes that have a list since a time.
func shareServed(all []*follower, since time.Time) float64 {
	count := 0
	for _, f := range all {
		if !f.firstFullListAfter(since.Add(-1)).IsZero() {
			count++
		}
	}
	return float64(count) / float64(len(all))
}

// A discovery that is busy is not kept busy by the nodes: with calls that have waited too long, made again too soon, or
// with calls that are given up after they have waited for long.
func TestBusyDiscoveryIsNotKeptBusy(t *testing.T) {
	// As in TestManySilentWatchesAreReplacedInTime.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const nearlyAll = 0.95
	for _, tt := range busyCases {
		t.Run(fmt.Sprint(tt.nodes, " ", tt.name), func(t *testing.T) {
			runInBubble(t, tt.discovery, func(ctx context.Context, d *fakeDiscovery) {
				begun := time.Now()
				all := startFollowers(ctx, t, d, tt.nodes)
				time.Sleep(tt.within)
				inTime, served, calls := 0.0, shareServed(all, begun), 0
				for i, f := range all {
					calls += len(d.callsSince(fmt.Sprint("n", i), begun.Add(-1)))
					listAt := f.firstFullListAfter(begun.Add(-1))
					if !listAt.IsZero() && listAt.Sub(begun) <= notifyDeadline {
						inTime += 1 / float64(tt.nodes)
					}
				}
				t.Logf("%.2f of the nodes have the list within %v, %.2f within %v, %d calls", inTime, notifyDeadline, served, tt.within, calls)
				if inTime < tt.inTime || served < nearlyAll {
					t.Errorf("wanted: %.2f and %.2f", tt.inTime, nearlyAll)
				}
			})
		})
	}
}
