package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestLogIsThrottled(t *testing.T) {
	d := newDriver(t, testSettings())
	var lines []Log
	for i := range 40 { // no server for 20 seconds
		d.sendRequest(fmt.Sprint("r", i))
		lines = append(lines, actionsOf[Log](d.runFor(500*ms))...)
	}
	if len(lines) < 1 || len(lines) > 2 {
		t.Errorf("%d lines in 20 seconds, want 1 or 2: %v", len(lines), lines)
	}
	for _, line := range lines {
		if !strings.HasPrefix(line.Text, "congestion: ") || line.Message != "admission paused by congestion" ||
			len(line.Attributes) != 2 || line.Attributes[1].Key != "failure_rate" {
			t.Errorf("%+v", line)
		}
	}
}

// An hour back, counters that decay over seconds grew beyond all numbers.
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
			t.Fatal("nothing is placed any more")
		}
		d.now += 100 * ms
	}
	for _, s := range d.balancer.servers.ready {
		load, share := d.balancer.estimatedLoad(s), d.balancer.drawShare(&request{}, s)
		if !(load < 1) || !(share > 0.05) {
			t.Errorf("%s is at %v and keeps %v of its draws", s.ID, load, share)
		}
	}
}

// After silence of hours nothing is left of the usual rates, and nothing is missed.
func TestPlacesAfterHoursOfSilence(t *testing.T) {
	d := newDriver(t, testSettings())
	placed := 0
	// follow answers all that the actions ask for; connections end as they stand.
	follow := func(actions []Action) {
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
			follow(d.handle(Request{ID: id, Class: "c", Reconnecting: true, Deadline: d.now + 2*time.Second}))
			for range 50 {
				follow(d.runFor(10 * ms))
			}
		}
		if placed < 10 {
			t.Errorf("round %d: %d of 40 reconnecting clients placed at a fleet that is cold and empty", round, placed)
		}
		for range 300 { // what still waits is placed or rejected
			follow(d.runFor(10 * ms))
		}
		d.runFor(200 * time.Second)
		d.now += 5 * time.Hour
	}
}
