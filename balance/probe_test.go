package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Regression test: in a class without a latency objective, the probe timeout was 0: every server was skipped
// before it could answer, and the draws had no effect.
func TestProbeTimeoutWithoutLatencyObjective(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LatencyObjective = 0
	d := newDriver(t, settings, "a", "b")
	probes := actionsOf[Probe](d.sendRequest("r"))
	if got := d.runFor(5 * ms); len(got) != 0 {
		t.Errorf("after 5 ms: got %v, want to wait for the probe of %s", got, probes[0].Server)
	}
	if got := actionsOf[Attempt](d.answerProbe(probes[0].Server, 0.1)); len(got) != 1 {
		t.Errorf("after the probe result: got %v, want one attempt", got)
	}
}

// Regression test: the load of a wrapped counter overflowed in the conversion to a level, which became
// negative, so that the server counted as low. NaN corrupted the mean load and the load per connection
// permanently.
func TestImplausibleReportsAreIgnored(t *testing.T) {
	inf, nan, wrapped := math.Inf(1), math.NaN(), 18446744073709551615.0
	for _, report := range []LoadReport{
		loadReport(nan, 5),
		loadReport(inf, 5),
		loadReport(wrapped, 5),
		loadReport(1e300, 5),
		loadReport(inf, inf),
		loadReport(0.3, nan),
		loadReport(0.3, inf),
		loadReport(0.3, wrapped),
		loadReport(-0.3, 5),
		loadReport(math.Inf(-1), 5),
		loadReport(0.3, -1),
	} {
		t.Run(fmt.Sprint(report.Utilization, " with ", report.Inflight), func(t *testing.T) {
			d := newDriver(t, testSettings(), "a", "b")
			b := d.balancer
			for i := range 20 {
				d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "b"})
				d.reportLoad("a", loadReport(0.5, 20))
				d.reportLoad("b", loadReport(0.5, 20))
			}
			before := b.fleet.meanLoad
			d.reportLoad("a", report)
			if got := b.fleet.meanLoad; !(math.Abs(got-before) < 0.2) {
				t.Errorf("the mean load changed from %.2f to %.2f", before, got)
			}
			if plausible := report.Utilization >= 0 && report.Utilization < 1; !plausible {
				expectNotLow(t, d, report)
			}
			a := b.servers.byID["a"]
			added := b.estimateAddedLoad(b.trackRequest(Request{ID: "w", Class: "c"}), a)
			if !(added > 0.001) || added > 0.25 {
				t.Errorf("estimated load added by a connection is %v, want 0.001 to 0.25", added)
			}
			d.reportLoad("a", loadReport(0.5, 20))
			if got := b.estimatedLoad(a); !(math.Abs(got-0.5) < 0.2) {
				t.Errorf("estimated load %v after a plausible report of 0.5", got)
			}
		})
	}
}

// expectNotLow sends a request and answers the probe of the server a with the report. If the reported
// utilization is above 1, the request must not be placed on a.
func expectNotLow(t *testing.T, d *driver, report LoadReport) {
	t.Helper()
	actions := d.sendRequest("r")
	for len(actionsOf[Probe](actions)) > 0 {
		if actionsOf[Probe](actions)[0].Server != "a" {
			actions = d.reportLoad("b", loadReport(0.95, 20))
			continue
		}
		attempts := actionsOf[Attempt](d.reportLoad("a", report))
		if len(attempts) == 1 && attempts[0].Server == "a" && report.Utilization > 1 {
			t.Error("request placed on a, which reports a utilization above 1")
		}
		return
	}
}

// Regression test: a single load hint of 1e300 dominated the mean hint. For thousands of requests, all other
// connections were estimated to add no load, so placements did not show in the load of their servers.
func TestHugeLoadHintDoesNotDominateMean(t *testing.T) {
	for _, huge := range []float64{1e300, math.Inf(1), 1e18, math.NaN(), -1, 0} {
		t.Run(fmt.Sprint(huge), func(t *testing.T) {
			d := newDriver(t, testSettings(), "a")
			addedLoad := func(id string, hint float64) float64 {
				d.handle(Request{ID: id, Class: "c", LoadHint: hint, Deadline: d.now + time.Second})
				d.reportLoad("a", loadReport(0.4, 40))
				load := d.balancer.estimateAddedLoad(
					d.balancer.requests.byID[id], d.balancer.servers.byID["a"])
				d.handle(ClientGone{ID: id})
				return load
			}
			before := 0.0
			for i := range 100 {
				before = addedLoad(fmt.Sprint("r", i), 0.5)
			}
			if load := addedLoad("huge", huge); !(load > 0) || load > 0.25 {
				t.Errorf("the connection with the huge hint adds a load of %v, want up to 0.25", load)
			}
			if load := addedLoad("q", 0.5); !(load > before/2) || load > 2*before {
				t.Errorf("another connection adds a load of %v after the huge hint, %v before", load, before)
			}
		})
	}
}

