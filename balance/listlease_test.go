package balance

import (
	"testing"
	"time"
)

// leaseFor tells the instance that its list may be relied on for a time.
func (d *driver) leaseFor(length time.Duration) []Action {
	return d.handle(ListLease{ExpiresAt: d.now + length})
}

// rejections are the rejections among the actions, by request.
func rejections(actions []Action) map[string]Reject {
	rejected := map[string]Reject{}
	for _, reject := range actionsOf[Reject](actions) {
		rejected[reject.ID] = reject
	}
	return rejected
}

// Once the list may not be relied on, a request is answered at once, with a time to come again, and no probe or attempt
// is made for it; when it is confirmed again, requests are placed as ever.
func TestExpiredListRejectsAtOnce(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.leaseFor(time.Second)
	if got := d.sendRequest("before"); len(actionsOf[Probe](got)) == 0 {
		t.Fatalf("while the list may be relied on: %v", got)
	}
	d.answerProbes(d.handle(ClientGone{ID: "before"}), 0.1)
	d.runFor(time.Second)
	for _, id := range []string{"one", "two"} {
		got := d.sendRequest(id)
		reject, ok := rejections(got)[id]
		if !ok || reject.Reason != ListExpired || reject.RetryAfter <= 0 || len(got) != 1 {
			t.Errorf("%s: got %v, want one rejection", id, got)
		}
	}
	d.leaseFor(time.Second)
	if got := d.sendRequest("after"); len(actionsOf[Probe](got)) == 0 {
		t.Errorf("once the list is confirmed again: %v", got)
	}
}

// A request that waits for a probe or for admission is answered when the lease ends, also when that is known only
// afterwards; one that was sent keeps its attempt, and gets no further one.
func TestRequestsAreAnsweredWhenTheListExpires(t *testing.T) {
	for _, told := range []string{"before", "afterwards"} {
		d := newDriver(t, testSettings(), "a", "b", "c")
		if told == "before" {
			d.leaseFor(ms)
		}
		d.sendRequest("drawing")
		sent := d.sendRequest("sent")
		for len(actionsOf[Attempt](sent)) == 0 {
			sent = d.answerProbes(sent, 0.1)
		}
		d.sendRequest("queued")
		var ended []Action
		if told == "before" {
			ended = d.runFor(ms)
		} else {
			d.runFor(ms)
			ended = d.handle(ListLease{ExpiresAt: d.now - ms})
		}
		rejected := rejections(ended)
		attempt := actionsOf[Attempt](sent)[0]
		for _, id := range []string{"drawing", "sent", "queued"} {
			if _, ok := rejected[id]; ok == (id == attempt.ID) {
				t.Errorf("told %s: %s rejected %v", told, id, ok)
			}
		}
		got := d.handle(AttemptEnded{ID: attempt.ID, Server: attempt.Server, Outcome: AtCapacity, LoadReport: EmptyLoadReport})
		if reject := rejections(got)[attempt.ID]; reject.Reason != ListExpired || len(actionsOf[Attempt](got)) > 0 {
			t.Errorf("told %s: after its attempt: %v", told, got)
		}
	}
}

// Established connections go on, and none is migrated for load, as it would be rejected when it comes again.
func TestExpiredListMigratesNobody(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(40, "a")
	d.leaseFor(ms)
	d.runFor(10 * ms)
	for range 5 {
		if got := actionsOf[Migrate](d.answerProbe("a", 2)); len(got) > 0 {
			t.Fatalf("%d connections are migrated", len(got))
		}
		d.runFor(3 * time.Second)
	}
	d.leaseFor(time.Minute)
	if got := actionsOf[Migrate](d.answerProbe("a", 2)); len(got) == 0 {
		t.Error("none is migrated once the list is confirmed")
	}
}

// A list service that has no time is called again later than one that is down, by an instance of many; and if it lets
// calls wait in vain, after the time that it needs for all instances, until there is a list.
func TestBusyListServiceIsCalledLater(t *testing.T) {
	tests := []struct {
		instances       int
		failure         ListFailure
		least, greatest time.Duration // of the pause, from the fifth failure on
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
			pause := d.pauseAfter(tt.failure)
			if pause > tt.greatest || i > 3 && pause < tt.least {
				t.Errorf("%+v: call %d came after %v", tt, i, pause)
			}
		}
		d.handle(ListUpdate{Kind: ListFull})
		d.handle(ListUpdate{Kind: ListFailed}) // the watch has ended, and then a call fails
		d.runFor(2 * time.Second)
		if pause := d.pauseAfter(tt.failure); pause > 200*ms {
			t.Errorf("%+v: after a list a call came after %v", tt, pause)
		}
	}
}

// A list service that tells changes by itself is this instance's own: after a watch has ended it is called at once, before
// the list may not be relied on any more, and not at a time that is spread for all instances.
func TestOwnListServiceIsCalledAtOnce(t *testing.T) {
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
		if pause := d.pauseAfter(CallFailed); pause > 20*ms {
			t.Errorf("seed %d: called after %v", seed, pause)
		}
	}
}

// pauseAfter is how long after a failed call the next one comes.
func (d *driver) pauseAfter(failure ListFailure) time.Duration {
	failedAt := d.now
	d.handle(ListUpdate{Kind: ListFailed, Failure: failure})
	for len(actionsOf[Subscribe](d.runFor(10*ms))) == 0 && d.now < failedAt+time.Minute {
	}
	return d.now - failedAt
}
