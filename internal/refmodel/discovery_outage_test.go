package refmodel_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// The ways in which discovery is down, a call fails, and any call is treated.
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

// withOutage returns a discovery with an outage that begins after from and lasts for length. During
// it calls are treated as down says, and the first call after it as first says.
func withOutage(down, first callBehavior, from, length time.Duration) func() *fakeDiscovery {
	return func() *fakeDiscovery {
		begun, back := time.Now().Add(from), time.Now().Add(from+length)
		d := newFakeDiscovery(func(int) callBehavior {
			switch now := time.Now(); {
			case now.Before(begun):
				return answersList
			case now.Before(back):
				return down
			}
			m := first
			first = answersList
			return m
		})
		d.closesWatches = true
		return d
	}
}

// withCallBehavior returns a discovery that treats one call of a node as m says, and answers the others.
func withCallBehavior(which int, m callBehavior) func() *fakeDiscovery {
	return func() *fakeDiscovery {
		return newFakeDiscovery(func(call int) callBehavior {
			if call == which {
				return m
			}
			return answersList
		})
	}
}

// leavesTimeForSecondCall reports whether a list that came after a second call would have come in
// time even if that call had taken as long as a call may.
func leavesTimeForSecondCall(took, in time.Duration) bool { return took > 0 && took+callTimeout <= in }

// However and for however long discovery was down, and however it then treats the first call: within
// 6 s of its return a node has made a second complete call, with every subscribe timeout.
func TestDiscoveryRecoveryIsNoticedInTime(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		for _, within := range []time.Duration{0, 20 * ms, 10 * time.Second, time.Hour} {
			for name, down := range outageKinds {
				t.Run(fmt.Sprint(n, " ", within, " ", name), func(t *testing.T) {
					latest, calls := time.Duration(0), 0
					for seed := range uint64(4) {
						length := 8*time.Second + time.Duration(seed)*310*ms
						runInBubble(t, withOutage(down, down, 20*time.Second, length), func(ctx context.Context, d *fakeDiscovery) {
							set := pollSettings(n)
							set.SubscribeTimeout = within
							f := d.startFollower(ctx, t, "n", seed, set)
							time.Sleep(20 * time.Second)
							begun := d.silenceWatches()
							time.Sleep(8 * time.Second)
							calls = max(calls, len(d.callsSince("n", begun)))
							back := begun.Add(length)
							time.Sleep(20 * time.Second)
							took := f.firstFullListAfter(back).Sub(back)
							if latest = max(latest, took); !leavesTimeForSecondCall(took, notifyDeadline) {
								t.Errorf("seed %d: the list came %v after the return", seed, took)
							}
						})
					}
					t.Logf("the list is there at the latest %v after the return; up to %d calls in 8 s", latest, calls)
				})
			}
		}
	}
}

// A list that stops in the middle, after a silent watch or an outage, is retried within the 6 s.
// One that comes slowly is retried in parallel, and the first complete list is taken.
func TestStalledListIsRetried(t *testing.T) {
	for _, n := range []int{1, 300} {
		for seed := range uint64(8) {
			for _, m := range []callBehavior{stallsMidList, answersSlowly} {
				runInBubble(t, withCallBehavior(1, m), func(ctx context.Context, d *fakeDiscovery) {
					f := d.startFollower(ctx, t, "n", seed, pollSettings(n))
					time.Sleep(20 * time.Second)
					last := d.silenceWatches()
					time.Sleep(20 * time.Second)
					calls := d.callsSince("n", last)
					took := f.firstFullListAfter(last).Sub(last)
					if !leavesTimeForSecondCall(took, notifyDeadline) || len(calls) != 2 {
						t.Errorf("%d nodes, seed %d: the list came %v after the last heartbeat, polled at %v", n, seed, took, calls)
					}
				})
			}
			outage := withOutage(refusesConnect, stallsMidList, 20*time.Second, 8*time.Second)
			runInBubble(t, outage, func(ctx context.Context, d *fakeDiscovery) {
				f := d.startFollower(ctx, t, "n", seed, pollSettings(n))
				time.Sleep(20 * time.Second)
				back := d.silenceWatches().Add(8 * time.Second)
				time.Sleep(28 * time.Second)
				if took := f.firstFullListAfter(back).Sub(back); !leavesTimeForSecondCall(took, notifyDeadline) {
					t.Errorf("%d nodes, seed %d: the list came %v after the return", n, seed, took)
				}
			})
		}
	}
}

