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
	name        string
	nodes       int
	maxWait     time.Duration // calls that wait longer are answered 503, and take service time all the same
	shareInTime float64       // minimum share of nodes with the list by notifyDeadline; 0.8 could be served
	deadline    time.Duration // nearly all nodes must have the list by then
}

var busyCases = []busyCase{
	{"nodes, a queue timeout of 2 s", 300, 2 * time.Second, 0.4, 20 * time.Second},
	{"nodes, a queue timeout of 2 s", 900, 2 * time.Second, 0.4, 20 * time.Second},
	{"nodes, no queue timeout", 300, time.Hour, 0.75, 9 * time.Second},
	{"nodes, no queue timeout", 900, time.Hour, 0.75, 9 * time.Second},
}

// discovery returns the discovery of the case.
func (tt busyCase) discovery() *fakeDiscovery {
	times := rand.New(rand.NewPCG(1, 4))
	d := newFakeDiscovery(func(int) callBehavior { return answersList })
	d.queueTimeout, d.processesExpired = tt.maxWait, true
	if tt.maxWait < time.Hour {
		d.queueLimit = tt.nodes * 80 / herdNodes
	}
	d.serviceTime = func() time.Duration {
		return (22*ms + randomUpTo(times, 6*ms)) * herdNodes / time.Duration(tt.nodes)
	}
	return d
}

// queueDepths are the lengths of the queue of a discovery that needs 7.5 s for all nodes, as multiples
// of the calls that it can serve within their timeout of 2 s.
var queueDepths = []int{2, 5}

// An overloaded discovery with a deep queue spends its time on calls that have already timed out. The
// nodes let it recover: nearly all have the list in the end.
func TestOverloadedDiscoveryRecovers(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // see TestManySilentWatchesAreReplacedInTime
	const nearlyAll, within = 0.95, 45 * time.Second
	for _, nodes := range []int{herdNodes, 3 * herdNodes} {
		for _, depth := range queueDepths {
			t.Run(fmt.Sprint(nodes, " nodes, a queue of ", depth, " times 2 s"), func(t *testing.T) {
				tt := busyCase{nodes: nodes, maxWait: 2 * time.Second}
				newDiscovery := func() *fakeDiscovery {
					d := tt.discovery()
					d.queueLimit *= depth
					return d
				}
				runInBubble(t, newDiscovery, func(ctx context.Context, d *fakeDiscovery) {
					watchers, start := startListWatchers(ctx, t, d, nodes), time.Now()
					time.Sleep(within)
					if served := shareServed(watchers, start); served < nearlyAll {
						t.Errorf("%.2f of the nodes have the list within %v", served, within)
					}
				})
			})
		}
	}
}

// startListWatchers starts a number of nodes at the same moment.
func startListWatchers(ctx context.Context, t *testing.T, d *fakeDiscovery, nodes int) (watchers []*listWatcher) {
	t.Helper()
	for i := range uint64(nodes) {
		watchers = append(watchers, d.startListWatcher(ctx, t, fmt.Sprint("n", i), i, pollSettings(nodes)))
	}
	return watchers
}

// shareServed returns the share of the nodes that have received a list since a time.
func shareServed(watchers []*listWatcher, since time.Time) float64 {
	count := 0
	for _, w := range watchers {
		if !w.firstFullListAfter(since.Add(-1)).IsZero() {
			count++
		}
	}
	return float64(count) / float64(len(watchers))
}

// The nodes do not prolong the overload of a discovery: neither by repeating calls too soon that have
// waited too long, nor by giving up calls that have waited for long.
func TestNodesDoNotProlongOverload(t *testing.T) {
	// See TestManySilentWatchesAreReplacedInTime.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const nearlyAll = 0.95
	for _, tt := range busyCases {
		t.Run(fmt.Sprint(tt.nodes, " ", tt.name), func(t *testing.T) {
			runInBubble(t, tt.discovery, func(ctx context.Context, d *fakeDiscovery) {
				start := time.Now()
				watchers := startListWatchers(ctx, t, d, tt.nodes)
				time.Sleep(tt.deadline)
				shareInTime, served, calls := 0.0, shareServed(watchers, start), 0
				for i, w := range watchers {
					calls += len(d.callsSince(fmt.Sprint("n", i), start.Add(-1)))
					listAt := w.firstFullListAfter(start.Add(-1))
					if !listAt.IsZero() && listAt.Sub(start) <= notifyDeadline {
						shareInTime += 1 / float64(tt.nodes)
					}
				}
				t.Logf("%.2f of the nodes have the list within %v, %.2f within %v; %d calls", shareInTime, notifyDeadline, served, tt.deadline, calls)
				if shareInTime < tt.shareInTime || served < nearlyAll {
					t.Errorf("want shares of at least %.2f and %.2f", tt.shareInTime, nearlyAll)
				}
			})
		})
	}
}
