package balance

import (
	"testing"
	"time"
)

// Regression test: the timer of a probe timeout that was still pending when the connection was established
// was taken for the timer of its migration.
func TestStaleTimerDoesNotMigrate(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	if _, server := d.placeRequest("r", equalLoads(0.1, "a")); server != "a" {
		t.Fatalf("placed on %q, want a", server)
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
		t.Errorf("%d migrations within drainSpread, want 5", len(got))
	}
}

// Connections must be migrated only after a fresh report. After an unanswered probe, the last report may be
// long out of date.
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
			t.Errorf("probe answered %v: %d migrations", answered, n)
		}
	}
}

// A server far above the mean load of a lightly loaded fleet must migrate connections at a lower load than in
// a loaded fleet: its load fluctuates and at times exceeds its capacity, although other servers have
// capacity.
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

// A server that is overloaded when its connections are taken over must be rebalanced within seconds, without
// any draw: it is probed again if its report predates the connections, the first round of migrations may use
// the whole budget, and the server is probed again after it.
func TestOverloadedServerIsRebalancedAfterTakeover(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(40, "a")
	loads := []float64{0, 1.06, 1} // of the consecutive reports
	var migrated []int             // number of migrations after each report
	for d.now < 5*time.Second && len(migrated) < len(loads) {
		for range actionsOf[Probe](d.runFor(maintenanceInterval)) {
			actions := d.answerProbe("a", loads[len(migrated)])
			migrated = append(migrated, len(actionsOf[Migrate](actions)))
		}
	}
	if len(migrated) != 3 || migrated[0] != 0 || migrated[1] < 6 || migrated[2] == 0 {
		t.Errorf("migrations after each report are %v, want 0, at least 6, at least 1", migrated)
	}
}

// On long-lived connections, only its reports show that a server has become full or slow, and draws may miss
// it for many seconds. A server that holds connections must therefore be probed regularly.
func TestServersWithConnectionsAreProbed(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(1, "a")
	probes := map[string]int{}
	for range 40 {
		for _, p := range actionsOf[Probe](d.runFor(maintenanceInterval)) {
			probes[p.Server]++
			d.answerProbe(p.Server, 0.5)
		}
	}
	if probes["a"] < 5 || probes["a"] > 12 || probes["b"] != 0 {
		t.Errorf("probes in 10 s are %v, want 5 to 12 of a and none of b", probes)
	}
}
