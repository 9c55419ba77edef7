package balance

import (
	"fmt"
	"testing"
	"time"
)

// A timer that came a fraction of a microsecond before its time was taken for
// an old one, and the request it stood for was never answered.
func TestHeldRequestIsAnsweredInTime(t *testing.T) {
	for seed := range 200 {
		d := newBench(t, settings())
		b, err := New(uint64(seed), settings())
		if err != nil {
			t.Fatal(err)
		}
		d.b = b
		d.request("r")
		for i := range d.timers { // as a clock that counts in microseconds has it
			d.timers[i].at = d.timers[i].at.Truncate(time.Microsecond)
		}
		if got := pick[Reject](d.run(3 * time.Second)); len(got) != 1 {
			t.Fatalf("seed %d: %d refusals with no server known, want 1", seed, len(got))
		}
	}
}

// Probe answers that kept coming carried a request past the time for its
// answer, and it was sent too late to be answered at all.
func TestProbeAnswersDoNotOutlastTheDeadline(t *testing.T) {
	d := newBench(t, settings(), "a", "b", "c")
	actions := d.request("r")
	d.now += 2*time.Second - ms // past the give-up time, its timer still to come
	asked := pick[Probe](actions)
	if len(asked) != 1 {
		t.Fatalf("%d probes, want 1", len(asked))
	}
	got := d.answer(asked[0].Server, 0.1)
	if len(pick[Reject](got)) != 1 || len(pick[Attempt](got)) != 0 {
		t.Errorf("got %v, want one refusal", got)
	}
}

// A server drops the connections it has just taken: the report that sent them
// there was old. Placements must then keep a distance, whatever reports say.
func TestYoungResetsSlowPlacements(t *testing.T) {
	d := newBench(t, settings(), "a", "b")
	loads := map[string]float64{"a": 0.1, "b": 0.1}
	_, at := drawsUntilPlaced(d, "r1", loads)
	d.tell(ConnectionEstablished{ID: "r1", Server: at})
	d.now += 100 * ms
	d.tell(AttemptEnded{ID: "r1", Server: at, Outcome: Reset, Final: true, LoadReport: EmptyLoadReport})
	if probes, at := drawsUntilPlaced(d, "r2", loads); probes != 0 || at != "" {
		t.Errorf("placed on %q after %d probes at once, want a pause", at, probes)
	}
	if got := pick[Probe](d.run(d.now + minBackoff*2)); len(got) != 1 {
		t.Errorf("%d probes after the pause, want 1", len(got))
	}
}

// In a long congestion the newest go first. Who was passed over for the time of its aim
// is told so, and when to return; it was kept until its client was about to give up.
func TestPassedOverIsAnsweredWithinItsAim(t *testing.T) {
	d := newBench(t, settings(), "a")
	d.b.reduceWindow()
	d.b.backoffEndsAt = d.now + 10*time.Second
	asked := d.now
	d.request("r")
	for d.now < asked+2*time.Second {
		if got := pick[Reject](d.run(d.now + ms)); len(got) == 1 {
			if took := d.now - asked; took > 410*ms || got[0].RetryAfter == 0 {
				t.Errorf("answered after %v with a pause of %v, want its aim of 400 ms and a pause", took, got[0].RetryAfter)
			}
			return
		}
	}
	t.Error("not answered")
}

func TestAnswersWithoutAnyServer(t *testing.T) {
	tests := []struct {
		name   string
		set    func(*Settings)
		server []string
	}{
		{"no server known", func(*Settings) {}, nil},
		{"no retry-after", func(s *Settings) { s.Limits.SendRetryAfter = false }, nil},
	}
	for _, tt := range tests {
		set := settings()
		tt.set(&set)
		d := newBench(t, set, tt.server...)
		d.request("r")
		got := pick[Reject](d.run(d.now + 2*time.Second))
		if len(got) != 1 || (got[0].RetryAfter > 0) != set.Limits.SendRetryAfter {
			t.Errorf("%s: %v, want one refusal", tt.name, got)
		}
	}
}

// In order of arrival every request in a queue got its turn when its time was
// almost up, and all set-ups were in vain.
func TestNewestInTheQueueGoesFirst(t *testing.T) {
	d := newBench(t, settings(), "a")
	d.b.window = 1
	d.b.reduceWindow()
	d.request("old")
	d.now += 10 * ms
	d.request("new")
	for limit := d.now + time.Second; d.now < limit; {
		if len(pick[Probe](d.run(d.now+ms))) > 0 {
			break
		}
	}
	if got := pick[Attempt](d.answer("a", 0.1)); len(got) != 1 || got[0].ID != "new" {
		t.Errorf("got %v, want new placed first", got)
	}
}

// The queue is served newest first: in a long congestion what had ended lay at
// its bottom for good.
func TestQueueKeepsNothingThatEnded(t *testing.T) {
	d := newBench(t, settings(), "a")
	d.b.reduceWindow()
	for i := range 3 {
		d.request(fmt.Sprint("r", i))
	}
	d.tell(ClientGone{ID: "r0"})
	if len(d.b.queue) != 2 {
		t.Errorf("%d in the queue, want the 2 that wait", len(d.b.queue))
	}
}
