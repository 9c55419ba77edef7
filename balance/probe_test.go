package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A class that names no aim left its probes no time at all: every server was passed over
// before it could answer, and the draws told nothing.
func TestProbeTimeoutWithoutLatencyObjective(t *testing.T) {
	set := testSettings()
	set.Classes[0].LatencyObjective = 0
	d := newDriver(t, set, "a", "b")
	asked := actionsOf[Probe](d.sendRequest("r"))
	if got := d.runUntil(d.now + 5*ms); len(got) != 0 {
		t.Errorf("after 5 ms: %v, want to wait for %s", got, asked[0].Server)
	}
	if got := actionsOf[Attempt](d.answerProbe(asked[0].Server, 0.1)); len(got) != 1 {
		t.Errorf("placed by its answer: %v, want one attempt", got)
	}
}

// A load counter that has wrapped was cut into a level below 0, as the whole number
// overflowed, and its server passed as low. What is no number poisoned the usual load
// and the load of one connection for good.
func TestImplausibleReportsAreIgnored(t *testing.T) {
	inf, nan := math.Inf(1), math.NaN()
	for _, l := range []LoadReport{loadReport(nan, 5), loadReport(inf, 5), loadReport(18446744073709551615, 5), loadReport(1e300, 5),
		loadReport(inf, inf), loadReport(0.3, nan), loadReport(0.3, inf), loadReport(0.3, 18446744073709551615),
		loadReport(-0.3, 5), loadReport(math.Inf(-1), 5), loadReport(0.3, -1)} {
		t.Run(fmt.Sprint(l.Utilization, " with ", l.Inflight), func(t *testing.T) {
			d := newDriver(t, testSettings(), "a", "b")
			tell := func(s string, l LoadReport) []Action {
				return d.handle(ProbeResult{Server: s, Outcome: OK, Latency: ms, LoadReport: l})
			}
			for i := range 20 {
				d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "b"})
				tell("a", loadReport(0.5, 20))
				tell("b", loadReport(0.5, 20))
			}
			usual := d.balancer.fleet.meanLoad
			tell("a", l)
			if got := d.balancer.fleet.meanLoad; !(math.Abs(got-usual) < 0.2) {
				t.Errorf("the usual load went from %.2f to %.2f", usual, got)
			}
			if believed := l.Utilization >= 0 && l.Utilization < 1; !believed {
				asked, actions := "", d.sendRequest("r")
				for asked != "a" && len(actionsOf[Probe](actions)) > 0 { // let it be drawn
					if asked = actionsOf[Probe](actions)[0].Server; asked == "a" {
						actions = tell("a", l)
					} else {
						actions = tell("b", loadReport(0.95, 20))
					}
				}
				if got := actionsOf[Attempt](actions); asked == "a" && len(got) == 1 && got[0].Server == "a" && l.Utilization > 1 {
					t.Error("passed as low")
				}
			}
			if w := d.balancer.estimateAddedLoad(d.balancer.trackRequest(Request{ID: "w", Class: "c"}), d.balancer.servers.byID["a"]); !(w > 0.001) || w > 0.25 {
				t.Errorf("a connection weighs %v there", w)
			}
			tell("a", loadReport(0.5, 20))
			if got := d.balancer.estimatedLoad(d.balancer.servers.byID["a"]); !(math.Abs(got-0.5) < 0.2) {
				t.Errorf("load %v after a sound report of 0.5", got)
			}
		})
	}
}

// One client's hint of 1e300 became the mean, and for thousands of requests no other
// connection weighed anything: what was placed did not show.
func TestOneHugeLoadHint(t *testing.T) {
	for _, huge := range []float64{1e300, math.Inf(1), 1e18, math.NaN(), -1, 0} {
		t.Run(fmt.Sprint(huge), func(t *testing.T) {
			d := newDriver(t, testSettings(), "a")
			hinted := func(id string, hint float64) float64 {
				d.handle(Request{ID: id, Class: "c", LoadHint: hint, Deadline: d.now + time.Second})
				d.handle(ProbeResult{Server: "a", Outcome: OK, Latency: ms, LoadReport: loadReport(0.4, 40)})
				w := d.balancer.estimateAddedLoad(d.balancer.requests.byID[id], d.balancer.servers.byID["a"])
				d.handle(ClientGone{ID: id})
				return w
			}
			usual := 0.0
			for i := range 100 {
				usual = hinted(fmt.Sprint("r", i), 0.5)
			}
			if w := hinted("huge", huge); !(w > 0) || w > 0.25 {
				t.Errorf("it weighs %v", w)
			}
			if w := hinted("q", 0.5); !(w > usual/2) || w > 2*usual {
				t.Errorf("another weighs %v after it, %v before", w, usual)
			}
		})
	}
}

