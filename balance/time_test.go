package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestLogIsThrottled(t *testing.T) {
	d := newDriver(t, testSettings())
	var entries []Log
	for i := range 40 { // no server is available for 20 s
		d.sendRequest(fmt.Sprint("r", i))
		entries = append(entries, actionsOf[Log](d.runFor(500*ms))...)
	}
	if len(entries) < 1 || len(entries) > 2 {
		t.Errorf("%d log entries in 20 s, want 1 or 2: %v", len(entries), entries)
	}
	for _, entry := range entries {
		if !strings.HasPrefix(entry.Text, "congestion: ") ||
			entry.Message != "admission paused by congestion" ||
			len(entry.Attributes) != 2 || entry.Attributes[1].Key != "failure_rate" {
			t.Errorf("%+v", entry)
		}
	}
}

// Regression test: when the clock stepped back by an hour, counters that decay within seconds grew without
// bound.
func TestClockSteppingBack(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.now = 10 * time.Hour
	loads := equalLoads(0.3, "a", "b")
	for i := range 20 {
		d.placeRequest(fmt.Sprint("r", i), loads)
		d.now += 100 * ms
	}
	timedOut := ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport}
	d.handle(timedOut)
	d.now -= 2 * time.Hour
	d.handle(timedOut)
	d.now += 2 * time.Hour
	for i := range 20 {
		if _, server := d.placeRequest(fmt.Sprint("q", i), loads); server == "" {
			t.Fatal("request was not placed after the clock stepped back")
		}
		d.now += 100 * ms
	}
	for _, s := range d.balancer.servers.ready {
		load, share := d.balancer.estimatedLoad(s), d.balancer.drawShare(&request{}, s)
		if !(load < 1) || !(share > 0.05) {
			t.Errorf("server %s has an estimated load of %v and keeps %v of its draws", s.ID, load, share)
		}
	}
}

// After hours without requests, the estimates of the usual rates have decayed to nothing. Requests must still
// be placed then.
func TestPlacesAfterHoursWithoutRequests(t *testing.T) {
	d := newDriver(t, testSettings())
	placed := 0
	// carryOut answers all probes and establishes all attempts, including those that result. Each connection
	// ends as soon as it is established.
	carryOut := func(actions []Action) {
		for len(actions) > 0 {
			var next []Action
			for _, p := range actionsOf[Probe](actions) {
				next = append(next, d.answerProbe(p.Server, 0.1)...)
			}
			for _, a := range actionsOf[Attempt](actions) {
				placed++
				next = append(next, d.handle(ConnectionEstablished{ID: a.ID, Server: a.Server})...)
				next = append(next, d.endConnection(a.ID, a.Server, OK)...)
			}
			actions = next
		}
	}
	for round := range 3 {
		d.updateList(ListFull, ServerEntry{ID: "a", StartedAt: d.now}, ServerEntry{ID: "b", StartedAt: d.now})
		placed = 0
		for i := range 40 {
			id := fmt.Sprint(round, " ", i)
			carryOut(d.handle(Request{
				ID: id, Class: "c", Reconnecting: true, Deadline: d.now + 2*time.Second}))
			for range 50 {
				carryOut(d.runFor(10 * ms))
			}
		}
		if placed < 10 {
			t.Errorf("round %d: %d of 40 reconnecting clients placed in a cold, empty fleet, want 10 or more",
				round, placed)
		}
		for range 300 { // until the waiting requests have been placed or rejected
			carryOut(d.runFor(10 * ms))
		}
		d.runFor(200 * time.Second)
		d.now += 5 * time.Hour
	}
}
