package balance

import (
	"fmt"
	"testing"
	"time"
)

// A timer that came a fraction of a microsecond before its time was taken for
// an old one, and the request it stood for was never answered.
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
			t.Fatalf("seed %d: %d refusals with no server known, want 1", seed, len(got))
		}
	}
}

// Probe answers that kept coming carried a request past the time for its
// answer, and it was sent too late to be answered at all.
func TestProbeResultsDoNotExtendDeadline(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	actions := d.sendRequest("r")
	d.now += 2*time.Second - ms // past the give-up time, its timer still to come
	asked := actionsOf[Probe](actions)
	if len(asked) != 1 {
		t.Fatalf("%d probes, want 1", len(asked))
	}
	got := d.answerProbe(asked[0].Server, 0.1)
	if len(actionsOf[Reject](got)) != 1 || len(actionsOf[Attempt](got)) != 0 {
		t.Errorf("got %v, want one refusal", got)
	}
}

// A server drops the connections it has just taken: the report that sent them
// there was old. Placements must then keep a distance, whatever reports say.
func TestEarlyResetPausesAdmission(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	loads := map[string]float64{"a": 0.1, "b": 0.1}
	_, at := placeRequest(d, "r1", loads)
	d.handle(ConnectionEstablished{ID: "r1", Server: at})
	d.now += 100 * ms
	d.handle(AttemptEnded{ID: "r1", Server: at, Outcome: Reset, Final: true, LoadReport: EmptyLoadReport})
	if probes, at := placeRequest(d, "r2", loads); probes != 0 || at != "" {
		t.Errorf("placed on %q after %d probes at once, want a pause", at, probes)
	}
	if got := actionsOf[Probe](d.runUntil(d.now + minBackoff*2)); len(got) != 1 {
		t.Errorf("%d probes after the pause, want 1", len(got))
	}
}

// In a long congestion the newest go first. Who was passed over for the time of its aim
// is told so, and when to return; it was kept until its client was about to give up.
func TestQueuedRequestIsAnsweredWithinLatencyObjective(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.reduceWindow()
	d.balancer.admission.backoffEndsAt = d.now + 10*time.Second
	asked := d.now
	d.sendRequest("r")
	for d.now < asked+2*time.Second {
		if got := actionsOf[Reject](d.runUntil(d.now + ms)); len(got) == 1 {
			if took := d.now - asked; took > 410*ms || got[0].RetryAfter == 0 {
				t.Errorf("answered after %v with a pause of %v, want its aim of 400 ms and a pause", took, got[0].RetryAfter)
			}
			return
		}
	}
	t.Error("not answered")
}

func TestRejectsWithoutAnyServer(t *testing.T) {
	tests := []struct {
		name   string
		set    func(*Settings)
		server []string
	}{
		{"no server known", func(*Settings) {}, nil},
		{"no retry-after", func(s *Settings) { s.Limits.SendRetryAfter = false }, nil},
	}
	for _, tt := range tests {
		set := testSettings()
		tt.set(&set)
		d := newDriver(t, set, tt.server...)
		d.sendRequest("r")
		got := actionsOf[Reject](d.runUntil(d.now + 2*time.Second))
		if len(got) != 1 || (got[0].RetryAfter > 0) != set.Limits.SendRetryAfter {
			t.Errorf("%s: %v, want one refusal", tt.name, got)
		}
	}
}

// In order of arrival every request in a queue got its turn when its time was
// almost up, and all set-ups were in vain.
func TestQueueIsLastInFirstOut(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.admission.window = 1
	d.balancer.reduceWindow()
	d.sendRequest("old")
	d.now += 10 * ms
	d.sendRequest("new")
	for limit := d.now + time.Second; d.now < limit; {
		if len(actionsOf[Probe](d.runUntil(d.now+ms))) > 0 {
			break
		}
	}
	if got := actionsOf[Attempt](d.answerProbe("a", 0.1)); len(got) != 1 || got[0].ID != "new" {
		t.Errorf("got %v, want new placed first", got)
	}
}

// The queue is served newest first: in a long congestion what had ended lay at
// its bottom for good.
func TestQueueDropsEndedRequests(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.balancer.reduceWindow()
	for i := range 3 {
		d.sendRequest(fmt.Sprint("r", i))
	}
	d.handle(ClientGone{ID: "r0"})
	if len(d.balancer.admission.queue) != 2 {
		t.Errorf("%d in the queue, want the 2 that wait", len(d.balancer.admission.queue))
	}
}
