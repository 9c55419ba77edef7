package balance

import (
	"fmt"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// All instances together must keep to a cold server's budget, with 5 instances as with 280, although each
// instance sees only its own traffic.
func TestColdServerBudget(t *testing.T) {
	for _, instances := range []int{5, 280} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			settings := testSettings()
			settings.Instances = instances
			sent, rounds := 0, max(8, 400/instances)
			for seed := range rounds * instances {
				sent += attemptsAtColdServer(t, uint64(seed), settings)
			}
			perSecond := float64(sent) / float64(rounds) / slowStartSpan.Seconds()
			capacity := settings.Rules.InitialCapacity // at the start; it only grows
			budget := settings.Rules.OverloadMultiple * capacity *
				slowStartRate / slowStartServers / slowStartLoad
			if perSecond > budget || sent == 0 {
				t.Errorf("%.2f attempts per second at a cold server, want more than 0 and at most %.2f",
					perSecond, budget)
			}
		})
	}
}

const (
	slowStartServers = 40
	slowStartRate    = 40.0            // first arrivals per second
	slowStartLoad    = 0.6             // load of all servers except the cold one
	slowStartSpan    = 2 * time.Second // time over which attempts are counted
)

// attemptsAtColdServer counts the attempts that one instance sends to a cold server within slowStartSpan
// after its start. Requests arrive at equal intervals at the instances in turn; the seed selects the
// instance.
func attemptsAtColdServer(t *testing.T, seed uint64, settings Settings) (sent int) {
	b, err := New(seed, settings)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, balancer: b, now: 100 * time.Second}
	var entries []ServerEntry
	loads := map[string]float64{}
	for i := range slowStartServers {
		entries = append(entries, ServerEntry{ID: fmt.Sprint("s", i)})
		loads[entries[i].ID] = slowStartLoad
	}
	d.updateList(ListFull, entries...)

	interval := time.Duration(float64(settings.Instances) / slowStartRate * float64(time.Second))
	instance := time.Duration(int(seed) % settings.Instances)
	arrivesAt := d.now + interval*instance/time.Duration(settings.Instances)
	restartsAt := d.now + max(20*time.Second, 4*interval)
	for i := 0; arrivesAt < restartsAt+slowStartSpan; i++ {
		d.now = arrivesAt
		if arrivesAt >= restartsAt && loads["s0"] > 0 {
			loads["s0"], entries[0].StartedAt = 0, restartsAt
			d.updateList(ListDelta, entries[0])
		}
		if _, server := d.placeRequest(fmt.Sprint("r", i), loads); server == "s0" && arrivesAt >= restartsAt {
			sent++
		}
		arrivesAt += interval
	}
	return sent
}

func TestMostlyColdFleetStillServes(t *testing.T) {
	d := newDriver(t, testSettings())
	var entries []ServerEntry
	for i := range 10 {
		entries = append(entries, ServerEntry{ID: fmt.Sprint("s", i), StartedAt: d.now})
	}
	d.updateList(ListFull, entries...)
	placed := 0
	for i := range 20 {
		d.now += 500 * ms
		if _, server := d.placeRequest(fmt.Sprint("r", i), nil); server != "" {
			placed++
		}
	}
	if placed < 10 {
		t.Errorf("%d of 20 requests placed in a fleet of cold servers, want at least 10", placed)
	}
}

// An instance that has just started holds no connections. In a reconnect wave it must not take servers at
// half of their capacity for full: the requests of such a wave were once held until their deadlines.
func TestReconnectWaveAfterRestart(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	for i := range 24 {
		id := fmt.Sprint("r", i)
		got := d.handle(Request{ID: id, Class: "c", Reconnecting: true, Deadline: d.now + time.Second})
		for len(actionsOf[Probe](got)) > 0 {
			got = d.reportLoad(actionsOf[Probe](got)[0].Server, loadReport(0.55, 20))
		}
		attempts := actionsOf[Attempt](got)
		if len(attempts) == 0 {
			t.Fatalf("request %d of the wave was not placed at once", i)
		}
		d.handle(ConnectionEstablished{ID: id, Server: attempts[0].Server})
		d.runFor(10 * ms)
	}
}

