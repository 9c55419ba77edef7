package balance

import (
	"fmt"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// All instances together must keep to a cold server's budget, whether they are five or 280; each
// knows only its own traffic.
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
			budget := settings.Rules.OverloadMultiple * capacity * slowStartRate / slowStartServers / slowStartLoad
			if perSecond > budget || sent == 0 {
				t.Errorf("sent %.2f a second to a cold server, its budget is %.2f", perSecond, budget)
			}
		})
	}
}

const (
	slowStartServers = 40
	slowStartRate    = 40.0 // first arrivals a second
	slowStartLoad    = 0.6  // of all servers but the cold one
	slowStartSpan    = 2 * time.Second
)

// attemptsAtColdServer counts the attempts that one instance sends to a cold server in
// slowStartSpan. Requests come at an even distance, at the instances in turn.
func attemptsAtColdServer(t *testing.T, seed uint64, settings Settings) (sent int) {
	b, err := New(seed, settings)
	if err != nil {
		t.Fatal(err)
	}
	d := &driver{t: t, balancer: b, now: 100 * time.Second}
	var list []ServerEntry
	loads := map[string]float64{}
	for i := range slowStartServers {
		list = append(list, ServerEntry{ID: fmt.Sprint("s", i)})
		loads[list[i].ID] = slowStartLoad
	}
	d.updateList(ListFull, list...)

	gap := time.Duration(float64(settings.Instances) / slowStartRate * float64(time.Second))
	turn := time.Duration(int(seed) % settings.Instances)
	at := d.now + gap*turn/time.Duration(settings.Instances)
	coldAt := d.now + max(20*time.Second, 4*gap)
	for i := 0; at < coldAt+slowStartSpan; i++ {
		d.now = at
		if at >= coldAt && loads["s0"] > 0 {
			loads["s0"], list[0].StartedAt = 0, coldAt
			d.updateList(ListDelta, list[0])
		}
		if _, server := d.placeRequest(fmt.Sprint("r", i), loads); server == "s0" && at >= coldAt {
			sent++
		}
		at += gap
	}
	return sent
}

func TestMostlyColdFleetStillServes(t *testing.T) {
	d := newDriver(t, testSettings())
	var list []ServerEntry
	for i := range 10 {
		list = append(list, ServerEntry{ID: fmt.Sprint("s", i), StartedAt: d.now})
	}
	d.updateList(ListFull, list...)
	placed := 0
	for i := range 20 {
		d.now += 500 * ms
		if _, server := d.placeRequest(fmt.Sprint("r", i), nil); server != "" {
			placed++
		}
	}
	if placed < 10 {
		t.Errorf("%d of 20 placed on a fleet that is cold, want half at least", placed)
	}
}

// An instance that has just started holds nothing, and a reconnect wave must not make servers at
// half of their load look full: it once was held until its time was up.
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
			t.Fatalf("request %d of the wave is held", i)
		}
		d.handle(ConnectionEstablished{ID: id, Server: attempts[0].Server})
		d.runFor(10 * ms)
	}
}

// What was known of a server is its old process's: a new one under the same ID was left out of
// draws for the faults of the one that had died with all its connections.
func TestRestartedServerStartsAfresh(t *testing.T) {
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
		t.Errorf("it keeps %.3f of its draws, want %.3f as any cold server", share, want)
	}
	if load := b.estimatedLoad(s); load >= 0 {
		t.Errorf("load %.2f of a process that has not reported", load)
	}
}

// While another process of this instance places too, the least that a cold server is sent at once
// is shared.
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
			t.Errorf("%d processes: %d at once, want %d", processes, attempts, want)
		}
	}
}

// A new server holds nothing: its reports attract every instance at once, they are late, clients
// reconnect in a wave, another server hangs. The reference model counts what all instances
// together send it.
func TestColdServerUnderFaults(t *testing.T) {
	const instances, servers, rate, load = 4, 8, 120.0, 0.6 // rate: first arrivals a second
	serverRate := rate / load / servers                     // a second, for one warm server
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
			r := newFleetSimulation(t, seed, settings, checker, instances, servers, serverRate*meanLifetime.Seconds())
			r.run(8*time.Second, rate, 0)
			r.startServer("new")         // without connections,
			r.run(1500*ms, rate, 2*rate) // in a reconnect wave,
			r.hung["s1"] = true          // while another answers nothing
			r.run(3*time.Second, rate, rate)
			r.startServer("s2") // a process replaced under its ID
			r.run(4*time.Second, rate, rate/2)
			for _, violation := range checker.Violations { // of all rules
				t.Error(violation)
			}
			if got := len(r.connections["new"]); got < 10 {
				t.Errorf("the new server holds %d connections after 8 s", got)
			}
		})
	}
}
