package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// reconnectSpread is the time over which the clients of a crashed server reconnect.
const reconnectSpread = 150 * ms

// crash resets all connections of a server and makes it hang. The clients reconnect within reconnectSpread.
func (sim *fleetSimulation) crash(id string) {
	var lost []string
	for requestID := range sim.connections[id] {
		lost = append(lost, requestID)
	}
	slices.Sort(lost) // in a deterministic order
	for _, requestID := range lost {
		sim.endConnection(sim.connections[id][requestID], requestID, id, Reset)
		sim.schedule(time.Duration(sim.rng.Int64N(int64(reconnectSpread))), func() { sim.sendRequest(true) })
	}
	sim.hung[id] = true
}

// Two warm servers crash while three servers are cold, and the clients reconnect at the same time at all
// instances. The attempts of all instances together must stay within the budgets of the cold servers.
//
// In a benchmark run (seed 48890520), 118 clients reconnected within 0.4 s after a server had failed, beside
// three cold servers 9 s after their start. One of these received 22 to 32 requests within 1.5 s, had
// capacity for 6, and failed.
func TestReconnectWaveBesideColdServers(t *testing.T) {
	tests := []struct {
		instances, servers int
		window             time.Duration // Rules.OverloadDuration, the window of cold servers' budgets
	}{
		{instances: 32, servers: 8, window: 1500 * ms},
		{instances: 32, servers: 8, window: 800 * ms},
		{instances: 32, servers: 6, window: 800 * ms},
	}
	for _, tt := range tests {
		runReconnectWaves(t, tt.instances, tt.servers, tt.window)
	}
}

// The same wave with 100 and 300 instances, most of which hold no connection to the servers that crash.
func TestReconnectWaveBesideColdServersInLargeFleets(t *testing.T) {
	for _, instances := range []int{100, 300} {
		runReconnectWaves(t, instances, 8, 800*ms)
	}
}

// runReconnectWaves simulates the reconnect wave with 12 seeds.
func runReconnectWaves(t *testing.T, instances, servers int, window time.Duration) {
	for seed := range uint64(12) {
		name := fmt.Sprintf("%d instances, %d servers, %v, seed %d", instances, servers, window, seed)
		t.Run(name, func(t *testing.T) { runReconnectWave(t, seed, instances, servers, window) })
	}
}

// runReconnectWave simulates a reconnect wave: three servers restart, and two others crash 9 s later.
func runReconnectWave(t *testing.T, seed uint64, instances, servers int, window time.Duration) {
	const groups, rate, load = 10, 40.0, 0.5     // rate: first arrivals per second
	serverRate := rate / load / float64(servers) // per second, for one warm server
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
	sim := newFleetSimulation(t, seed, settings, checker, instances, servers,
		serverRate*meanConnectionLifetime.Seconds())
	sim.groups = groups
	sim.run(8*time.Second, rate, 0)
	cold := []string{"s0", "s1", "s2"}
	for _, id := range cold {
		sim.startServer(id)
	}
	sim.run(9*time.Second, rate, 0)
	sim.crash(fmt.Sprint("s", servers-2))
	sim.crash(fmt.Sprint("s", servers-1))
	sim.run(2*time.Second, rate, 0)
	for _, violation := range checker.Violations {
		t.Error(violation)
	}
	for _, id := range cold {
		if got := len(sim.connections[id]); got < 5 {
			t.Errorf("%s holds %d connections 11 s after its start, want at least 5", id, got)
		}
	}
}
