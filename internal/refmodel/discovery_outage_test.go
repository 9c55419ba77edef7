package refmodel_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// The ways in which discovery may be down, a call may fail, and any call may be treated, by name.
var (
	outageKinds = map[string]callBehavior{
		"refused": refusesConnect, "503": answers503, "cut": connectTimesOut,
	}
	failures = map[string]callBehavior{
		"refused": refusesConnect, "503": answers503, "unanswered": neverAnswers,
		"cut": connectTimesOut, "stalled": stallsMidList,
	}
	behaviors = map[string]callBehavior{
		"listed": answersList, "refused": refusesConnect, "503": answers503, "unanswered": neverAnswers,
		"cut": connectTimesOut, "stalled": stallsMidList,
	}
)

// withOutage returns a constructor of a discovery with an outage that begins after from and lasts for
// length. Calls are treated as in down during the outage, and the first call after it as in first.
func withOutage(down, first callBehavior, from, length time.Duration) func() *fakeDiscovery {
	return func() *fakeDiscovery {
		outageStart, outageEnd := time.Now().Add(from), time.Now().Add(from+length)
		d := newFakeDiscovery(func(int) callBehavior {
			switch now := time.Now(); {
			case now.Before(outageStart):
				return answersList
			case now.Before(outageEnd):
				return down
			}
			behavior := first
			first = answersList
			return behavior
		})
		d.closesWatches = true
		return d
	}
}

// withCallBehavior returns a constructor of a discovery that treats one call of a node as in behavior, and
// answers the others.
func withCallBehavior(number int, behavior callBehavior) func() *fakeDiscovery {
	return func() *fakeDiscovery {
		return newFakeDiscovery(func(call int) callBehavior {
			if call == number {
				return behavior
			}
			return answersList
		})
	}
}

// leavesTimeForSecondCall reports whether a list that arrived with a second call would have arrived in
// time even if that call had taken as long as callTimeout.
func leavesTimeForSecondCall(took, limit time.Duration) bool {
	return took > 0 && took+callTimeout <= limit
}

// After an outage of any kind and length, and for any treatment of the first call after it, a node has
// made a second complete call within 6 s of the outage's end, with every subscribe timeout.
func TestDiscoveryRecoveryIsNoticedInTime(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		for _, subscribeTimeout := range []time.Duration{0, 20 * ms, 10 * time.Second, time.Hour} {
			for name, down := range outageKinds {
				t.Run(fmt.Sprint(n, " ", subscribeTimeout, " ", name), func(t *testing.T) {
					latest, calls := time.Duration(0), 0
					for seed := range uint64(4) {
						length := 8*time.Second + time.Duration(seed)*310*ms
						runInBubble(t, withOutage(down, down, 20*time.Second, length), func(ctx context.Context, d *fakeDiscovery) {
							set := pollSettings(n)
							set.SubscribeTimeout = subscribeTimeout
							w := d.startListWatcher(ctx, t, "n", seed, set)
							time.Sleep(20 * time.Second)
							outageStart := d.silenceWatches()
							time.Sleep(8 * time.Second)
							calls = max(calls, len(d.callsSince("n", outageStart)))
							outageEnd := outageStart.Add(length)
							time.Sleep(20 * time.Second)
							took := w.firstFullListAfter(outageEnd).Sub(outageEnd)
							if latest = max(latest, took); !leavesTimeForSecondCall(took, notifyDeadline) {
								t.Errorf("seed %d: the list arrived %v after the outage", seed, took)
							}
						})
					}
					t.Logf("the list arrived up to %v after the outage; up to %d calls in 8 s", latest, calls)
				})
			}
		}
	}
}

