package refmodel_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/internal/settings"
)

// toldAfter is when all that a silent watch has missed counts as told, wait how long a
// call may take to its head.
const toldAfter, wait = 6 * time.Second, 1100 * ms

// inBubble runs f beside a discovery, and ends all that it has started.
func inBubble(t *testing.T, d func() *fakeDiscovery, f func(ctx context.Context, d *fakeDiscovery)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := d()
		d.parts.Go(func() { d.run(ctx) })
		f(ctx, d)
		cancel()
		d.parts.Wait()
	})
}

// A watch falls silent, and then discovery hangs, answers 503, or is as it was. Two whole
// calls fit into the time after which what was missed counts as told, whatever the number
// of nodes; where two fail at once a third does.
func TestSilentWatch(t *testing.T) {
	for name, m := range map[string]manner{"answered": lists, "unanswered": hangs, "503": turns, "refused": refuses} {
		for _, n := range []int{1, 300} {
			t.Run(fmt.Sprint(name, " ", n), func(t *testing.T) {
				var first, second, third time.Duration // the latest of all seeds
				for seed := range uint64(60) {
					bad := func(call int) manner {
						if call == 0 {
							return lists
						}
						return m
					}
					inBubble(t, func() *fakeDiscovery { return newDiscovery(bad) }, func(ctx context.Context, d *fakeDiscovery) {
						f := d.follow(ctx, t, "n", seed, asked(n))
						time.Sleep(20 * time.Second)
						last := d.hush()
						time.Sleep(16 * time.Second)
						calls := d.since("n", last)
						if m == lists {
							if took := f.whole(last).Sub(last); len(calls) != 1 || took > calls[0]+5*ms {
								t.Fatalf("seed %d: the list came after %v, asked at %v", seed, took, calls)
							}
							calls = append(calls, 0, 0)
						}
						first, second, third = max(first, calls[0]), max(second, calls[1]), max(third, calls[2])
						for i := 4; i < len(calls); i++ { // discovery is down: it is asked now and then, but not seldom
							if gap := calls[i] - calls[i-1]; gap < 750*ms || m != hangs && gap > 1300*ms {
								t.Errorf("seed %d: calls at %v", seed, calls)
							}
						}
					})
				}
				t.Logf("calls leave at the latest after %v, %v, %v", first, second, third)
				if second+wait+100*ms > toldAfter {
					t.Errorf("the second call leaves after %v, and may not end in time", second)
				}
				if (m == turns || m == refuses) && third+wait > toldAfter {
					t.Errorf("the third call leaves after %v, and may not end in time", third)
				}
			})
		}
	}
}

// Three hundred watches fall silent in one moment, and discovery, which serves one call
// at a time, turns a tenth away. All have the list in time, but for who is turned away or
// dropped three times.
func TestManySilentWatches(t *testing.T) {
	const nodes = 300
	// What comes at one time comes in one order, and the race detector of go 1.26 breaks down
	// where so many timers of one bubble run on several processors.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			moods, times := rand.New(rand.NewPCG(seed, 3)), rand.New(rand.NewPCG(seed, 4))
			begin := func() *fakeDiscovery {
				d := newDiscovery(func(call int) manner {
					if call > 0 && moods.Float64() < 0.1 {
						return turns
					}
					return lists
				})
				d.takes = func() time.Duration { return 4*ms + upTo(times, 6*ms) }
				return d
			}
			inBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) {
				var all []*follower
				for i := range nodes {
					all = append(all, d.follow(ctx, t, fmt.Sprint("n", i), seed*nodes+uint64(i), asked(nodes)))
				}
				time.Sleep(8 * time.Second)
				last := d.hush()
				time.Sleep(12 * time.Second)
				latest, late, calls := time.Duration(0), 0, 0
				for i, f := range all {
					calls += len(d.since(fmt.Sprint("n", i), last))
					took := f.whole(last).Sub(last)
					latest = max(latest, took)
					if took <= 0 || took > toldAfter {
						late++
					}
				}
				t.Logf("the last has its list after %v, %d too late, %d calls", latest, late, calls)
				if late > nodes/100 {
					t.Errorf("%d of %d nodes have their list too late", late, nodes)
				}
			})
		})
	}
}

