package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A class without a latency objective left its probes no time at all: every server was passed over
// before it could answer, and the draws said nothing.
func TestProbeTimeoutWithoutLatencyObjective(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].LatencyObjective = 0
	d := newDriver(t, settings, "a", "b")
	probes := actionsOf[Probe](d.sendRequest("r"))
	if got := d.runFor(5 * ms); len(got) != 0 {
		t.Errorf("after 5 ms: %v, want to wait for %s", got, probes[0].Server)
	}
	if got := actionsOf[Attempt](d.answerProbe(probes[0].Server, 0.1)); len(got) != 1 {
		t.Errorf("placed by its answer: %v, want one attempt", got)
	}
}

// A load counter that has wrapped was cut into a level below 0, as the whole number overflowed, and
// its server passed as low. What is no number spoiled the mean load and the load of one
// connection for good.
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
				t.Errorf("the mean load went from %.2f to %.2f", before, got)
			}
			if believed := report.Utilization >= 0 && report.Utilization < 1; !believed {
				expectNotLow(t, d, report)
			}
			a := b.servers.byID["a"]
			added := b.estimateAddedLoad(b.trackRequest(Request{ID: "w", Class: "c"}), a)
			if !(added > 0.001) || added > 0.25 {
				t.Errorf("a connection adds %v there", added)
			}
			d.reportLoad("a", loadReport(0.5, 20))
			if got := b.estimatedLoad(a); !(math.Abs(got-0.5) < 0.2) {
				t.Errorf("load %v after a plausible report of 0.5", got)
			}
		})
	}
}

// expectNotLow draws until a is probed and answers with the report, which must not place the request
// there if it says more than full.
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
			t.Error("passed as low")
		}
		return
	}
}

// One client's hint of 1e300 became the mean, and for thousands of requests no other connection
// added anything: what was placed did not show.
func TestOneHugeLoadHint(t *testing.T) {
	for _, huge := range []float64{1e300, math.Inf(1), 1e18, math.NaN(), -1, 0} {
		t.Run(fmt.Sprint(huge), func(t *testing.T) {
			d := newDriver(t, testSettings(), "a")
			addedLoad := func(id string, hint float64) float64 {
				d.handle(Request{ID: id, Class: "c", LoadHint: hint, Deadline: d.now + time.Second})
				d.reportLoad("a", loadReport(0.4, 40))
				load := d.balancer.estimateAddedLoad(d.balancer.requests.byID[id], d.balancer.servers.byID["a"])
				d.handle(ClientGone{ID: id})
				return load
			}
			before := 0.0
			for i := range 100 {
				before = addedLoad(fmt.Sprint("r", i), 0.5)
			}
			if load := addedLoad("huge", huge); !(load > 0) || load > 0.25 {
				t.Errorf("it adds %v", load)
			}
			if load := addedLoad("q", 0.5); !(load > before/2) || load > 2*before {
				t.Errorf("another adds %v after it, %v before", load, before)
			}
		})
	}
}

// Where it came first it was the mean itself, and the others still added nothing.
func TestFirstLoadHintIsHuge(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.reportLoad("a", loadReport(0.4, 40))
	for i, hint := range []float64{1e9, 0.5, 0.5, 0.5} {
		id := fmt.Sprint("r", i)
		d.handle(Request{ID: id, Class: "c", LoadHint: hint, Deadline: d.now + time.Second})
		load := d.balancer.estimateAddedLoad(d.balancer.requests.byID[id], d.balancer.servers.byID["a"])
		if load < 0.0006 {
			t.Errorf("hint %v adds %v, want a sixteenth of 0.01 at least", hint, load)
		}
	}
}

// The first hint after a hundred connections without one counted 1/64 of itself as the mean, and
// its connection added 64 times what it should.
func TestFirstLoadHintAfterManyWithout(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.openConnections(100, "a")
	d.runFor(20 * time.Second)
	d.answerProbe("a", 0.5)
	d.reportLoad("a", loadReport(0.5, 100))
	d.handle(Request{ID: "r", Class: "c", LoadHint: 7, Deadline: d.now + time.Second})
	load := d.balancer.estimateAddedLoad(d.balancer.requests.byID["r"], d.balancer.servers.byID["a"])
	if load > 0.01 {
		t.Errorf("adds %.3f, want about 0.005 as all others", load)
	}
}

// A full server serves nobody in time, but one below its capacity serves all: up to nine tenths
// connections stay where they are, and new ones are placed up to 0.85.
func TestBusyServerIsNotFull(t *testing.T) {
	for load, want := range map[float64]bool{0.8: true, 0.9: false} {
		d := newDriver(t, testSettings(), "a")
		d.openConnections(1, "a")
		if got := d.answerProbe("a", load); len(actionsOf[Migrate](got)) != 0 {
			t.Errorf("migrated at load %.2f", load)
		}
		if _, server := d.placeRequest("r", equalLoads(load, "a")); (server != "") != want {
			t.Errorf("placed %v at load %.2f, want %v", server != "", load, want)
		}
	}
}

// A server may be slow with cores to spare, as a noisy neighbour takes them. Where a message takes
// longer than its latency objective, it serves nobody, and counts as full.
func TestSlowServerCountsAsFull(t *testing.T) {
	for latencyMillis, want := range map[float64]bool{20: true, 300: false} {
		d := newDriver(t, testSettings(), "a")
		d.openConnections(1, "a")
		d.sendRequest("r")
		report := loadReport(0.4, -1)
		report.LatencyMillis = latencyMillis
		got := d.reportLoad("a", report)
		if sent := len(actionsOf[Attempt](got)) > 0; sent != want {
			t.Errorf("sent there with a service time of %v ms: %v, want %v", latencyMillis, sent, want)
		}
	}
}

// What was refused counted as load of its server for a second all the same, as if it had been
// placed: a server that could serve the next looked fuller with each.
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
		t.Errorf("load %.3f after five that failed, %.3f before", got, before)
	}
}
