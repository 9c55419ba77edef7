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

// Three hundred nodes want the list at one moment: all start, or discovery is back, or all
// watches have fallen silent. Quick, it serves all in 2 s and turns a tenth away; slow, it
// serves them in 6.5 s and lets a call wait for 3 s, and one that is given up costs its turn
// or not. As many as it can serve by then have the list within 6 s, and their calls do not
// crowd each other out.
func TestThunderingHerdIsServedInTime(t *testing.T) {
	const nodes, lead, outage = 300, 4 * time.Second, 8 * time.Second
	const pace = 21500 * time.Microsecond // of the slow one
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	tests := []struct {
		what   string
		slow   bool
		free   bool
		before callBehavior  // how discovery is until then; lists: watches fall silent then
		spent  time.Duration // of the 6 s before anybody can know
		share  float64       // of those that may be late, beyond whom discovery can't serve
	}{
		{"starts", false, false, refusesConnect, 0, 0.01},
		{"back", false, false, refusesConnect, 0, 0.01},
		{"back from a cut", false, false, connectTimesOut, 0, 0.01},
		{"starts", true, false, refusesConnect, 0, 0.05},
		{"back", true, false, refusesConnect, 0, 0.05},
		{"back from a cut", true, false, connectTimesOut, 0, 0.1},
		{"silent", true, false, answersList, 2500 * ms, 0.02},
		{"silent", true, true, answersList, 2500 * ms, 0.02},
	}
	for _, tt := range tests {
		for seed := range uint64(1) {
			t.Run(fmt.Sprintf("%s, slow %v, free %v, seed %d", tt.what, tt.slow, tt.free, seed), func(t *testing.T) {
				moods, times := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
				begin := func() *fakeDiscovery {
					falls := time.Now().Add(lead)
					moment := falls
					switch {
					case tt.what == "starts":
						moment = time.Now()
					case tt.before != answersList:
						moment = falls.Add(outage)
					}
					d := newFakeDiscovery(func(int) callBehavior {
						switch now := time.Now(); {
						case now.Before(moment) && now.Before(falls):
							return answersList
						case now.Before(moment):
							return tt.before
						case !tt.slow && moods.Float64() < 0.1:
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
					d.skipsAbandoned, d.closesWatches = tt.free, tt.before != answersList
					if tt.slow {
						d.queueTimeout = 3 * time.Second
					}
					return d
				}
				runInBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) {
					var all []*follower
					for i := range nodes {
						all = append(all, d.startFollower(ctx, t, fmt.Sprint("n", i), seed*nodes+uint64(i), pollSettings(nodes)))
					}
					moment := time.Now()
					if tt.what != "starts" {
						time.Sleep(lead)
						moment = d.silenceWatches()
					}
					if tt.what != "starts" && tt.before != answersList {
						time.Sleep(outage)
						moment = time.Now()
					}
					time.Sleep(25 * time.Second)
					var took []time.Duration
					late, calls := 0, 0
					for i, f := range all {
						calls += len(d.callsSince(fmt.Sprint("n", i), moment.Add(-1)))
						last := f.firstFullListAfter(moment.Add(-1)).Sub(moment)
						if took = append(took, last); last <= 0 || last > notifyDeadline {
							late++
						}
					}
					t.Logf("the list is there after %v (half), %v (last); %d too late; %d calls", took[nodes/2], slices.Max(took), late, calls)
					may := int(tt.share * nodes)
					if tt.slow {
						may += nodes - int((notifyDeadline-tt.spent)/pace)
					}
					if late > may {
						t.Errorf("%d nodes have their list too late, at most %d may", late, may)
					}
				})
			})
		}
	}
}
