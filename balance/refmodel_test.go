package balance

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// rulesSettings has a class of every kind of effect.
func allClassesSettings() Settings {
	set := testSettings()
	set.Connections.GroupAffinity = true
	base := Class{LatencyObjective: 200 * ms, Deadline: time.Second, KeyWindow: 300 * ms}
	set.Classes = nil
	for i, c := range []Class{{Idempotency: Idempotent}, {Idempotency: IdempotencyKeyed}, {Idempotency: IdempotencyKeyed, KeyScope: ScopeZone},
		{Idempotency: IdempotencyKeyed, KeyScope: ScopeCell}, {Idempotency: NonIdempotent}} {
		class := base
		class.Name, class.Idempotency, class.KeyScope = fmt.Sprint("c", i), c.Idempotency, c.KeyScope
		set.Classes = append(set.Classes, class)
	}
	return set
}

func TestReferenceModelHoldsUnderRandomEvents(t *testing.T) {
	for seed := range uint64(8) {
		w := newRandomEvents(t, seed, allClassesSettings())
		for range 700 {
			w.step()
		}
		w.advance(2 * time.Second)
		if owed := w.book.Unanswered(); len(owed) > 0 {
			t.Fatalf("seed %d: never answered: %v", seed, owed)
		}
	}
}

// The same seed and events give the same actions: nothing hangs on map order.
func TestSameSeedSameActions(t *testing.T) {
	var logs [2][]Action
	for i := range logs {
		w := newRandomEvents(t, 7, allClassesSettings())
		for range 700 {
			w.step()
		}
		logs[i] = w.actions
	}
	if !reflect.DeepEqual(logs[0], logs[1]) {
		t.Error("two runs of one seed differ")
	}
}

// What has ended leaves nothing behind.
func TestEndedRequestsLeaveNoState(t *testing.T) {
	w := newRandomEvents(t, 3, allClassesSettings())
	for range 1000 {
		w.step()
	}
	w.advance(2 * time.Second)
	for i := range w.requestCount {
		if j := w.requests[fmt.Sprint("r", i+1)]; j.established && !j.answered {
			w.endAttempt(j, OK)
		}
	}
	b := w.driver.balancer
	for _, s := range b.servers.byID {
		if len(s.waitingRequests) != 0 || len(s.connections) != 0 || s.State == Gone {
			t.Errorf("%s: %d wait for its probe, %d connections, state %v", s.ID, len(s.waitingRequests), len(s.connections), s.State)
		}
	}
	if len(b.requests.byID) != 0 || len(b.requests.bySequence) != 0 || len(b.requests.groups) != 0 || len(b.admission.queue) != 0 || b.admission.inSetup != 0 || b.requests.openConnections != 0 {
		t.Errorf("left: %d requests, %d numbers, %d groups, %d busy, %d open",
			len(b.requests.byID), len(b.requests.bySequence), len(b.requests.groups), b.admission.inSetup, b.requests.openConnections)
	}
}
