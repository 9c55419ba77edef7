package balance

import (
	"testing"
	"time"
)

// leaseList grants a lease on the server list for the given duration from now.
func (d *driver) leaseList(duration time.Duration) []Action {
	return d.handle(ListLease{ExpiresAt: d.now + duration})
}

// rejections returns the Reject actions by request.
func rejections(actions []Action) map[string]Reject {
	rejected := map[string]Reject{}
	for _, reject := range actionsOf[Reject](actions) {
		rejected[reject.ID] = reject
	}
	return rejected
}

// After the lease on the list has expired, requests must be answered at once with a Retry-After, without a
// probe or an attempt. After the lease has been renewed, requests are placed again.
func TestExpiredListRejectsAtOnce(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.leaseList(time.Second)
	if got := d.sendRequest("before"); len(actionsOf[Probe](got)) == 0 {
		t.Fatalf("before the lease expires: got %v, want a probe", got)
	}
	d.answerProbes(d.handle(ClientGone{ID: "before"}), 0.1)
	d.runFor(time.Second)
	for _, id := range []string{"one", "two"} {
		got := d.sendRequest(id)
		reject, ok := rejections(got)[id]
		if !ok || reject.Reason != ListExpired || reject.RetryAfter <= 0 || len(got) != 1 {
			t.Errorf("%s: got %v, want only a rejection with a Retry-After", id, got)
		}
	}
	d.leaseList(time.Second)
	if got := d.sendRequest("after"); len(actionsOf[Probe](got)) == 0 {
		t.Errorf("after the lease was renewed: got %v, want a probe", got)
	}
}

// Requests that wait for a probe or for admission must be answered when the list lease expires, or when the
// instance is notified of the expiry afterwards. An attempt in progress continues, but is not retried.
func TestWaitingRequestsAreAnsweredOnListExpiry(t *testing.T) {
	for _, notified := range []string{"before", "afterwards"} {
		d := newDriver(t, testSettings(), "a", "b", "c")
		if notified == "before" {
			d.leaseList(ms)
		}
		d.sendRequest("drawing")
		sent := d.sendRequest("sent")
		for len(actionsOf[Attempt](sent)) == 0 {
			sent = d.answerProbes(sent, 0.1)
		}
		d.sendRequest("queued")
		var onExpiry []Action
		if notified == "before" {
			onExpiry = d.runFor(ms)
		} else {
			d.runFor(ms)
			onExpiry = d.handle(ListLease{ExpiresAt: d.now - ms})
		}
		rejected := rejections(onExpiry)
		attempt := actionsOf[Attempt](sent)[0]
		for _, id := range []string{"drawing", "sent", "queued"} {
			if _, ok := rejected[id]; ok == (id == attempt.ID) {
				t.Errorf("notified %s: request %s rejected: %v", notified, id, ok)
			}
		}
		got := d.handle(AttemptEnded{
			ID: attempt.ID, Server: attempt.Server, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
		if reject := rejections(got)[attempt.ID]; reject.Reason != ListExpired ||
			len(actionsOf[Attempt](got)) > 0 {
			t.Errorf("notified %s: got %v after the attempt, want a rejection", notified, got)
		}
	}
}

// After the list lease has expired, established connections stay open, and none is migrated because of load:
// its client would be rejected when it reconnects.
func TestExpiredListPreventsMigration(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(40, "a")
	d.leaseList(ms)
	d.runFor(10 * ms)
	for range 5 {
		if got := actionsOf[Migrate](d.answerProbe("a", 2)); len(got) > 0 {
			t.Fatalf("%d connections migrated after the lease expired, want none", len(got))
		}
		d.runFor(3 * time.Second)
	}
	d.leaseList(time.Minute)
	if got := actionsOf[Migrate](d.answerProbe("a", 2)); len(got) == 0 {
		t.Error("no connection migrated after the lease was renewed")
	}
}

// With many instances, a list service that rejects calls because it is busy must be called again later than
// one that is down. A list service that queues calls but does not serve them in time must be called again
// after the time that it needs to serve all instances, until it has sent a list.
func TestBackoffFromBusyListService(t *testing.T) {
	tests := []struct {
		instances       int
		failure         ListFailure
		least, greatest time.Duration // of the backoff; least applies from the fifth failure on
	}{
		{3, CallFailed, 700 * ms, 1260 * ms},
		{300, CallFailed, 700 * ms, 1260 * ms},
		{3, CallRejected, 700 * ms, 1260 * ms},
		{300, CallRejected, 1400 * ms, 2400 * ms},
		{900, CallRejected, 1400 * ms, 2400 * ms},
		{3, CallQueueTimeout, 740 * ms, 1510 * ms},
		{100, CallQueueTimeout, 1990 * ms, 4010 * ms},
		{300, CallQueueTimeout, 5990 * ms, 12010 * ms},
		{900, CallQueueTimeout, 17990 * ms, 36010 * ms},
	}
	for _, tt := range tests {
		settings := testSettings()
		settings.SubscribeRequired, settings.Instances = true, tt.instances
		d := newDriver(t, settings, "a")
		d.runFor(2 * time.Second)
		for i := range 8 {
			delay := d.retryDelayAfter(tt.failure)
			if delay > tt.greatest || i > 3 && delay < tt.least {
				t.Errorf("%+v: call %d followed after %v", tt, i, delay)
			}
		}
		d.handle(ListUpdate{Kind: ListFull})
		d.handle(ListUpdate{Kind: ListFailed}) // the subscription ends, and then a call fails
		d.runFor(2 * time.Second)
		if delay := d.retryDelayAfter(tt.failure); delay > 200*ms {
			t.Errorf("%+v: the first call after a list was made after %v, want at most 200ms", tt, delay)
		}
	}
}

// A list service that pushes changes serves only this instance. After the subscription has ended, it must be
// called at once, before the list lease expires, rather than at a time that is spread over all instances.
func TestPushingListServiceIsCalledAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		settings := testSettings()
		settings.SubscribeRequired, settings.SubscribeImmediately, settings.ListPushed = true, true, true
		settings.Instances = 300
		b, err := New(seed, settings)
		if err != nil {
			t.Fatal(err)
		}
		d := &driver{t: t, balancer: b, now: time.Minute}
		d.handle(ListUpdate{Kind: ListFull})
		d.runFor(2 * time.Second)
		if delay := d.retryDelayAfter(CallFailed); delay > 20*ms {
			t.Errorf("seed %d: called after %v, want at most 20ms", seed, delay)
		}
	}
}

// retryDelayAfter reports a failed call and returns the time until the next call.
func (d *driver) retryDelayAfter(failure ListFailure) time.Duration {
	failedAt := d.now
	d.handle(ListUpdate{Kind: ListFailed, Failure: failure})
	for len(actionsOf[Subscribe](d.runFor(10*ms))) == 0 && d.now < failedAt+time.Minute {
	}
	return d.now - failedAt
}
