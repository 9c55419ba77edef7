package balance

import (
	"fmt"
	"testing"
	"time"
)

// A request whose client disconnects must release, in each phase, its place in the queue, its place in the
// window, and the load counted for it at its server. A burst of such requests once made their servers look
// full for a second.
func TestCanceledRequestReleasesItsState(t *testing.T) {
	for phase, name := range map[requestPhase]string{
		queued:     "queued",
		drawing:    "drawing",
		attempting: "attempting",
	} {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, testSettings(), "a", "b", "c")
			loads := equalLoads(0.1, "a", "b", "c")
			d.placeRequest("stays", loads)
			d.handle(ConnectionEstablished{ID: "stays", Server: "a", Latency: ms})
			admission, requests := &d.balancer.admission, &d.balancer.requests
			before := admission.inSetup
			for i := range 60 {
				id := fmt.Sprint("r", i)
				switch phase {
				case queued:
					admission.backoffEndsAt = d.now + time.Minute
					d.sendRequest(id)
				case drawing:
					d.sendRequest(id)
				default:
					d.placeRequest(id, loads)
				}
				if r := requests.byID[id]; r.phase != phase {
					t.Fatalf("request %s is in phase %d", id, r.phase)
				}
				d.handle(ClientGone{ID: id})
			}
			if admission.inSetup != before || len(admission.queue) > 0 {
				t.Errorf("after cancellation: %d requests in set-up, %d queued",
					admission.inSetup, len(admission.queue))
			}
			if len(requests.byID) != 1 || requests.openConnections != 1 {
				t.Errorf("%d requests and %d open connections remain, want 1 of each",
					len(requests.byID), requests.openConnections)
			}
			for id, s := range d.balancer.servers.byID {
				if load := s.placedLoad.value(d.now); load > s.loadPerConnection+1e-9 {
					t.Errorf("canceled requests still count as a load of %.3f on %s", load, id)
				}
				if len(s.waitingRequests) > 0 {
					t.Errorf("%d requests still wait for the probe of %s", len(s.waitingRequests), id)
				}
			}
		})
	}
}

// The retry of a keyed request that may have run must time out when its key window ends. If a slow dial sent
// it later, no server would drop it as a repeat any more.
func TestRetryTimeoutEndsWithKeyWindow(t *testing.T) {
	for idempotency, name := range map[Idempotency]string{
		Idempotent:       "idempotent",
		IdempotencyKeyed: "keyed",
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.Classes[0].Idempotency, settings.Classes[0].KeyWindow = idempotency, 300*ms
			d := newDriver(t, settings, "a", "b", "c")
			sentAt := d.now
			_, server := d.placeRequest("r", equalLoads(0.1, "a", "b", "c"))
			d.runFor(120 * ms)
			actions := d.answerProbes(d.endAttempt(0, server, Errored), 0.1)
			attempts := actionsOf[Attempt](actions)
			if len(attempts) != 1 {
				t.Fatalf("got %v, want one attempt", actions)
			}
			want := time.Duration(0)
			if idempotency == IdempotencyKeyed {
				want = sentAt + 300*ms - d.now
			}
			if attempts[0].Timeout != want {
				t.Errorf("the retry times out after %v, want %v", attempts[0].Timeout, want)
			}
		})
	}
}