// Where it came first it was the mean itself, and the others still weighed nothing.
func TestFirstLoadHintIsHuge(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	d.handle(ProbeResult{Server: "a", Outcome: OK, Latency: ms, LoadReport: loadReport(0.4, 40)})
	for i, hint := range []float64{1e9, 0.5, 0.5, 0.5} {
		d.handle(Request{ID: fmt.Sprint("r", i), Class: "c", LoadHint: hint, Deadline: d.now + time.Second})
		if w := d.balancer.estimateAddedLoad(d.balancer.requests.byID[fmt.Sprint("r", i)], d.balancer.servers.byID["a"]); w < 0.0006 {
			t.Errorf("hint %v weighs %v, want a sixteenth of 0.01 at least", hint, w)
		}
	}
}

// The first hint after a hundred connections without one counted 1/64 of itself as
// the mean, and its connection weighed 64 times what it should.
func TestFirstLoadHintAfterManyWithout(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	for i := range 100 {
		d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	d.runUntil(d.now + 20*time.Second)
	d.answerProbe("a", 0.5)
	d.handle(ProbeResult{Server: "a", Outcome: OK, Latency: ms, LoadReport: loadReport(0.5, 100)})
	d.handle(Request{ID: "r", Class: "c", LoadHint: 7, Deadline: d.now + time.Second})
	if w := d.balancer.estimateAddedLoad(d.balancer.requests.byID["r"], d.balancer.servers.byID["a"]); w > 0.01 {
		t.Errorf("weighs %.3f, want about 0.005 as all others", w)
	}
}

// A server that was overfull when its connections were taken over is looked at
// once, although no request draws it and no note tells of it.
// A full server serves nobody in time, but one below its capacity serves all: up
// to nine tenths callers stay where they are, and new ones are placed up to 0.85.
func TestBusyServerIsNotFull(t *testing.T) {
	for load, want := range map[float64]bool{0.8: true, 0.9: false} {
		d := newDriver(t, testSettings(), "a")
		d.handle(OpenConnection{Request: Request{ID: "o", Class: "c"}, Server: "a"})
		if got := d.answerProbe("a", load); len(actionsOf[Migrate](got)) != 0 {
			t.Errorf("moved at load %.2f", load)
		}
		if _, at := placeRequest(d, "r", map[string]float64{"a": load}); (at != "") != want {
			t.Errorf("placed %v at load %.2f, want %v", at != "", load, want)
		}
	}
}

// A server may be slow with cores to spare, as a noisy neighbour takes them. Where a
// message takes longer than its aim, it serves nobody, and counts as full.
func TestSlowServerCountsAsFull(t *testing.T) {
	for latency, want := range map[float64]bool{20: true, 300: false} {
		d := newDriver(t, testSettings(), "a")
		d.handle(OpenConnection{Request: Request{ID: "o", Class: "c"}, Server: "a"})
		l := EmptyLoadReport
		l.Utilization, l.LatencyMillis = 0.4, latency
		d.sendRequest("r")
		got := d.handle(ProbeResult{Server: "a", Latency: ms, LoadReport: l})
		if sent := len(actionsOf[Attempt](got)) > 0; sent != want {
			t.Errorf("sent there with a service time of %v ms: %v, want %v", latency, sent, want)
		}
	}
}

// What was refused weighed on its server for a second all the same, as if it had been
// placed: a server that could serve the next looked fuller with each.
func TestFailedAttemptReleasesPlacedLoad(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	l := loadReport(0.4, 8)
	d.handle(ProbeResult{Server: "a", Outcome: OK, Latency: ms, LoadReport: l})
	before := d.balancer.estimatedLoad(d.balancer.servers.byID["a"])
	for i := range 5 {
		id := string(rune('a' + i))
		d.sendRequest(id)
		if sent := actionsOf[Attempt](d.handle(ProbeResult{Server: "a", Outcome: OK, Latency: ms, LoadReport: l})); len(sent) != 1 {
			t.Fatalf("request %d was not sent", i)
		}
		d.now += 20 * ms
		d.handle(AttemptEnded{ID: id, Server: "a", Outcome: ConnectFailed, LoadReport: EmptyLoadReport})
		d.runUntil(d.now + time.Second/4)
	}
	d.handle(ProbeResult{Server: "a", Outcome: OK, Latency: ms, LoadReport: l})
	if got := d.balancer.estimatedLoad(d.balancer.servers.byID["a"]); got > before+0.01 {
		t.Errorf("load %.3f after five that failed, %.3f before", got, before)
	}
}
