package balance

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// allClassesSettings has a class of every idempotency and key scope.
func allClassesSettings() Settings {
	settings := testSettings()
	settings.Connections.GroupAffinity = true
	settings.Classes = []Class{
		{Idempotency: Idempotent},
		{Idempotency: IdempotencyKeyed},
		{Idempotency: IdempotencyKeyed, KeyScope: ScopeZone},
		{Idempotency: IdempotencyKeyed, KeyScope: ScopeCell},
		{Idempotency: NonIdempotent},
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		class.Name = fmt.Sprint("c", i)
		class.LatencyObjective = 200 * ms
		class.Deadline = time.Second
		class.KeyWindow = 300 * ms
	}
	return settings
}

// playRandomEvents plays so many random events.
func playRandomEvents(t *testing.T, seed uint64, events int) *randomEvents {
	w := newRandomEvents(t, seed, allClassesSettings())
	for range events {
		w.step()
	}
	return w
}

func TestReferenceModelHoldsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := playRandomEvents(t, seed, 700)
			w.advance(2 * time.Second)
			if owed := w.checker.Unanswered(); len(owed) > 0 {
				t.Fatalf("never answered: %v", owed)
			}
		})
	}
}

// The same seed and events give the same actions: nothing depends on map order.
func TestSameSeedSameActions(t *testing.T) {
	first, second := playRandomEvents(t, 7, 700), playRandomEvents(t, 7, 700)
	if !reflect.DeepEqual(first.actions, second.actions) {
		t.Error("two runs of one seed differ")
	}
}

// What has ended leaves nothing behind.
func TestEndedRequestsLeaveNoState(t *testing.T) {
	w := playRandomEvents(t, 3, 1000)
	w.advance(2 * time.Second)
	for i := range w.requestCount {
		if r := w.requests[fmt.Sprint("r", i+1)]; r.established && !r.answered {
			w.endAttempt(r, OK)
		}
	}
	b := w.driver.balancer
	for _, s := range b.servers.byID {
		if len(s.waitingRequests) != 0 || len(s.connections) != 0 || s.State == Gone {
			t.Errorf("%s: %d wait for its probe, %d connections, state %v",
				s.ID, len(s.waitingRequests), len(s.connections), s.State)
		}
	}
	requests := &b.requests
	left := len(requests.byID) + len(requests.bySequence) + len(requests.groups) + requests.openConnections
	if left != 0 {
		t.Errorf("left: %d requests, %d by sequence, %d groups, %d open connections",
			len(requests.byID), len(requests.bySequence), len(requests.groups), requests.openConnections)
	}
	if len(b.admission.queue) != 0 || b.admission.inSetup != 0 {
		t.Errorf("left: %d queued, %d in set-up", len(b.admission.queue), b.admission.inSetup)
	}
}