// The state of a server belongs to its process. Regression test: a new process under the same ID was excluded
// from draws because of the faults of the previous one, which had died with all its connections.
func TestServerStateIsResetOnRestart(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	d.openConnections(200, "a")
	d.answerProbe("a", 0.9)
	d.now += 30 * time.Second
	for i := range 200 {
		d.endConnection(fmt.Sprint("o", i), "a", Reset)
	}
	d.updateList(ListDelta, ServerEntry{ID: "a", StartedAt: d.now})
	b, s := d.balancer, d.balancer.servers.byID["a"]
	capacity := b.capacityShare(s)
	want := min(capacity, b.slowStartDrawShare(capacity))
	if share := b.drawShare(&request{}, s); share < want*0.9 {
		t.Errorf("the restarted server keeps %.3f of its draws, want %.3f like any cold server", share, want)
	}
	if load := b.estimatedLoad(s); load >= 0 {
		t.Errorf("estimated load %.2f of a process that has not reported, want none", load)
	}
}

// If several processes place requests for this instance, they share the minimum number of attempts that a
// cold server may receive at once.
func TestProcessesShareMinSlowStartAttempts(t *testing.T) {
	for processes, want := range map[int]int{0: 4, 1: 4, 2: 2} {
		settings := testSettings()
		settings.Processes = processes
		d := newDriver(t, settings, "a", "b", "c", "d")
		d.updateList(ListDelta, ServerEntry{ID: "a", StartedAt: d.now})
		s, attempts := d.balancer.servers.byID["a"], 0
		for ; d.balancer.hasCapacity(&request{}, s); attempts++ {
			s.recentAttempts.add(d.balancer.now, 1)
		}
		if attempts != want {
			t.Errorf("%d processes: %d attempts at once, want %d", processes, attempts, want)
		}
	}
}

// A new server has no connections, so its reports attract all instances at the same time, and they are late.
// Meanwhile clients reconnect in a wave and another server hangs. The reference model counts the attempts
// that all instances together send to the new server.
func TestColdServerUnderFaults(t *testing.T) {
	const instances, servers, rate, load = 4, 8, 120.0, 0.6 // rate: first arrivals per second
	serverRate := rate / load / servers                     // per second, for one warm server
	for seed := range uint64(6) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			settings := testSettings()
			settings.Instances = instances
			settings.Rules.OverloadDuration = 1500 * ms
			checker := refmodel.NewChecker(refmodel.Rules{
				AnswerGrace:       5 * ms,
				MaxAttempts:       3,
				DrainGrace:        time.Second,
				SlowStartDuration: settings.Rules.SlowStartWindow,
				SlowStartShare:    0.2,
				ServerRate:        serverRate,
				OverloadMultiple:  3,
				OverloadWindow:    settings.Rules.OverloadDuration,
				ChanceAllowance:   2,
			})
			sim := newFleetSimulation(t, seed, settings, checker, instances, servers,
				serverRate*meanConnectionLifetime.Seconds())
			sim.run(8*time.Second, rate, 0)
			sim.startServer("new")         // a cold server without connections
			sim.run(1500*ms, rate, 2*rate) // a reconnect wave
			sim.hung["s1"] = true          // another server hangs
			sim.run(3*time.Second, rate, rate)
			sim.startServer("s2") // a new process under the same ID
			sim.run(4*time.Second, rate, rate/2)
			for _, violation := range checker.Violations { // of any rule
				t.Error(violation)
			}
			if got := len(sim.connections["new"]); got < 10 {
				t.Errorf("the new server holds %d connections after 8 s", got)
			}
		})
	}
}
