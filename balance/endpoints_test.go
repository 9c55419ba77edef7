package balance

import (
	"fmt"
	"testing"
	"time"
)

// A list service that is down is called every second or so, however many instances call and with
// all settings: what it has to report counts as reported some seconds after it is back.
func TestFailedSubscriptionIsRetriedEverySecond(t *testing.T) {
	for _, instances := range []int{3, 300} {
		for _, timeout := range []time.Duration{20 * ms, 10 * time.Second, time.Hour} {
			t.Run(fmt.Sprint(instances, " instances, timeout ", timeout), func(t *testing.T) {
				settings := testSettings()
				settings.SubscribeRequired, settings.Instances, settings.SubscribeTimeout = true, instances, timeout
				d := newDriver(t, settings, "a")
				d.runFor(2 * time.Second)
				for i := range 8 {
					failedAt := d.now
					d.updateList(ListFailed)
					for len(actionsOf[Subscribe](d.runFor(10*ms))) == 0 && d.now < failedAt+10*time.Second {
					}
					if gap := d.now - failedAt; gap > 1260*ms {
						t.Errorf("call %d came after %v", i, gap)
					}
				}
			})
		}
	}
}

func TestSubscriptionBackoff(t *testing.T) {
	settings := testSettings()
	settings.SubscribeRequired, settings.Instances = true, 50
	d := newDriver(t, settings, "a")
	if got := actionsOf[Subscribe](d.runFor(settings.SubscribeTimeout)); len(got) != 1 {
		t.Fatalf("%d calls within the time allowed, want 1", len(got))
	}
	last := d.now
	for i := range 8 { // every call fails
		d.updateList(ListFailed)
		var got []Subscribe
		for len(got) == 0 && d.now < last+4*settings.SubscribeTimeout {
			got = actionsOf[Subscribe](d.runFor(100 * ms))
		}
		if gap := d.now - last; len(got) != 1 || gap > settings.SubscribeTimeout {
			t.Errorf("call %d came after %v, want within %v", i, gap, settings.SubscribeTimeout)
		}
		last = d.now
	}
	d.updateList(ListDelta)
	if got := actionsOf[Subscribe](d.runFor(5 * settings.SubscribeTimeout)); len(got) != 0 {
		t.Errorf("%d calls while subscribed", len(got))
	}
}

// A draining server that a later complete list does not name is removed too.
func TestUnlistedServersAreRemoved(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.updateList(ListDelta, ServerEntry{ID: "a", State: Draining})
	d.updateList(ListFull, readyEntries("b")...)
	servers := &d.balancer.servers
	if len(servers.byID) != 1 || len(servers.ready) != 1 || len(servers.ring) != 1 {
		t.Errorf("%d servers, %d ready, %d on the ring; want 1 each",
			len(servers.byID), len(servers.ready), len(servers.ring))
	}
}
