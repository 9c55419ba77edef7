package balance

import (
	"fmt"
	"testing"
	"time"
)

// Requests with very little time left are dropped by servers without an answer. Their timeouts must not count
// as faults: however many there are, other requests are placed at once and no server is avoided.
func TestShortDeadlineTimeoutsAreNotFaults(t *testing.T) {
	servers := []string{"s1", "s2", "s3", "s4"}
	d := newDriver(t, testSettings(), servers...)
	for i := range 60 {
		id := fmt.Sprint("short", i)
		actions := d.handle(Request{ID: id, Class: "c", Deadline: d.now + 40*ms})
		attempt := onlyAttempt(t, d.answerProbes(actions, 0.2))
		d.now += 40 * ms
		d.handle(AttemptEnded{ID: id, Server: attempt.Server, Outcome: TimedOut, LoadReport: EmptyLoadReport})
	}
	if avoided := d.balancer.AvoidedServers(); avoided != 0 {
		t.Errorf("%d of %d servers avoided, want none", avoided, len(servers))
	}
	for i := range 20 {
		id := fmt.Sprint("usual", i)
		actions := d.handle(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
		onlyAttempt(t, d.answerProbes(actions, 0.2))
	}
}

// Timeouts of requests with a usual deadline must count as faults of the server or as a sign of congestion.
func TestUsualDeadlineTimeoutsAreFaults(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3", "s4")
	for i := range 12 {
		id := fmt.Sprint("r", i)
		actions := d.handle(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
		probes := actionsOf[Probe](actions)
		if len(probes) == 0 { // admission is paused, so the timeouts have been counted
			return
		}
		for _, attempt := range actionsOf[Attempt](d.answerProbes(actions, 0.2)) {
			d.now += 2 * time.Second
			d.handle(AttemptEnded{
				ID: id, Server: attempt.Server, Outcome: TimedOut, LoadReport: EmptyLoadReport})
		}
	}
	if d.balancer.AvoidedServers() == 0 && d.balancer.admission.backoff == 0 {
		t.Error("timeouts of requests with a usual deadline were not counted")
	}
}

// onlyAttempt returns the only attempt among the actions.
func onlyAttempt(t *testing.T, actions []Action) Attempt {
	t.Helper()
	attempts := actionsOf[Attempt](actions)
	if len(attempts) != 1 {
		t.Fatalf("%d attempts in %+v, want 1", len(attempts), actions)
	}
	return attempts[0]
}
