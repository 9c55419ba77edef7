package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestLowDrawDecidesAtOnce(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	probes, server := d.placeRequest("r", equalLoads(0.1, "a", "b", "c"))
	if probes != 1 || server == "" {
		t.Errorf("placed on %q after %d probes, want 1 probe", server, probes)
	}
}

func TestDrawingStopsAtTrials(t *testing.T) {
	loads := map[string]float64{}
	var ids []string
	for i := range 40 {
		id := string(rune('A' + i))
		ids = append(ids, id)
		loads[id] = fullLoad - 0.04 + float64(i)/1000
	}
	d := newDriver(t, testSettings(), ids...)
	probes, server := d.placeRequest("r", loads)
	if probes > trials || probes < 2 || server == "" {
		t.Errorf("placed on %q after %d probes, want at most %d", server, probes, trials)
	}
}

// Where every server had a few faults most draws were void, a fifth of the rounds ended with
// none, and that counted as congestion: placements paused although all could serve.
func TestMostlyFaultyFleetStillServes(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	for _, s := range d.balancer.servers.ready {
		for range 20 {
			d.balancer.recordFault(s)
		}
	}
	d.runFor(time.Second)
	for i := range 100 {
		if _, server := d.placeRequest(fmt.Sprint("r", i), equalLoads(0.1, "a", "b", "c", "d")); server == "" {
			t.Fatalf("request %d is held", i)
		}
	}
	worst := d.balancer.servers.ready[0] // one that is worse than the rest is still left out
	for range 200 {
		d.balancer.recordFault(worst)
	}
	if share := d.balancer.drawShare(&request{}, worst); share > 0.1 {
		t.Errorf("the worst keeps %.2f of its draws", share)
	}
}

func TestLevels(t *testing.T) {
	tests := []struct {
		meanLoad, load float64
		want           int
	}{
		{0.6, 0.2, 0}, {0.6, 0.5, 1}, {0.6, 0.61, 2}, {0.6, 0.95, 3},
		{0.05, 0.14, 0}, {0.05, 0.29, 1}, // an idle fleet: nothing to even out
		{1.2, 0.69, 1}, {1.2, 0.71, 2}, // a full one: nearly full never passes as low
	}
	for _, tt := range tests {
		b := &Balancer{fleet: fleetEstimate{meanLoad: tt.meanLoad}}
		if got := b.level(tt.load); got != tt.want {
			t.Errorf("level of %.2f at a mean of %.2f is %d, want %d", tt.load, tt.meanLoad, got, tt.want)
		}
	}
}

// x_0 = x_1 = 1: a low draw decides at once. x_l = d above: d draws, then the least loaded of
// them.
func TestThresholds(t *testing.T) {
	loads := map[string]float64{"a": 0.71, "b": 0.715, "c": 0.705}
	d := newDriver(t, testSettings(), "a", "b", "c")
	for i := range 30 {
		probes, server := d.placeRequest(fmt.Sprint("r", i), loads)
		if probes > trials || server == "" {
			t.Fatalf("placed on %q after %d probes, want at most %d", server, probes, trials)
		}
		if probes == 3 && server != "c" {
			t.Errorf("of three probed %s took it, want c, the least loaded", server)
		}
	}
}

func TestDrawsAreUniform(t *testing.T) {
	const servers, perServer = 20, 500
	var ids []string
	for i := range servers {
		ids = append(ids, fmt.Sprint("s", i))
	}
	d := newDriver(t, testSettings(), ids...)
	r := &request{class: d.balancer.classes["c"]}
	counts := map[string]int{}
	for range servers * perServer {
		counts[d.balancer.drawServer(r).ID]++
	}
	chi := 0.0
	for _, id := range ids {
		chi += math.Pow(float64(counts[id]-perServer), 2) / perServer
	}
	if chi > 43.8 { // 19 degrees of freedom, one in a thousand
		t.Errorf("chi-square %.1f over %d servers: %v", chi, servers, counts)
	}
}

// The least of d noisy readings is mostly luck: a full fleet would always seem to have capacity.
func TestLuckyReadingDoesNotHideFullFleet(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	for range 40 {
		d.answerProbe("a", 1)
	}
	b, s := d.balancer, d.balancer.servers.byID["a"]
	s.reportedLoad = 0.72 // a lucky reading
	if got := b.estimatedLoad(s); got < fullLoad {
		t.Errorf("load %.2f, want at least %.2f", got, fullLoad)
	}
	s.reportedLoad = 0.1 // capacity beyond doubt
	if got := b.estimatedLoad(s); got >= fullLoad {
		t.Errorf("load %.2f, want under %.2f", got, fullLoad)
	}
}

// Avoided are the servers that drain and those that have failed more than the others of late.
func TestAvoidedServers(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	expect := func(n int, when string) {
		t.Helper()
		if got := d.balancer.AvoidedServers(); got != n {
			t.Errorf("%s: %d avoided, want %d", when, got, n)
		}
	}
	expect(0, "at first")
	timedOut := ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport}
	d.handle(timedOut)
	expect(0, "after one failure")
	d.handle(timedOut)
	expect(1, "after two")
	d.updateList(ListDelta, ServerEntry{ID: "b", State: Draining})
	expect(2, "while another drains")
	d.updateList(ListDelta, ServerEntry{ID: "b", State: Gone})
	expect(1, "when that is gone")
	d.now += 30 * time.Second
	d.handle(TimerFired{})
	expect(0, "later")
}

// Probes may all go unanswered while servers work: one of the drawn is tried.
func TestPlacesWhenAllProbesAreUnanswered(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.sendRequest("r")
	if got := actionsOf[Attempt](d.runFor(time.Second)); len(got) != 1 {
		t.Errorf("%v, want one attempt", got)
	}
}

// Without probes the last reports decide, as they came with outcomes.
func TestLastReportsDecideWithoutProbes(t *testing.T) {
	settings := testSettings()
	settings.Limits.ProbesAllowed = false
	settings.LoadReporting = LoadReporting{InOutcomes: true}
	settings.Connections.GroupAffinity = true
	d := newDriver(t, settings, "a", "b", "c")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c", Group: "g"}, Server: "a"})
	for _, group := range []string{"", "g", "h"} { // a group's servers are not probed either
		got := d.handle(Request{ID: "r" + group, Class: "c", Group: group, Deadline: d.now + 2*time.Second})
		if len(actionsOf[Probe](got)) != 0 || len(actionsOf[Attempt](got)) != 1 {
			t.Errorf("group %q: %v, want an attempt without a probe", group, got)
		}
	}
}
