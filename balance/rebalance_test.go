package balance

import (
	"testing"
	"time"
)

// The timer of a probe's timeout, still to come when the connection stood, was taken for the one
// that migrates it.
func TestStaleTimerDoesNotMigrate(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	if _, server := d.placeRequest("r", equalLoads(0.1, "a")); server != "a" {
		t.Fatalf("placed on %q", server)
	}
	d.handle(ConnectionEstablished{ID: "r", Server: "a"})
	if got := actionsOf[Migrate](d.runFor(5 * time.Second)); len(got) != 0 {
		t.Errorf("%d migrations, want none", len(got))
	}
}

func TestDrainingServerIsEmptied(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(5, "a")
	d.updateList(ListDelta, ServerEntry{ID: "a", State: Draining})
	if got := actionsOf[Migrate](d.runFor(drainSpread + ms)); len(got) != 5 {
		t.Errorf("%d migrations within the spread, want 5", len(got))
	}
}

// Migrations follow fresh reports only: an unanswered probe leaves the last one, which may be long
// out of date.
func TestRebalancingNeedsFreshReport(t *testing.T) {
	for _, answered := range []bool{true, false} {
		d := newDriver(t, testSettings(), "a", "b")
		d.openConnections(20, "a")
		d.now += 10 * time.Second
		d.balancer.servers.byID["a"].reportedLoad = 3
		var got []Action
		if answered {
			got = d.answerProbe("a", 3)
		} else {
			got = d.handle(ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport})
		}
		if n := len(actionsOf[Migrate](got)); (n > 0) != answered {
			t.Errorf("answered %v: %d migrations", answered, n)
		}
	}
}

// A server that is far above an easy fleet gives up connections sooner: on a calm day its load
// swings over its capacity now and then, and others have capacity left.
func TestUnevenLoadIsRebalanced(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(40, "a")
	for range 16 {
		d.answerProbe("b", 0.4)
	}
	if got := actionsOf[Migrate](d.answerProbe("a", 0.87)); len(got) == 0 {
		t.Error("no connection migrated from a server at load 0.87 beside one at 0.40")
	}
}

// A server that was overloaded from the start is rebalanced in its first seconds: a report from
// before is asked for again, the first round has the whole migration budget, and after it the
// server is probed again, all without a draw.
func TestOverloadedServerIsRebalancedAfterTakeover(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(40, "a")
	loads := []float64{0, 1.06, 1} // by its reports, one after the other
	var migrated []int             // after each of them
	for d.now < 5*time.Second && len(migrated) < len(loads) {
		for range actionsOf[Probe](d.runFor(maintenanceInterval)) {
			actions := d.answerProbe("a", loads[len(migrated)])
			migrated = append(migrated, len(actionsOf[Migrate](actions)))
		}
	}
	if len(migrated) != 3 || migrated[0] != 0 || migrated[1] < 6 || migrated[2] == 0 {
		t.Errorf("migrated %v after each report, want none, a good part, some more", migrated)
	}
}

// On sockets nothing but its reports shows that a server grows full or slow, and draws may not meet
// it for many seconds: one that holds connections is probed.
func TestServersWithConnectionsAreProbed(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(1, "a")
	probed := map[string]int{}
	for range 40 {
		for _, p := range actionsOf[Probe](d.runFor(maintenanceInterval)) {
			probed[p.Server]++
			d.answerProbe(p.Server, 0.5)
		}
	}
	if probed["a"] < 5 || probed["a"] > 12 || probed["b"] != 0 {
		t.Errorf("probed %v in 10 s, want a now and then and b never", probed)
	}
}
