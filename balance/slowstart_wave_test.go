package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// reconnectSpan is the time in which the clients of a server that has died come again.
const reconnectSpan = 150 * ms

// crash ends all connections of a server, whose clients come again within reconnectSpan.
func (r *fleetSimulation) crash(id string) {
	var lost []string
	for request := range r.connections[id] {
		lost = append(lost, request)
	}
	slices.Sort(lost) // not in the map's order
	for _, request := range lost {
		r.endConnection(r.connections[id][request], request, id, Reset)
		r.after(time.Duration(r.rng.Int64N(int64(reconnectSpan))), func() { r.arrive(true) })
	}
	r.hung[id] = true
}

// Two warm servers die while three are cold, and their clients come again at once, at all instances. The cold servers
// keep to their budgets under the sum of what all instances send.
//
// On a short day of the bench (seed 48890520) 118 clients came again within 0.4 s of a server's end, beside three cold
// servers 9 s after their start. One of them got 22 to 32 requests within 1.5 s, of which it could do 6, and fell.
func TestReconnectWaveBesideColdServers(t *testing.T) {
	tests := []struct {
		instances, servers int
		window             time.Duration // of the settings, for what a cold server may be sent
	}{
		{instances: 32, servers: 8, window: 1500 * ms},
		{instances: 32, servers: 8, window: 800 * ms},
		{instances: 32, servers: 6, window: 800 * ms},
	}
	for _, tt := range tests {
		playReconnectWaves(t, tt.instances, tt.servers, tt.window)
	}
}

// The same wave, as a hundred and more instances see it, of which most hold no connection at the servers that die.
func TestReconnectWaveBesideColdServersInLargeFleets(t *testing.T) {
	for _, instances := range []int{100, 300} {
		playReconnectWaves(t, instances, 8, 800*ms)
	}
}

// playReconnectWaves plays the wave with a dozen seeds.
func playReconnectWaves(t *testing.T, instances, servers int, window time.Duration) {
	for seed := range uint64(12) {
		name := fmt.Sprintf("%d instances, %d servers, %v, seed %d", instances, servers, window, seed)
		t.Run(name, func(t *testing.T) { playReconnectWave(t, seed, instances, servers, window) })
	}
}

// playReconnectWave has three servers start anew, and two others die 9 s later.
func playReconnectWave(t *testing.T, seed uint64, instances, servers int, window time.Duration) {
	const groups, rate, load = 10, 40.0, 0.5     // rate: first arrivals a second
	serverRate := rate / load / float64(servers) // a second, for one warm server
	settings := testSettings()
	settings.Instances = instances
	settings.Rules.OverloadDuration = window
	settings.Connections.GroupAffinity = true
	checker := refmodel.NewChecker(refmodel.Rules{
		AnswerGrace:       5 * ms,
		MaxAttempts:       3,
		DrainGrace:        time.Second,
		SlowStartDuration: settings.Rules.SlowStartWindow,
		SlowStartShare:    settings.Rules.InitialCapacity,
		ServerRate:        serverRate,
		OverloadMultiple:  settings.Rules.OverloadMultiple,
		OverloadWindow:    settings.Rules.OverloadDuration,
	})
	r := newFleetSimulation(t, seed, settings, checker, instances, servers, serverRate*meanLifetime.Seconds())
	r.groups = groups
	r.run(8*time.Second, rate, 0)
	cold := []string{"s0", "s1", "s2"}
	for _, id := range cold {
		r.startServer(id)
	}
	r.run(9*time.Second, rate, 0)
	r.crash(fmt.Sprint("s", servers-2))
	r.crash(fmt.Sprint("s", servers-1))
	r.run(2*time.Second, rate, 0)
	for _, violation := range checker.Violations {
		t.Error(violation)
	}
	for _, id := range cold {
		if got := len(r.connections[id]); got < 5 {
			t.Errorf("%s holds %d connections after 11 s", id, got)
		}
	}
}
