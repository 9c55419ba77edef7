package balance

import (
	"fmt"
	"testing"
	"time"
)

// A list service that is down must be called about once a second, whatever the number of instances and the
// settings, because its changes count as reported a few seconds after it is back.
func TestFailedSubscriptionIsRetriedEverySecond(t *testing.T) {
	for _, instances := range []int{3, 300} {
		for _, timeout := range []time.Duration{20 * ms, 10 * time.Second, time.Hour} {
			t.Run(fmt.Sprint(instances, " instances, timeout ", timeout), func(t *testing.T) {
				settings := testSettings()
				settings.SubscribeRequired, settings.Instances, settings.SubscribeTimeout =
					true, instances, timeout
				d := newDriver(t, settings, "a")
				d.runFor(2 * time.Second)
				for i := range 8 {
					failedAt := d.now
					d.updateList(ListFailed)
					for len(actionsOf[Subscribe](d.runFor(10*ms))) == 0 && d.now < failedAt+10*time.Second {
					}
					if delay := d.now - failedAt; delay > 1260*ms {
						t.Errorf("call %d followed %v after the failure, want at most 1.26s", i, delay)
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
		t.Fatalf("%d calls within the subscribe timeout, want 1", len(got))
	}
	previousCallAt := d.now
	for i := range 8 { // every call fails
		d.updateList(ListFailed)
		var got []Subscribe
		for len(got) == 0 && d.now < previousCallAt+4*settings.SubscribeTimeout {
			got = actionsOf[Subscribe](d.runFor(100 * ms))
		}
		if delay := d.now - previousCallAt; len(got) != 1 || delay > settings.SubscribeTimeout {
			t.Errorf("call %d followed after %v, want at most %v", i, delay, settings.SubscribeTimeout)
		}
		previousCallAt = d.now
	}
	d.updateList(ListDelta)
	if got := actionsOf[Subscribe](d.runFor(5 * settings.SubscribeTimeout)); len(got) != 0 {
		t.Errorf("%d calls during an active subscription, want none", len(got))
	}
}

// A complete list removes the servers that it does not contain, draining ones included.
func TestUnlistedServersAreRemoved(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.updateList(ListDelta, ServerEntry{ID: "a", State: Draining})
	d.updateList(ListFull, readyEntries("b")...)
	servers := &d.balancer.servers
	if len(servers.byID) != 1 || len(servers.ready) != 1 || len(servers.ring) != 1 {
		t.Errorf("%d servers, %d ready, %d on the ring; want 1 of each",
			len(servers.byID), len(servers.ready), len(servers.ring))
	}
}
