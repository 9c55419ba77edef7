package balance

import (
	"fmt"
	"testing"
	"time"
)

// The timer of a probe's patience, still to come when the connection stood,
// was taken for the one that moves it.
func TestStaleTimerDoesNotMigrate(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	if _, at := placeRequest(d, "r", map[string]float64{"a": 0.1}); at != "a" {
		t.Fatalf("placed on %q", at)
	}
	d.handle(ConnectionEstablished{ID: "r", Server: "a"})
	if got := actionsOf[Migrate](d.runUntil(d.now + 5*time.Second)); len(got) != 0 {
		t.Errorf("%d moves, want none", len(got))
	}
}

func TestDrainingServerIsEmptied(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	for i := range 5 {
		d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	d.updateList(ListDelta, ServerEntry{ID: "a", State: Draining})
	if got := actionsOf[Migrate](d.runUntil(d.now + drainSpread + ms)); len(got) != 5 {
		t.Errorf("%d moves within the spread, want 5", len(got))
	}
}

// Moves follow fresh reports only: an unanswered probe leaves the last one,
// which may be long out of date.
func TestRebalancingNeedsFreshReport(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := newDriver(t, testSettings(), "a", "b")
		for i := range 20 {
			d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
		}
		d.now += 10 * time.Second
		d.balancer.servers.byID["a"].reportedLoad = 3
		var got []Action
		if answered {
			got = d.answerProbe("a", 3)
		} else {
			got = d.handle(ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport})
		}
		if moves := len(actionsOf[Migrate](got)); (moves > 0) != answered {
			t.Errorf("answered %v: %d moves", answered, moves)
		}
	}
}

// A server that is far above an easy fleet sheds callers sooner: on a calm day its
// load swings over its capacity now and then, and others have room.
func TestUnevenLoadIsRebalanced(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	for i := range 40 {
		d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	for range 16 {
		d.answerProbe("b", 0.4)
	}
	if got := actionsOf[Migrate](d.answerProbe("a", 0.87)); len(got) == 0 {
		t.Error("nobody moved from a server at load 0.87 beside one at 0.40")
	}
}

// A server that was overfull from the start is relieved in its first seconds: a
// report from before is asked for again, the first round has the whole budget of
// moves, and after it the server is looked at again, all without a draw.
func TestOverloadedServerIsRebalancedAfterTakeover(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	for i := range 40 {
		d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	loads := []float64{0, 1.06, 1} // as its reports tell, one after the other
	var moved []int
	for d.now < 5*time.Second && len(moved) < len(loads) {
		for range actionsOf[Probe](d.runUntil(d.now + maintenanceInterval)) {
			moved = append(moved, len(actionsOf[Migrate](d.answerProbe("a", loads[len(moved)]))))
		}
	}
	if len(moved) != 3 || moved[0] != 0 || moved[1] < 6 || moved[2] == 0 {
		t.Errorf("moved %v after each look, want none, a good part, some more", moved)
	}
}

// On sockets nothing tells of a server that grows full or slow but its reports, and
// draws may not meet it for many seconds: one that holds connections is looked at.
func TestServersWithConnectionsAreProbed(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c"}, Server: "a"})
	probed := map[string]int{}
	for range 40 {
		for _, p := range actionsOf[Probe](d.runUntil(d.now + maintenanceInterval)) {
			probed[p.Server]++
			d.answerProbe(p.Server, 0.5)
		}
	}
	if probed["a"] < 5 || probed["a"] > 12 || probed["b"] != 0 {
		t.Errorf("probed %v in 10 s, want a now and then and b never", probed)
	}
}
