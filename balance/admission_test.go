package balance

import (
	"fmt"
	"testing"
	"time"
)

// Regression test: a timer that fired a fraction of a microsecond early was taken for a stale one, and its
// request was never answered.
func TestQueuedRequestIsAnsweredBeforeDeadline(t *testing.T) {
	for seed := range 200 {
		d := newDriver(t, testSettings())
		b, err := New(uint64(seed), testSettings())
		if err != nil {
			t.Fatal(err)
		}
		d.balancer = b
		d.sendRequest("r")
		for i := range d.timers { // like a clock with a resolution of one microsecond
			d.timers[i].at = d.timers[i].at.Truncate(time.Microsecond)
		}
		if got := actionsOf[Reject](d.runUntil(3 * time.Second)); len(got) != 1 {
			t.Fatalf("seed %d: rejected %d times without any server, want once", seed, len(got))
		}
	}
}

// Regression test: probe results that kept arriving extended the draws of a request beyond its answer
// deadline, and the request was sent too late to be answered in time.
func TestProbeResultsDoNotExtendDeadline(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	probes := actionsOf[Probe](d.sendRequest("r"))
	if len(probes) != 1 {
		t.Fatalf("%d probes, want 1", len(probes))
	}
	d.now += 2*time.Second - ms // past the answer deadline; the request's timer has not fired yet
	got := d.answerProbe(probes[0].Server, 0.1)
	if len(actionsOf[Reject](got)) != 1 || len(actionsOf[Attempt](got)) != 0 {
		t.Errorf("got %v, want one rejection", got)
	}
}

// If a server resets a connection shortly after it has accepted it, the load report that led to the placement
// was out of date. Placements must then be spaced, whatever the reports say.
func TestEarlyResetPausesAdmission(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	loads := equalLoads(0.1, "a", "b")
	_, server := d.placeRequest("r1", loads)
	d.handle(ConnectionEstablished{ID: "r1", Server: server})
	d.now += 100 * ms
	d.endConnection("r1", server, Reset)
	if probes, server := d.placeRequest("r2", loads); probes != 0 || server != "" {
		t.Errorf("placed on %q after %d probes without a pause, want admission to be paused", server, probes)
	}
	if got := actionsOf[Probe](d.runFor(minBackoff * 2)); len(got) != 1 {
		t.Errorf("%d probes after the pause, want 1", len(got))
	}
}

// Under lasting congestion the newest requests are admitted first. A request that is not admitted within its
// latency objective must be answered then, with a Retry-After. It was once held until shortly before its
// client gave up.
func TestQueuedRequestIsAnsweredWithinLatencyObjective(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.reduceWindow()
	d.balancer.admission.backoffEndsAt = d.now + 10*time.Second
	sentAt := d.now
	d.sendRequest("r")
	for d.now < sentAt+2*time.Second {
		if got := actionsOf[Reject](d.runFor(ms)); len(got) == 1 {
			if elapsed := d.now - sentAt; elapsed > 410*ms || got[0].RetryAfter == 0 {
				t.Errorf("answered after %v with a Retry-After of %v, want 400 ms and a Retry-After",
					elapsed, got[0].RetryAfter)
			}
			return
		}
	}
	t.Error("request was not answered before its deadline")
}

func TestRequestIsRejectedWithoutServers(t *testing.T) {
	for name, sendRetryAfter := range map[string]bool{
		"with Retry-After":    true,
		"without Retry-After": false,
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Limits.SendRetryAfter = sendRetryAfter
			d := newDriver(t, settings)
			d.sendRequest("r")
			got := actionsOf[Reject](d.runFor(2 * time.Second))
			if len(got) != 1 || (got[0].RetryAfter > 0) != sendRetryAfter {
				t.Errorf("got %v, want one rejection, with a Retry-After only if that is enabled", got)
			}
		})
	}
}

// Regression test: in order of arrival, under lasting congestion, every request was admitted shortly before
// its deadline, and no set-up completed in time.
func TestQueueIsLastInFirstOut(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.admission.window = 1
	d.balancer.reduceWindow()
	d.sendRequest("old")
	d.now += 10 * ms
	d.sendRequest("new")
	for limit := d.now + time.Second; d.now < limit; {
		if len(actionsOf[Probe](d.runFor(ms))) > 0 {
			break
		}
	}
	if got := actionsOf[Attempt](d.answerProbe("a", 0.1)); len(got) != 1 || got[0].ID != "new" {
		t.Errorf("got %v, want the newer request placed first", got)
	}
}

// Regression test: the queue is served newest first, so under lasting congestion requests that had ended
// stayed at its bottom indefinitely.
func TestQueueDropsEndedRequests(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.reduceWindow()
	for i := range 3 {
		d.sendRequest(fmt.Sprint("r", i))
	}
	d.handle(ClientGone{ID: "r0"})
	if length := len(d.balancer.admission.queue); length != 2 {
		t.Errorf("%d requests in the queue, want the 2 that have not ended", length)
	}
}
