package balance

import (
	"fmt"
	"testing"
	"time"
)

// Requests with very little time left, which servers drop without a word, say nothing of the servers:
// however many come, usual ones are placed at once, and no server is left out of the draws.
func TestShortDeadlinesCountAgainstNobody(t *testing.T) {
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
		t.Errorf("%d of %d servers are avoided", avoided, len(servers))
	}
	for i := range 20 {
		id := fmt.Sprint("usual", i)
		actions := d.handle(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
		onlyAttempt(t, d.answerProbes(actions, 0.2))
	}
}

// A server that leaves requests unanswered which had their usual time counts as faulty.
func TestTimeoutOfAUsualRequestCounts(t *testing.T) {
	d := newDriver(t, testSettings(), "s1", "s2", "s3", "s4")
	for i := range 12 {
		id := fmt.Sprint("r", i)
		actions := d.handle(Request{ID: id, Class: "c", Deadline: d.now + 2*time.Second})
		probes := actionsOf[Probe](actions)
		if len(probes) == 0 { // admission is paused: what was to be shown
			return
		}
		for _, attempt := range actionsOf[Attempt](d.answerProbes(actions, 0.2)) {
			d.now += 2 * time.Second
			d.handle(AttemptEnded{ID: id, Server: attempt.Server, Outcome: TimedOut, LoadReport: EmptyLoadReport})
		}
	}
	if d.balancer.AvoidedServers() == 0 && d.balancer.admission.backoff == 0 {
		t.Error("timeouts of usual requests count nowhere")
	}
}

// onlyAttempt returns the one attempt among actions.
func onlyAttempt(t *testing.T, actions []Action) Attempt {
	t.Helper()
	attempts := actionsOf[Attempt](actions)
	if len(attempts) != 1 {
		t.Fatalf("%d attempts in %+v, want 1", len(attempts), actions)
	}
	return attempts[0]
}
