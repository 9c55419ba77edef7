package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

func TestLowLevelDrawIsFinal(t *testing.T) {
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

// Regression test: when every server had a few faults, most draws were void, and a fifth of the rounds ended
// without a valid draw. That counted as congestion, so placements paused although all servers could serve.
func TestMostlyFaultyFleetStillServes(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	for _, s := range d.balancer.servers.ready {
		for range 20 {
			d.balancer.recordFault(s)
		}
	}
	d.runFor(time.Second)
	for i := range 100 {
		if _, server := d.placeRequest(
			fmt.Sprint("r", i), equalLoads(0.1, "a", "b", "c", "d")); server == "" {
			t.Fatalf("request %d was not placed at once", i)
		}
	}
	worst := d.balancer.servers.ready[0] // a server with many more faults is still excluded from most draws
	for range 200 {
		d.balancer.recordFault(worst)
	}
	if share := d.balancer.drawShare(&request{}, worst); share > 0.1 {
		t.Errorf("the server with the most faults keeps %.2f of its draws, want at most 0.1", share)
	}
}

func TestLevels(t *testing.T) {
	tests := []struct {
		meanLoad, load float64
		want           int
	}{
		{0.6, 0.2, 0}, {0.6, 0.5, 1}, {0.6, 0.61, 2}, {0.6, 0.95, 3},
		{0.05, 0.14, 0}, {0.05, 0.29, 1}, // an idle fleet: nothing to balance
		{1.2, 0.69, 1}, {1.2, 0.71, 2}, // a full fleet: a nearly full server never counts as low
	}
	for _, tt := range tests {
		b := &Balancer{fleet: fleetEstimate{meanLoad: tt.meanLoad}}
		if got := b.level(tt.load); got != tt.want {
			t.Errorf("level of %.2f at a mean of %.2f is %d, want %d", tt.load, tt.meanLoad, got, tt.want)
		}
	}
}

// The thresholds are x_0 = x_1 = 1, so a draw at level 0 or 1 is final, and x_l = d above, so at higher
// levels the least loaded of d draws is chosen.
func TestThresholds(t *testing.T) {
	loads := map[string]float64{"a": 0.71, "b": 0.715, "c": 0.705}
	d := newDriver(t, testSettings(), "a", "b", "c")
	for i := range 30 {
		probes, server := d.placeRequest(fmt.Sprint("r", i), loads)
		if probes > trials || server == "" {
			t.Fatalf("placed on %q after %d probes, want at most %d", server, probes, trials)
		}
		if probes == 3 && server != "c" {
			t.Errorf("placed on %s after three probes, want c, the least loaded", server)
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
	chiSquare := 0.0
	for _, id := range ids {
		chiSquare += math.Pow(float64(counts[id]-perServer), 2) / perServer
	}
	if chiSquare > 43.8 { // 19 degrees of freedom, significance level 0.001
		t.Errorf("chi-square %.1f over %d servers: %v", chiSquare, servers, counts)
	}
}

// The least of d noisy readings is low mostly by chance. Without a correction, a full fleet would always seem
// to have capacity.
func TestLowReadingDoesNotHideFullFleet(t *testing.T) {
	d := newDriver(t, testSettings(), "a")
	for range 40 {
		d.answerProbe("a", 1)
	}
	b, s := d.balancer, d.balancer.servers.byID["a"]
	s.reportedLoad = 0.72 // a reading that is low by chance
	if got := b.estimatedLoad(s); got < fullLoad {
		t.Errorf("estimated load %.2f, want at least %.2f", got, fullLoad)
	}
	s.reportedLoad = 0.1 // too low for chance: the server has capacity
	if got := b.estimatedLoad(s); got >= fullLoad {
		t.Errorf("estimated load %.2f, want less than %.2f", got, fullLoad)
	}
}

// Draining servers, and servers with more recent failures than the others, count as avoided.
func TestAvoidedServers(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	expectAvoided := func(n int, when string) {
		t.Helper()
		if got := d.balancer.AvoidedServers(); got != n {
			t.Errorf("%s: %d servers avoided, want %d", when, got, n)
		}
	}
	expectAvoided(0, "before any failure")
	timedOut := ProbeResult{Server: "a", Outcome: TimedOut, LoadReport: EmptyLoadReport}
	d.handle(timedOut)
	expectAvoided(0, "after one failure")
	d.handle(timedOut)
	expectAvoided(1, "after two failures")
	d.updateList(ListDelta, ServerEntry{ID: "b", State: Draining})
	expectAvoided(2, "while another server drains")
	d.updateList(ListDelta, ServerEntry{ID: "b", State: Gone})
	expectAvoided(1, "after the draining server is gone")
	d.now += 30 * time.Second
	d.handle(TimerFired{})
	expectAvoided(0, "later")
}

// Probes may go unanswered although servers work. If no probe is answered, an attempt is still made on one of
// the drawn servers.
func TestPlacesWhenAllProbesAreUnanswered(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.sendRequest("r")
	if got := actionsOf[Attempt](d.runFor(time.Second)); len(got) != 1 {
		t.Errorf("got %v, want one attempt", got)
	}
}

// If probes are not allowed, the draws use the last load reports, which are received with outcomes.
func TestLastReportsDecideWithoutProbes(t *testing.T) {
	settings := testSettings()
	settings.Limits.ProbesAllowed = false
	settings.LoadReporting = LoadReporting{InOutcomes: true}
	settings.Connections.GroupAffinity = true
	d := newDriver(t, settings, "a", "b", "c")
	d.handle(OpenConnection{Request: Request{ID: "o", Class: "c", Group: "g"}, Server: "a"})
	for _, group := range []string{"", "g", "h"} { // candidate servers for groups are not probed either
		got := d.handle(Request{ID: "r" + group, Class: "c", Group: group, Deadline: d.now + 2*time.Second})
		if len(actionsOf[Probe](got)) != 0 || len(actionsOf[Attempt](got)) != 1 {
			t.Errorf("group %q: got %v, want an attempt without a probe", group, got)
		}
	}
}