// After a silent watch or an outage, a list that stops in the middle is retried within the 6 s. A list
// that arrives slowly is retried in parallel, and the first complete list is used.
func TestStalledListIsRetried(t *testing.T) {
	for _, n := range []int{1, 300} {
		for seed := range uint64(8) {
			for _, behavior := range []callBehavior{stallsMidList, answersSlowly} {
				runInBubble(t, withCallBehavior(1, behavior), func(ctx context.Context, d *fakeDiscovery) {
					w := d.startListWatcher(ctx, t, "n", seed, pollSettings(n))
					time.Sleep(20 * time.Second)
					last := d.silenceWatches()
					time.Sleep(20 * time.Second)
					calls := d.callsSince("n", last)
					took := w.firstFullListAfter(last).Sub(last)
					if !leavesTimeForSecondCall(took, notifyDeadline) || len(calls) != 2 {
						t.Errorf("%d nodes, seed %d: the list arrived %v after the last heartbeat, calls at %v", n, seed, took, calls)
					}
				})
			}
			outage := withOutage(refusesConnect, stallsMidList, 20*time.Second, 8*time.Second)
			runInBubble(t, outage, func(ctx context.Context, d *fakeDiscovery) {
				w := d.startListWatcher(ctx, t, "n", seed, pollSettings(n))
				time.Sleep(20 * time.Second)
				end := d.silenceWatches().Add(8 * time.Second)
				time.Sleep(28 * time.Second)
				if took := w.firstFullListAfter(end).Sub(end); !leavesTimeForSecondCall(took, notifyDeadline) {
					t.Errorf("%d nodes, seed %d: the list arrived %v after the outage", n, seed, took)
				}
			})
		}
	}
}

// A reload with another discovery address ends a backoff: the new address is polled at once, and a
// second complete call fits into the 4 s after which its list counts as notified.
func TestNewDiscoveryAddressEndsBackoff(t *testing.T) {
	for name, behavior := range failures {
		latest := time.Duration(0)
		for seed := range uint64(8) {
			length := 12*time.Second + time.Duration(seed)*190*ms
			runInBubble(t, withOutage(refusesConnect, behavior, 20*time.Second, length), func(ctx context.Context, d *fakeDiscovery) {
				w := d.startListWatcher(ctx, t, "n", seed, pollSettings(300))
				time.Sleep(20 * time.Second)
				d.silenceWatches()
				time.Sleep(length + ms)
				reloadedAt := time.Now()
				w.watcher.SetAddress("discovery:2")
				time.Sleep(10 * time.Second)
				calls := d.callsSince("n", reloadedAt.Add(-1))
				took := w.firstFullListAfter(reloadedAt).Sub(reloadedAt)
				if latest = max(latest, took); !leavesTimeForSecondCall(took, 4*time.Second) || calls[0] > ms {
					t.Errorf("%s, seed %d: the list arrived after %v, calls at %v", name, seed, took, calls)
				}
			})
		}
		t.Logf("%s: the list arrived at the latest after %v", name, latest)
	}
}

// Watches fall silent or end shortly after they have begun. The nodes have the list again within 6 s,
// although the first call is rejected, so that they learn of a drain right after the watch's end.
func TestEarlyWatchEndIsRetriedInTime(t *testing.T) {
	for _, n := range []int{1, 300} {
		for _, ends := range []bool{false, true} {
			for _, after := range []time.Duration{0, 300 * ms, 990 * ms, 1990 * ms} {
				for seed := range uint64(4) {
					runInBubble(t, withCallBehavior(1, answers503), func(ctx context.Context, d *fakeDiscovery) {
						d.closesWatches = ends
						w := d.startListWatcher(ctx, t, "n", seed, pollSettings(n))
						for w.firstFullListAfter(time.Time{}).IsZero() {
							time.Sleep(ms)
						}
						time.Sleep(after)
						last := d.silenceWatches()
						time.Sleep(10 * time.Second)
						if took := w.firstFullListAfter(last).Sub(last); !leavesTimeForSecondCall(took, notifyDeadline) {
							t.Errorf("%d nodes, ends %v after %v, seed %d: the list arrived after %v", n, ends, after, seed, took)
						}
					})
				}
			}
		}
	}
}

// A process that starts, alone or with all others, has time for a second complete call within 6 s, for
// any treatment of its first one. A single node has its list at once.
func TestProcessStartGetsListInTime(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		for name, behavior := range behaviors {
			var took []time.Duration
			for seed := range uint64(6) {
				runInBubble(t, withCallBehavior(0, behavior), func(ctx context.Context, d *fakeDiscovery) {
					startedAt := time.Now()
					w := d.startListWatcher(ctx, t, "n", seed, pollSettings(n))
					time.Sleep(20 * time.Second)
					took = append(took, w.firstFullListAfter(startedAt.Add(-1)).Sub(startedAt))
					if !leavesTimeForSecondCall(took[seed], notifyDeadline) || n == 1 && behavior == answersList && took[seed] > 10*ms {
						t.Errorf("%d nodes, %s, seed %d: the list arrived after %v", n, name, seed, took[seed])
					}
				})
			}
			t.Logf("%d nodes, %s: the list arrived at the latest after %v", n, name, slices.Max(took))
		}
	}
}
