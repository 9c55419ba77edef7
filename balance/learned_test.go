package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// An instance goes on by what another process has learned, but not of a server that has started
// anew since, and by nothing that can't be true.
func TestInheritedState(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c")
	for i := range 12 {
		d.placeRequest(fmt.Sprint("r", i), equalLoads(0.6, "a", "b", "c"))
	}
	for range 2 {
		d.handle(ProbeResult{Server: "b", Outcome: TimedOut, LoadReport: EmptyLoadReport})
	}
	state := d.balancer.LearnedState(d.now)
	inherit := func(state LearnedState) *driver {
		next := newDriver(t, testSettings(), "a", "b", "c")
		next.now = d.now
		next.updateList(ListDelta, ServerEntry{ID: "c", StartedAt: next.now})
		next.handle(InheritedState{state})
		return next
	}
	attempts := func(d *driver, id string) float64 { return d.balancer.servers.byID[id].recentAttempts.value(d.now) }

	successor := inherit(state)
	got, want := successor.balancer.fleet, d.balancer.fleet
	if got.meanLoad != want.meanLoad || got.probeRTT != want.probeRTT {
		t.Errorf("mean load %v, probe RTT %v; want %v, %v", got.meanLoad, got.probeRTT, want.meanLoad, want.probeRTT)
	}
	if avoided := successor.balancer.AvoidedServers(); avoided != 1 {
		t.Errorf("%d avoided, want 1", avoided)
	}
	sent := attempts(d, "a")
	if attempts(successor, "a") == 0 || attempts(successor, "a") != sent || attempts(successor, "c") != 0 {
		t.Errorf("attempts at a %v, want %v; and at c, which is another process, %v",
			attempts(successor, "a"), sent, attempts(successor, "c"))
	}
	successor.handle(InheritedState{state}) // of a third process
	if attempts(successor, "a") != 2*sent || successor.balancer.AvoidedServers() != 1 {
		t.Errorf("attempts of two: %v, %d avoided", attempts(successor, "a"), successor.balancer.AvoidedServers())
	}

	for name, change := range map[string]func(state *LearnedState){
		"no number":     func(state *LearnedState) { state.MeanLoad = math.NaN() },
		"infinite":      func(state *LearnedState) { state.RecentPlacements = math.Inf(1) },
		"negative":      func(state *LearnedState) { state.Servers[1].RecentAttempts = -1 },
		"not yet there": func(state *LearnedState) { state.Age = -1 },
	} {
		bad := state
		bad.Servers = slices.Clone(state.Servers)
		change(&bad)
		successor := inherit(bad)
		avoided := successor.balancer.AvoidedServers()
		if attempts(successor, "a") != 0 || successor.balancer.fleet.meanLoad != 0 || avoided != 0 {
			t.Errorf("%s: part of it was taken", name)
		}
	}
}