// A word that comes late, but by less than a quarter of the beat, breaks no watch.
func TestLateWords(t *testing.T) {
	for seed := range uint64(8) {
		rng := rand.New(rand.NewPCG(seed, 5))
		begin := func() *fakeDiscovery {
			d := newDiscovery(func(int) manner { return lists })
			d.beat = func() time.Duration { return 2*time.Second + upTo(rng, 490*ms) }
			return d
		}
		inBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) {
			d.follow(ctx, t, "n", seed, asked(1))
			time.Sleep(5 * time.Minute)
			if calls := d.since("n", time.Time{}); len(calls) != 1 {
				t.Errorf("seed %d: %d calls, want 1", seed, len(calls))
			}
		})
	}
}

// At SIGHUP another discovery is asked at once. Two whole calls fit into the 4 s after
// which its list counts as told, and it is asked for all it has.
func TestOtherDiscovery(t *testing.T) {
	for name, m := range map[string]manner{"unanswered": hangs, "503": turns, "refused": refuses} {
		for seed := range uint64(30) {
			begin := func() *fakeDiscovery {
				return newDiscovery(func(call int) manner {
					if call == 1 {
						return m
					}
					return lists
				})
			}
			inBubble(t, begin, func(ctx context.Context, d *fakeDiscovery) {
				f := d.follow(ctx, t, "n", seed, asked(300))
				time.Sleep(20 * time.Second)
				hup := time.Now()
				f.watch.SetAddress("discovery:2")
				time.Sleep(10 * time.Second)
				took := f.whole(hup).Sub(hup)
				if took <= 0 || took > 4*time.Second-wait || len(d.since("n", hup.Add(-1))) != 2 {
					t.Errorf("%s, seed %d: the list came after %v", name, seed, took)
				}
				if r := d.request["n"]; r != "discovery:2 GET /v1/endpoints?watch=1&from=0 HTTP/1.1" {
					t.Errorf("%s: %q", name, r)
				}
			})
		}
	}
}

// A pushed list has its watch from the first moment of a process, and anew after each
// end; what comes on it counts at once.
func TestPushedList(t *testing.T) {
	set, err := settings.Decode([]byte(`{"classes":[{"name":"feed","objective":0.3,"deadline":1,"effect":"read_like"}],
		"granularity":0.004,"nInstances":300,"limits":{"mostTries":4},"registryMode":"pushed"}`))
	if err != nil {
		t.Fatal(err)
	}
	inBubble(t, func() *fakeDiscovery { return newDiscovery(func(int) manner { return lists }) }, func(ctx context.Context, d *fakeDiscovery) {
		d.takes = func() time.Duration { return 0 }
		born := time.Now()
		f := d.follow(ctx, t, "n", 1, settings.ForWatch(set))
		time.Sleep(20 * time.Second)
		if calls := d.since("n", born.Add(-1)); len(calls) != 1 || calls[0] != 1 || f.whole(born.Add(-1)) != born {
			t.Errorf("calls at %v, the list came at %v, want both at the first moment", calls, f.whole(born))
		}
		for range 3 {
			last := d.hush()
			time.Sleep(20 * time.Second)
			if took := f.whole(last).Sub(last); took <= 0 || took > 3600*ms {
				t.Errorf("the list came %v after the watch fell silent", took)
			}
		}
		f.core.UpdateSettings(settings.ForWatch(set)) // as SIGHUP does
		last := d.hush()
		time.Sleep(20 * time.Second)
		if f.whole(last).IsZero() {
			t.Error("the list never came after a reload")
		}
	})
}
