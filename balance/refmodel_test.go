package balance

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// allClassesSettings returns settings with a class for each kind of idempotency and each key scope.
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

// runRandomEvents passes the given number of random events to a new Balancer.
func runRandomEvents(t *testing.T, seed uint64, events int) *eventFuzzer {
	f := newEventFuzzer(t, seed, allClassesSettings())
	for range events {
		f.step()
	}
	return f
}

func TestRandomEventsSatisfyReferenceModel(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f := runRandomEvents(t, seed, 700)
			f.advance(2 * time.Second)
			if unanswered := f.checker.Unanswered(); len(unanswered) > 0 {
				t.Fatalf("requests without a final answer: %v", unanswered)
			}
		})
	}
}

// The same seed and events must give the same actions. Decisions that depend on the iteration order of a map
// would make runs irreproducible.
func TestSameSeedGivesSameActions(t *testing.T) {
	first, second := runRandomEvents(t, 7, 700), runRandomEvents(t, 7, 700)
	if !reflect.DeepEqual(first.actions, second.actions) {
		t.Error("two runs with the same seed returned different actions")
	}
}

// Requests that have ended must not remain in any table, queue or counter.
func TestEndedRequestsLeaveNoState(t *testing.T) {
	f := runRandomEvents(t, 3, 1000)
	f.advance(2 * time.Second)
	for i := range f.requestCount {
		if r := f.requests[fmt.Sprint("r", i+1)]; r.established && !r.answered {
			f.endAttempt(r, OK)
		}
	}
	b := f.driver.balancer
	for _, s := range b.servers.byID {
		if len(s.waitingRequests) != 0 || len(s.connections) != 0 || s.State == Gone {
			t.Errorf("%s: %d requests waiting for its probe, %d connections, state %v",
				s.ID, len(s.waitingRequests), len(s.connections), s.State)
		}
	}
	requests := &b.requests
	remaining := len(requests.byID) + len(requests.bySequence) + len(requests.groups) +
		requests.openConnections
	if remaining != 0 {
		t.Errorf("remaining: %d requests, %d by sequence, %d groups, %d open connections",
			len(requests.byID), len(requests.bySequence), len(requests.groups), requests.openConnections)
	}
	if len(b.admission.queue) != 0 || b.admission.inSetup != 0 {
		t.Errorf("remaining: %d queued, %d in set-up", len(b.admission.queue), b.admission.inSetup)
	}
}