// A configuration with another discovery address ends a backoff: the new address is polled at once,
// and a second complete call fits into its 4 s.
func TestNewDiscoveryAddressEndsBackoff(t *testing.T) {
	for name, m := range failures {
		latest := time.Duration(0)
		for seed := range uint64(8) {
			length := 12*time.Second + time.Duration(seed)*190*ms
			runInBubble(t, withOutage(refusesConnect, m, 20*time.Second, length), func(ctx context.Context, d *fakeDiscovery) {
				f := d.startFollower(ctx, t, "n", seed, pollSettings(300))
				time.Sleep(20 * time.Second)
				d.silenceWatches()
				time.Sleep(length + ms)
				hup := time.Now()
				f.watch.SetAddress("discovery:2")
				time.Sleep(10 * time.Second)
				calls := d.callsSince("n", hup.Add(-1))
				took := f.firstFullListAfter(hup).Sub(hup)
				if latest = max(latest, took); !leavesTimeForSecondCall(took, 4*time.Second) || calls[0] > ms {
					t.Errorf("%s, seed %d: the list came after %v, asked at %v", name, seed, took, calls)
				}
			})
		}
		t.Logf("%s: the list is there at the latest after %v", name, latest)
	}
}

// Watches fall silent or end when they have just begun: a drain right after it is known within 6 s,
// though the first call is rejected.
func TestEarlyWatchEndIsRetriedInTime(t *testing.T) {
	for _, n := range []int{1, 300} {
		for _, ends := range []bool{false, true} {
			for _, after := range []time.Duration{0, 300 * ms, 990 * ms, 1990 * ms} {
				for seed := range uint64(4) {
					runInBubble(t, withCallBehavior(1, answers503), func(ctx context.Context, d *fakeDiscovery) {
						d.closesWatches = ends
						f := d.startFollower(ctx, t, "n", seed, pollSettings(n))
						for f.firstFullListAfter(time.Time{}).IsZero() {
							time.Sleep(ms)
						}
						time.Sleep(after)
						last := d.silenceWatches()
						time.Sleep(10 * time.Second)
						if took := f.firstFullListAfter(last).Sub(last); !leavesTimeForSecondCall(took, notifyDeadline) {
							t.Errorf("%d nodes, ends %v after %v, seed %d: the list came after %v", n, ends, after, seed, took)
						}
					})
				}
			}
		}
	}
}

// A process that starts, alone or with all others, has time for a second complete call within 6 s,
// however its first one is treated. Alone it has its list at once.
func TestProcessStartGetsListInTime(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		for name, m := range behaviors {
			var took []time.Duration
			for seed := range uint64(6) {
				runInBubble(t, withCallBehavior(0, m), func(ctx context.Context, d *fakeDiscovery) {
					born := time.Now()
					f := d.startFollower(ctx, t, "n", seed, pollSettings(n))
					time.Sleep(20 * time.Second)
					took = append(took, f.firstFullListAfter(born.Add(-1)).Sub(born))
					if !leavesTimeForSecondCall(took[seed], notifyDeadline) || n == 1 && m == answersList && took[seed] > 10*ms {
						t.Errorf("%d nodes, %s, seed %d: the list came after %v", n, name, seed, took[seed])
					}
				})
			}
			t.Logf("%d nodes, %s: the list is there at the latest after %v", n, name, slices.Max(took))
		}
	}
}
