package balance

import (
	"testing"
	"time"
)

// A dead list service is asked every second or so, however many ask and on every setting:
// what it has to tell counts as told some seconds after it is back.
func TestFailedSubscriptionIsRetriedEverySecond(t *testing.T) {
	for _, instances := range []int{3, 300} {
		for _, within := range []time.Duration{20 * ms, 10 * time.Second, time.Hour} {
			set := testSettings()
			set.SubscribeRequired, set.Instances, set.SubscribeTimeout = true, instances, within
			d := newDriver(t, set, "a")
			d.runUntil(d.now + 2*time.Second)
			for i := range 8 {
				failed := d.now
				d.updateList(ListFailed)
				for len(actionsOf[Subscribe](d.runUntil(d.now+10*ms))) == 0 && d.now < failed+10*time.Second {
				}
				if gap := d.now - failed; gap > 1260*ms {
					t.Errorf("%d instances, within %v: call %d came after %v", instances, within, i, gap)
				}
			}
		}
	}
}

func TestSubscriptionBackoff(t *testing.T) {
	set := testSettings()
	set.SubscribeRequired, set.Instances = true, 50
	d := newDriver(t, set, "a")
	if got := actionsOf[Subscribe](d.runUntil(d.now + set.SubscribeTimeout)); len(got) != 1 {
		t.Fatalf("%d calls within the time allowed, want 1", len(got))
	}
	last := d.now
	for i := range 8 { // every call fails
		d.updateList(ListFailed)
		var got []Subscribe
		for len(got) == 0 && d.now < last+4*set.SubscribeTimeout {
			got = actionsOf[Subscribe](d.runUntil(d.now + 100*ms))
		}
		if gap := d.now - last; len(got) != 1 || gap > set.SubscribeTimeout {
			t.Errorf("call %d came after %v, want within %v", i, gap, set.SubscribeTimeout)
		}
		last = d.now
	}
	d.updateList(ListDelta)
	if got := actionsOf[Subscribe](d.runUntil(d.now + 5*set.SubscribeTimeout)); len(got) != 0 {
		t.Errorf("%d calls while subscribed", len(got))
	}
}

// A draining server that a later whole list does not name is forgotten too.
func TestUnlistedServersAreRemoved(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.updateList(ListDelta, ServerEntry{ID: "a", State: Draining})
	d.updateList(ListFull, readyEntries("b")...)
	if len(d.balancer.servers.byID) != 1 || len(d.balancer.servers.ready) != 1 || len(d.balancer.servers.ring) != 1 {
		t.Errorf("%d servers, %d ready, %d on the ring; want 1 each", len(d.balancer.servers.byID), len(d.balancer.servers.ready), len(d.balancer.servers.ring))
	}
}
