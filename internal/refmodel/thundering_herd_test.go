package refmodel_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"
)

const (
	herdNodes    = 300
	herdWarmUp   = 4 * time.Second // from the start until watches end or fall silent
	herdOutage   = 8 * time.Second
	slowCallTime = 21500 * time.Microsecond // mean service time of the slow discovery
)

// herdCase is a moment at which all nodes request the list.
type herdCase struct {
	event          string // "starts", "silent", or how discovery is reachable again
	slow           bool
	skipsAbandoned bool
	before         callBehavior  // discovery until the moment; answersList: watches fall silent then
	detectionDelay time.Duration // part of notifyDeadline before any node can notice the event
	lateShare      float64       // share of nodes that may be late beyond those that can't be served
}

var herdCases = []herdCase{
	{"starts", false, false, refusesConnect, 0, 0.01},
	{"back", false, false, refusesConnect, 0, 0.01},
	{"back from a cut", false, false, connectTimesOut, 0, 0.01},
	{"starts", true, false, refusesConnect, 0, 0.05},
	{"back", true, false, refusesConnect, 0, 0.05},
	{"back from a cut", true, false, connectTimesOut, 0, 0.1},
	{"silent", true, false, answersList, 2500 * ms, 0.02},
	{"silent", true, true, answersList, 2500 * ms, 0.02},
}

// Three hundred nodes request the list at the same moment: all start, or discovery is reachable again,
// or all watches have fallen silent. A fast discovery serves all nodes in 2 s and rejects a tenth of the
// calls. A slow one serves them in 6.5 s and lets a call wait for 3 s; calls whose clients gave up take
// service time or not, by the case. As many nodes as discovery can serve within 6 s have the list by
// then, and their calls do not starve each other.
func TestThunderingHerdIsServedInTime(t *testing.T) {
	// See TestManySilentWatchesAreReplacedInTime.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const seed = 0
	for _, tt := range herdCases {
		t.Run(fmt.Sprintf("%s, slow %v, skips abandoned %v, seed %d",
			tt.event, tt.slow, tt.skipsAbandoned, seed), func(t *testing.T) {
			newDiscovery := func() *fakeDiscovery { return tt.discovery(seed) }
			runInBubble(t, newDiscovery, func(ctx context.Context, d *fakeDiscovery) { tt.run(ctx, t, d, seed) })
		})
	}
}

// discovery returns the discovery of the case, which starts now.
func (tt herdCase) discovery(seed uint64) *fakeDiscovery {
	rejections, times := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
	failsAt := time.Now().Add(herdWarmUp)
	moment := failsAt
	switch {
	case tt.event == "starts":
		moment = time.Now()
	case tt.before != answersList:
		moment = failsAt.Add(herdOutage)
	}
	d := newFakeDiscovery(func(int) callBehavior {
		switch now := time.Now(); {
		case now.Before(moment) && now.Before(failsAt):
			return answersList
		case now.Before(moment):
			return tt.before
		case !tt.slow && rejections.Float64() < 0.1:
			return answers503
		}
		return answersList
	})
	d.serviceTime = func() time.Duration {
		switch {
		case time.Now().Before(moment):
			return 0
		case tt.slow:
			return 16*ms + randomUpTo(times, 11*ms)
		}
		return 4*ms + randomUpTo(times, 6*ms)
	}
	d.skipsAbandoned, d.closesWatches = tt.skipsAbandoned, tt.before != answersList
	if tt.slow {
		d.queueTimeout = 3 * time.Second
	}
	return d
}

// run starts all nodes and checks when they have the list.
func (tt herdCase) run(ctx context.Context, t *testing.T, d *fakeDiscovery, seed uint64) {
	var watchers []*listWatcher
	for i := range uint64(herdNodes) {
		node := fmt.Sprint("n", i)
		watchers = append(watchers, d.startListWatcher(ctx, t, node, seed*herdNodes+i, pollSettings(herdNodes)))
	}
	moment := time.Now()
	if tt.event != "starts" {
		time.Sleep(herdWarmUp)
		moment = d.silenceWatches()
	}
	if tt.event != "starts" && tt.before != answersList {
		time.Sleep(herdOutage)
		moment = time.Now()
	}
	time.Sleep(25 * time.Second)
	var took []time.Duration
	late, calls := 0, 0
	for i, w := range watchers {
		calls += len(d.callsSince(fmt.Sprint("n", i), moment.Add(-1)))
		listAfter := w.firstFullListAfter(moment.Add(-1)).Sub(moment)
		took = append(took, listAfter)
		if listAfter <= 0 || listAfter > notifyDeadline {
			late++
		}
	}
	t.Logf("the list arrived after %v (half), %v (last); %d too late; %d calls",
		took[herdNodes/2], slices.Max(took), late, calls)
	if allowed := tt.allowedLate(); late > allowed {
		t.Errorf("%d nodes have their list too late, want at most %d", late, allowed)
	}
}

// allowedLate returns how many nodes may have their list too late.
func (tt herdCase) allowedLate() int {
	allowed := int(tt.lateShare * herdNodes)
	if tt.slow {
		allowed += herdNodes - int((notifyDeadline-tt.detectionDelay)/slowCallTime)
	}
	return allowed
}
