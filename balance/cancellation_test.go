package balance

import (
	"fmt"
	"testing"
	"time"
)

// A client that leaves gives back what it held at whatever stage it goes: its turn, its
// place among those that draw, and its weight at the server that it was sent to. A burst of
// leavers once made their servers look full for a second.
func TestCanceledRequestReleasesItsState(t *testing.T) {
	for _, stage := range []requestPhase{queued, drawing, attempting} {
		d := newDriver(t, testSettings(), "a", "b", "c")
		loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
		placeRequest(d, "stays", loads)
		d.handle(ConnectionEstablished{ID: "stays", Server: "a", Latency: ms})
		before := d.balancer.admission.inSetup
		for i := range 60 {
			id := fmt.Sprint("r", i)
			switch stage {
			case queued:
				d.balancer.admission.backoffEndsAt = d.now + time.Minute
				d.sendRequest(id)
			case drawing:
				d.sendRequest(id)
			default:
				placeRequest(d, id, loads)
			}
			if r := d.balancer.requests.byID[id]; r.phase != stage {
				t.Fatalf("stage %d: %s is at %d", stage, id, r.phase)
			}
			d.handle(ClientGone{ID: id})
		}
		if n := d.balancer.admission.inSetup; n != before || len(d.balancer.admission.queue) > 0 || len(d.balancer.requests.byID) != 1 || d.balancer.requests.openConnections != 1 {
			t.Errorf("stage %d: %d are busy, %d wait, %d are known, %d stand", stage, n, len(d.balancer.admission.queue), len(d.balancer.requests.byID), d.balancer.requests.openConnections)
		}
		for id, s := range d.balancer.servers.byID {
			if left := s.placedLoad.value(d.now); left > s.loadPerConnection+1e-9 {
				t.Errorf("stage %d: leavers weigh %.3f at %s", stage, left, id)
			}
			if len(s.waitingRequests) > 0 {
				t.Errorf("stage %d: %d wait for %s", stage, len(s.waitingRequests), id)
			}
		}
	}
}

// A repeat of what may have run is out no longer than its window is open: in a dial that
// takes long it would be sent when nobody drops it any more.
func TestRetryTimeoutEndsWithKeyWindow(t *testing.T) {
	for _, effect := range []Idempotency{Idempotent, IdempotencyKeyed} {
		set := testSettings()
		set.Classes[0].Idempotency, set.Classes[0].KeyWindow = effect, 300*ms
		d := newDriver(t, set, "a", "b", "c")
		loads := map[string]float64{"a": 0.1, "b": 0.1, "c": 0.1}
		begun := d.now
		_, at := placeRequest(d, "r", loads)
		d.runUntil(d.now + 120*ms)
		actions := d.handle(AttemptEnded{ID: "r", Server: at, Outcome: Errored, LoadReport: EmptyLoadReport})
		for len(actionsOf[Probe](actions)) > 0 {
			actions = d.answerProbe(actionsOf[Probe](actions)[0].Server, 0.1)
		}
		sent := actionsOf[Attempt](actions)
		if len(sent) != 1 {
			t.Fatalf("effect %d: %v", effect, actions)
		}
		want := time.Duration(0)
		if effect == IdempotencyKeyed {
			want = begun + 300*ms - d.now
		}
		if sent[0].Timeout != want {
			t.Errorf("effect %d: the repeat may be out for %v, want %v", effect, sent[0].Timeout, want)
		}
	}
}
