package balance

import (
	"fmt"
	"testing"
	"time"
)

// A timer that came a fraction of a microsecond before its time was taken for a stale one, and
// its request was never answered.
func TestQueuedRequestIsAnsweredBeforeDeadline(t *testing.T) {
	for seed := range 200 {
		d := newDriver(t, testSettings())
		b, err := New(uint64(seed), testSettings())
		if err != nil {
			t.Fatal(err)
		}
		d.balancer = b
		d.sendRequest("r")
		for i := range d.timers { // as a clock that counts in microseconds has it
			d.timers[i].at = d.timers[i].at.Truncate(time.Microsecond)
		}
		if got := actionsOf[Reject](d.runUntil(3 * time.Second)); len(got) != 1 {
			t.Fatalf("seed %d: rejected %d times with no server known, want once", seed, len(got))
		}
	}
}

// Probe results that kept coming carried a request past the time for its answer, and it was
// sent too late to be answered at all.
func TestProbeResultsDoNotExtendDeadline(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	probes := actionsOf[Probe](d.sendRequest("r"))
	if len(probes) != 1 {
		t.Fatalf("%d probes, want 1", len(probes))
	}
	d.now += 2*time.Second - ms // past the answer deadline, its timer still to come
	got := d.answerProbe(probes[0].Server, 0.1)
	if len(actionsOf[Reject](got)) != 1 || len(actionsOf[Attempt](got)) != 0 {
		t.Errorf("got %v, want one rejection", got)
	}
}

// A server drops the connections it has just taken: the report that sent them there was old.
// Placements must then keep a distance, whatever reports say.
func TestEarlyResetPausesAdmission(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	loads := equalLoads(0.1, "a", "b")
	_, server := d.placeRequest("r1", loads)
	d.handle(ConnectionEstablished{ID: "r1", Server: server})
	d.now += 100 * ms
	d.endConnection("r1", server, Reset)
	if probes, server := d.placeRequest("r2", loads); probes != 0 || server != "" {
		t.Errorf("placed on %q after %d probes at once, want a pause", server, probes)
	}
	if got := actionsOf[Probe](d.runFor(minBackoff * 2)); len(got) != 1 {
		t.Errorf("%d probes after the pause, want 1", len(got))
	}
}

// In a long congestion the newest go first. A request that is not admitted within its latency
// objective is answered then, with a Retry-After; it was kept until its client was about to
// give up.
func TestQueuedRequestIsAnsweredWithinLatencyObjective(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.reduceWindow()
	d.balancer.admission.backoffEndsAt = d.now + 10*time.Second
	sentAt := d.now
	d.sendRequest("r")
	for d.now < sentAt+2*time.Second {
		if got := actionsOf[Reject](d.runFor(ms)); len(got) == 1 {
			if took := d.now - sentAt; took > 410*ms || got[0].RetryAfter == 0 {
				t.Errorf("answered after %v with a Retry-After of %v, want 400 ms and a Retry-After",
					took, got[0].RetryAfter)
			}
			return
		}
	}
	t.Error("not answered")
}

func TestRejectsWithoutAnyServer(t *testing.T) {
	for name, sendRetryAfter := range map[string]bool{"with Retry-After": true, "without Retry-After": false} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Limits.SendRetryAfter = sendRetryAfter
			d := newDriver(t, settings)
			d.sendRequest("r")
			got := actionsOf[Reject](d.runFor(2 * time.Second))
			if len(got) != 1 || (got[0].RetryAfter > 0) != sendRetryAfter {
				t.Errorf("%v, want one rejection", got)
			}
		})
	}
}

// In order of arrival every request in a queue was admitted when its time was almost up, and
// all set-ups were in vain.
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
		t.Errorf("got %v, want new placed first", got)
	}
}

// The queue is served newest first: in a long congestion what had ended stayed at its bottom
// for good.
func TestQueueDropsEndedRequests(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.reduceWindow()
	for i := range 3 {
		d.sendRequest(fmt.Sprint("r", i))
	}
	d.handle(ClientGone{ID: "r0"})
	if length := len(d.balancer.admission.queue); length != 2 {
		t.Errorf("%d in the queue, want the 2 that wait", length)
	}
}
