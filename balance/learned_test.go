package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// A process adopts what another process of its instance has learned, except about servers that have restarted
// since. An implausible state is ignored as a whole.
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
	attempts := func(d *driver, id string) float64 {
		return d.balancer.servers.byID[id].recentAttempts.value(d.now)
	}

	successor := inherit(state)
	got, want := successor.balancer.fleet, d.balancer.fleet
	if got.meanLoad != want.meanLoad || got.probeRTT != want.probeRTT {
		t.Errorf("inherited mean load %v and probe RTT %v, want %v and %v",
			got.meanLoad, got.probeRTT, want.meanLoad, want.probeRTT)
	}
	if avoided := successor.balancer.AvoidedServers(); avoided != 1 {
		t.Errorf("%d servers avoided, want 1", avoided)
	}
	wantAttempts := attempts(d, "a")
	if attempts(successor, "a") == 0 || attempts(successor, "a") != wantAttempts ||
		attempts(successor, "c") != 0 {
		t.Errorf("attempts at a %v, want %v; attempts at c, which has restarted, %v, want 0",
			attempts(successor, "a"), wantAttempts, attempts(successor, "c"))
	}
	successor.handle(InheritedState{state}) // as if from a third process
	if attempts(successor, "a") != 2*wantAttempts || successor.balancer.AvoidedServers() != 1 {
		t.Errorf("after two states: %v attempts at a, %d servers avoided",
			attempts(successor, "a"), successor.balancer.AvoidedServers())
	}

	for name, change := range map[string]func(state *LearnedState){
		"not a number": func(state *LearnedState) { state.MeanLoad = math.NaN() },
		"infinite":     func(state *LearnedState) { state.RecentPlacements = math.Inf(1) },
		"negative":     func(state *LearnedState) { state.Servers[1].RecentAttempts = -1 },
		"negative age": func(state *LearnedState) { state.Age = -1 },
	} {
		implausible := state
		implausible.Servers = slices.Clone(state.Servers)
		change(&implausible)
		successor := inherit(implausible)
		avoided := successor.balancer.AvoidedServers()
		if attempts(successor, "a") != 0 || successor.balancer.fleet.meanLoad != 0 || avoided != 0 {
			t.Errorf("%s: part of the implausible state was adopted", name)
		}
	}
}