// Regression test: if the first load hint was huge, it became the mean hint itself, and all other connections
// were estimated to add no load.
func TestHugeFirstLoadHint(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.reportLoad("a", loadReport(0.4, 40))
	for i, hint := range []float64{1e9, 0.5, 0.5, 0.5} {
		id := fmt.Sprint("r", i)
		d.handle(Request{ID: id, Class: "c", LoadHint: hint, Deadline: d.now + time.Second})
		load := d.balancer.estimateAddedLoad(d.balancer.requests.byID[id], d.balancer.servers.byID["a"])
		if load < 0.0006 {
			t.Errorf("hint %v adds a load of %v, want about 0.01/16 at least", hint, load)
		}
	}
}

// Regression test: after 100 connections without a load hint, the first hint was averaged to a mean of 1/64
// of itself, and its connection was estimated to add 64 times its actual load.
func TestFirstLoadHintAfterManyWithout(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.openConnections(100, "a")
	d.runFor(20 * time.Second)
	d.answerProbe("a", 0.5)
	d.reportLoad("a", loadReport(0.5, 100))
	d.handle(Request{ID: "r", Class: "c", LoadHint: 7, Deadline: d.now + time.Second})
	load := d.balancer.estimateAddedLoad(d.balancer.requests.byID["r"], d.balancer.servers.byID["a"])
	if load > 0.01 {
		t.Errorf("the connection adds a load of %.3f, want about 0.005 like all others", load)
	}
}

// A server serves all of its clients in time up to its capacity, and none of them beyond it. At a load of up
// to 0.9 connections must not be migrated, and up to 0.85 new ones must be placed.
func TestBusyServerIsNotFull(t *testing.T) {
	for load, want := range map[float64]bool{0.8: true, 0.9: false} {
		d := newDriver(t, testSettings(), "a")
		d.openConnections(1, "a")
		if got := d.answerProbe("a", load); len(actionsOf[Migrate](got)) != 0 {
			t.Errorf("connection migrated at load %.2f", load)
		}
		if _, server := d.placeRequest("r", equalLoads(load, "a")); (server != "") != want {
			t.Errorf("placed %v at load %.2f, want %v", server != "", load, want)
		}
	}
}

// A server may be slow although its utilization is low, for instance because a noisy neighbour takes its
// cores. If messages take longer than their latency objective, it serves no client in time and must count as
// full.
func TestSlowServerCountsAsFull(t *testing.T) {
	for latencyMillis, want := range map[float64]bool{20: true, 300: false} {
		d := newDriver(t, testSettings(), "a")
		d.openConnections(1, "a")
		d.sendRequest("r")
		report := loadReport(0.4, -1)
		report.LatencyMillis = latencyMillis
		got := d.reportLoad("a", report)
		if sent := len(actionsOf[Attempt](got)) > 0; sent != want {
			t.Errorf("with a service time of %v ms: request sent %v, want %v", latencyMillis, sent, want)
		}
	}
}

// Regression test: a refused attempt counted as load of its server for a second, as if it had been placed, so
// that a server with capacity for the next request looked fuller after each refusal.
func TestFailedAttemptReleasesPlacedLoad(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	report := loadReport(0.4, 8)
	d.reportLoad("a", report)
	a := d.balancer.servers.byID["a"]
	before := d.balancer.estimatedLoad(a)
	for i := range 5 {
		id := string(rune('a' + i))
		d.sendRequest(id)
		if attempts := actionsOf[Attempt](d.reportLoad("a", report)); len(attempts) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		d.now += 20 * ms
		d.handle(AttemptEnded{ID: id, Server: "a", Outcome: ConnectFailed, LoadReport: EmptyLoadReport})
		d.runFor(time.Second / 4)
	}
	d.reportLoad("a", report)
	if got := d.balancer.estimatedLoad(a); got > before+0.01 {
		t.Errorf("estimated load %.3f after five failed attempts, %.3f before", got, before)
	}
}
