package refmodel_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// falls returns a discovery that a node finds as down says from a time of its life on, and
// for a length. Then it takes the first call as first says.
func falls(down, first manner, from, length time.Duration) func() *fakeDiscovery {
	return func() *fakeDiscovery {
		begun, back := time.Now().Add(from), time.Now().Add(from+length)
		d := newDiscovery(func(int) manner {
			switch now := time.Now(); {
			case now.Before(begun):
				return lists
			case now.Before(back):
				return down
			}
			m := first
			first = lists
			return m
		})
		d.ends = true
		return d
	}
}

// taken is a discovery that takes one call of a node as m says, and the others well.
func taken(which int, m manner) func() *fakeDiscovery {
	return func() *fakeDiscovery {
		return newDiscovery(func(call int) manner {
			if call == which {
				return m
			}
			return lists
		})
	}
}

// intime tells whether a list that came after a second call would have come in time too if
// that call had taken as long as one may.
func intime(took, in time.Duration) bool { return took > 0 && took+wait <= in }

// However discovery was down and for however long, and however it then takes the first
// call: within 6 s of its return a node has made a second whole call, on every setting.
func TestDiscoveryIsBack(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		for _, within := range []time.Duration{0, 20 * ms, 10 * time.Second, time.Hour} {
			for name, down := range map[string]manner{"refused": refuses, "503": turns, "cut": cut} {
				t.Run(fmt.Sprint(n, " ", within, " ", name), func(t *testing.T) {
					latest, calls := time.Duration(0), 0
					for seed := range uint64(4) {
						length := 8*time.Second + time.Duration(seed)*310*ms
						inBubble(t, falls(down, down, 20*time.Second, length), func(ctx context.Context, d *fakeDiscovery) {
							set := asked(n)
							set.SubscribeTimeout = within
							f := d.follow(ctx, t, "n", seed, set)
							time.Sleep(20 * time.Second)
							begun := d.hush()
							time.Sleep(8 * time.Second)
							calls = max(calls, len(d.since("n", begun)))
							back := begun.Add(length)
							time.Sleep(20 * time.Second)
							took := f.whole(back).Sub(back)
							if latest = max(latest, took); !intime(took, toldAfter) {
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

// A list that stops in its middle after a silent watch, or after an outage, has its second
// call inside the 6 s. One that comes slowly has one beside it, and the first whole one is
// taken.
func TestStalledList(t *testing.T) {
	for _, n := range []int{1, 300} {
		for seed := range uint64(8) {
			for _, m := range []manner{stalls, drips} {
				inBubble(t, taken(1, m), func(ctx context.Context, d *fakeDiscovery) {
					f := d.follow(ctx, t, "n", seed, asked(n))
					time.Sleep(20 * time.Second)
					last := d.hush()
					time.Sleep(20 * time.Second)
					calls := d.since("n", last)
					if took := f.whole(last).Sub(last); !intime(took, toldAfter) || len(calls) != 2 {
						t.Errorf("%d nodes, seed %d: the list came %v after the last word, asked at %v", n, seed, took, calls)
					}
				})
			}
			inBubble(t, falls(refuses, stalls, 20*time.Second, 8*time.Second), func(ctx context.Context, d *fakeDiscovery) {
				f := d.follow(ctx, t, "n", seed, asked(n))
				time.Sleep(20 * time.Second)
				back := d.hush().Add(8 * time.Second)
				time.Sleep(28 * time.Second)
				if took := f.whole(back).Sub(back); !intime(took, toldAfter) {
					t.Errorf("%d nodes, seed %d: the list came %v after the return", n, seed, took)
				}
			})
		}
	}
}

// A new configuration that moves discovery in the middle of a back-off: the new service is
// asked at once, and a second whole call fits into its 4 s.
func TestMoveInBackOff(t *testing.T) {
	for name, m := range map[string]manner{"refused": refuses, "503": turns, "unanswered": hangs, "cut": cut, "stalled": stalls} {
		latest := time.Duration(0)
		for seed := range uint64(8) {
			length := 12*time.Second + time.Duration(seed)*190*ms
			inBubble(t, falls(refuses, m, 20*time.Second, length), func(ctx context.Context, d *fakeDiscovery) {
				f := d.follow(ctx, t, "n", seed, asked(300))
				time.Sleep(20 * time.Second)
				d.hush()
				time.Sleep(length + ms)
				hup := time.Now()
				f.watch.SetAddress("discovery:2")
				time.Sleep(10 * time.Second)
				calls := d.since("n", hup.Add(-1))
				took := f.whole(hup).Sub(hup)
				if latest = max(latest, took); !intime(took, 4*time.Second) || calls[0] > ms {
					t.Errorf("%s, seed %d: the list came after %v, asked at %v", name, seed, took, calls)
				}
			})
		}
		t.Logf("%s: the list is there at the latest after %v", name, latest)
	}
}

// Watches that fall silent or end when they have just begun: what drains right after is
// known within 6 s, though the first call is turned away.
func TestWatchEndsEarly(t *testing.T) {
	for _, n := range []int{1, 300} {
		for _, ends := range []bool{false, true} {
			for _, after := range []time.Duration{0, 300 * ms, 990 * ms, 1990 * ms} {
				for seed := range uint64(4) {
					inBubble(t, taken(1, turns), func(ctx context.Context, d *fakeDiscovery) {
						d.ends = ends
						f := d.follow(ctx, t, "n", seed, asked(n))
						for f.whole(time.Time{}).IsZero() {
							time.Sleep(ms)
						}
						time.Sleep(after)
						last := d.hush()
						time.Sleep(10 * time.Second)
						if took := f.whole(last).Sub(last); !intime(took, toldAfter) {
							t.Errorf("%d nodes, ends %v after %v, seed %d: the list came after %v", n, ends, after, seed, took)
						}
					})
				}
			}
		}
	}
}

// A process that starts, alone or with all others, has time for a second whole call within
// 6 s, however its first one is taken. Alone it has its list at once.
func TestProcessStarts(t *testing.T) {
	for _, n := range []int{1, 30, 300} {
		for name, m := range map[string]manner{"listed": lists, "refused": refuses, "503": turns, "unanswered": hangs, "cut": cut, "stalled": stalls} {
			var took []time.Duration
			for seed := range uint64(6) {
				inBubble(t, taken(0, m), func(ctx context.Context, d *fakeDiscovery) {
					born := time.Now()
					f := d.follow(ctx, t, "n", seed, asked(n))
					time.Sleep(20 * time.Second)
					took = append(took, f.whole(born.Add(-1)).Sub(born))
					if !intime(took[seed], toldAfter) || n == 1 && m == lists && took[seed] > 10*ms {
						t.Errorf("%d nodes, %s, seed %d: the list came after %v", n, name, seed, took[seed])
					}
				})
			}
			t.Logf("%d nodes, %s: the list is there at the latest after %v", n, name, slices.Max(took))
		}
	}
}
