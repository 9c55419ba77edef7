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
	herdLead     = 4 * time.Second // before the outage or the silence
	herdOutage   = 8 * time.Second
	slowCallTime = 21500 * time.Microsecond // of the slow discovery, in the mean
)

// herdCase is a moment at which all nodes want the list.
type herdCase struct {
	event          string // "starts", "silent", or how discovery is back
	slow           bool
	skipsAbandoned bool
	before         callBehavior  // discovery until the moment; answersList: watches fall silent at it
	spent          time.Duration // of the notifyDeadline, before any node can know
	lateShare      float64       // of the nodes that may be late, beyond those that discovery can't serve
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

// Three hundred nodes want the list at the same moment: all start, or discovery is back, or all
// watches have fallen silent. Quick, discovery serves all in 2 s and rejects a tenth; slow, it serves
// them in 6.5 s and lets a call wait for 3 s, and a call whose client gave up takes service time or
// not. As many nodes as it can serve by then have the list within 6 s, and their calls do not starve
// each other.
func TestThunderingHerdIsServedInTime(t *testing.T) {
	// As in TestManySilentWatchesAreReplacedInTime.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const seed = 0
	for _, tt := range herdCases {
		t.Run(fmt.Sprintf("%s, slow %v, free %v, seed %d", tt.event, tt.slow, tt.skipsAbandoned, seed), func(t *testing.T) {
			begin := func() *fakeDiscovery { return tt.discovery(seed) }
			runInBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) { tt.run(ctx, t, d, seed) })
		})
	}
}

// discovery returns the discovery of the case, which starts now.
func (tt herdCase) discovery(seed uint64) *fakeDiscovery {
	rejections, times := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
	failsAt := time.Now().Add(herdLead)
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
	var all []*follower
	for i := range uint64(herdNodes) {
		node := fmt.Sprint("n", i)
		all = append(all, d.startFollower(ctx, t, node, seed*herdNodes+i, pollSettings(herdNodes)))
	}
	moment := time.Now()
	if tt.event != "starts" {
		time.Sleep(herdLead)
		moment = d.silenceWatches()
	}
	if tt.event != "starts" && tt.before != answersList {
		time.Sleep(herdOutage)
		moment = time.Now()
	}
	time.Sleep(25 * time.Second)
	var took []time.Duration
	late, calls := 0, 0
	for i, f := range all {
		calls += len(d.callsSince(fmt.Sprint("n", i), moment.Add(-1)))
		listAfter := f.firstFullListAfter(moment.Add(-1)).Sub(moment)
		took = append(took, listAfter)
		if listAfter <= 0 || listAfter > notifyDeadline {
			late++
		}
	}
	t.Logf("the list is there after %v (half), %v (last); %d too late; %d calls",
		took[herdNodes/2], slices.Max(took), late, calls)
	if allowed := tt.allowedLate(); late > allowed {
		t.Errorf("%d nodes have their list too late, at most %d may", late, allowed)
	}
}

// allowedLate is how many nodes may have their list too late.
func (tt herdCase) allowedLate() int {
	allowed := int(tt.lateShare * herdNodes)
	if tt.slow {
		allowed += herdNodes - int((notifyDeadline-tt.spent)/slowCallTime)
	}
	return allowed
}
