package balance

import (
	"testing"
	"time"
)

// A dead list service is asked every second or so, however many ask and on every setting:
// what it has to tell counts as told some seconds after it is back.
func TestDeadListIsAskedOften(t *testing.T) {
	for _, instances := range []int{3, 300} {
		for _, within := range []time.Duration{20 * ms, 10 * time.Second, time.Hour} {
			set := settings()
			set.SubscribeRequired, set.Instances, set.SubscribeTimeout = true, instances, within
			d := newBench(t, set, "a")
			d.run(d.now + 2*time.Second)
			for i := range 8 {
				failed := d.now
				d.list(ListFailed)
				for len(pick[Subscribe](d.run(d.now+10*ms))) == 0 && d.now < failed+10*time.Second {
				}
				if gap := d.now - failed; gap > 1260*ms {
					t.Errorf("%d instances, within %v: call %d came after %v", instances, within, i, gap)
				}
			}
		}
	}
}

func TestSubscription(t *testing.T) {
	set := settings()
	set.SubscribeRequired, set.Instances = true, 50
	d := newBench(t, set, "a")
	if got := pick[Subscribe](d.run(d.now + set.SubscribeTimeout)); len(got) != 1 {
		t.Fatalf("%d calls within the time allowed, want 1", len(got))
	}
	last := d.now
	for i := range 8 { // every call fails
		d.list(ListFailed)
		var got []Subscribe
		for len(got) == 0 && d.now < last+4*set.SubscribeTimeout {
			got = pick[Subscribe](d.run(d.now + 100*ms))
		}
		if gap := d.now - last; len(got) != 1 || gap > set.SubscribeTimeout {
			t.Errorf("call %d came after %v, want within %v", i, gap, set.SubscribeTimeout)
		}
		last = d.now
	}
	d.list(ListDelta)
	if got := pick[Subscribe](d.run(d.now + 5*set.SubscribeTimeout)); len(got) != 0 {
		t.Errorf("%d calls while subscribed", len(got))
	}
}

// A draining server that a later whole list does not name is forgotten too.
func TestUnlistedServersAreForgotten(t *testing.T) {
	d := newBench(t, settings(), "a", "b")
	d.list(ListDelta, ServerEntry{ID: "a", State: Draining})
	d.list(ListFull, entries("b")...)
	if len(d.b.servers) != 1 || len(d.b.ready) != 1 || len(d.b.ring) != 1 {
		t.Errorf("%d servers, %d ready, %d on the ring; want 1 each", len(d.b.servers), len(d.b.ready), len(d.b.ring))
	}
}
