package balance

import (
	"fmt"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// All instances together must keep to a cold server's budget, whether they are
// five or 280; each knows only its own traffic.
func TestColdServerBudget(t *testing.T) {
	const servers, usual, span = 40, 40.0, 2 * time.Second // first arrivals a second, time watched
	for _, instances := range []int{5, 280} {
		set := testSettings()
		set.Instances = instances
		gap := time.Duration(float64(instances) / usual * float64(time.Second))
		sent, rounds := 0, max(8, 400/instances)
		for seed := range rounds * instances {
			b, err := New(uint64(seed), set)
			if err != nil {
				t.Fatal(err)
			}
			d := &driver{t: t, balancer: b, now: 100 * time.Second}
			var list []ServerEntry
			loads := map[string]float64{}
			for i := range servers {
				list = append(list, ServerEntry{ID: fmt.Sprint("s", i)})
				loads[list[i].ID] = 0.6 // all but the cold one look usual
			}
			d.updateList(ListFull, list...)
			began := d.now
			// requests come at an even distance, the instances' in turn
			at := began + gap*time.Duration(seed%instances)/time.Duration(instances)
			cold := began + max(20*time.Second, 4*gap)
			for i := 0; at < cold+span; i++ {
				if d.now = at; at >= cold && loads["s0"] > 0 {
					loads["s0"], list[0].StartedAt = 0, cold
					d.updateList(ListDelta, list[0])
				}
				if _, to := placeRequest(d, fmt.Sprint("r", i), loads); to == "s0" && at >= cold {
					sent++
				}
				at += gap
			}
		}
		perSecond := float64(sent) / float64(rounds) / span.Seconds()
		warmth := set.Rules.InitialCapacity // at the start; it only grows
		budget := set.Rules.OverloadMultiple * warmth * usual / servers / 0.6
		if perSecond > budget || sent == 0 {
			t.Errorf("%d instances sent %.2f a second to a cold server, its budget is %.2f", instances, perSecond, budget)
		}
	}
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
		if _, at := placeRequest(d, fmt.Sprint("r", i), map[string]float64{}); at != "" {
			placed++
		}
	}
	if placed < 10 {
		t.Errorf("%d of 20 placed on a fleet that is cold, want half at least", placed)
	}
}

// An instance that has just started holds nothing, and a wave that comes again must
// not make servers at half of their load look full: it once was held until its time
// was up.
func TestReconnectWaveAfterRestart(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b", "c", "d")
	l := EmptyLoadReport
	l.Utilization, l.Inflight = 0.55, 20
	for i := range 24 {
		id := fmt.Sprint("r", i)
		got := d.handle(Request{ID: id, Class: "c", Reconnecting: true, Deadline: d.now + time.Second})
		for len(actionsOf[Probe](got)) > 0 {
			got = d.handle(ProbeResult{Server: actionsOf[Probe](got)[0].Server, Latency: ms, LoadReport: l})
		}
		sent := actionsOf[Attempt](got)
		if len(sent) == 0 {
			t.Fatalf("request %d of the wave is held", i)
		}
		d.handle(ConnectionEstablished{ID: id, Server: sent[0].Server})
		d.runUntil(d.now + 10*ms)
	}
}

// What was known of a server is its old process's: a new one under the same id was
// shunned for the faults of the one that had died with all its connections.
func TestRestartedServerStartsAfresh(t *testing.T) {
	d := newDriver(t, testSettings(), "a", "b")
	for i := range 200 {
		d.handle(OpenConnection{Request: Request{ID: fmt.Sprint("o", i), Class: "c"}, Server: "a"})
	}
	d.answerProbe("a", 0.9)
	d.now += 30 * time.Second
	for i := range 200 {
		d.handle(AttemptEnded{ID: fmt.Sprint("o", i), Server: "a", Outcome: Reset, Final: true, LoadReport: EmptyLoadReport})
	}
	d.updateList(ListDelta, ServerEntry{ID: "a", StartedAt: d.now})
	s := d.balancer.servers.byID["a"]
	if p, cold := d.balancer.drawShare(&request{}, s), d.balancer.slowStartDrawShare(d.balancer.capacityShare(s)); p < min(d.balancer.capacityShare(s), cold)*0.9 || d.balancer.estimatedLoad(s) >= 0 {
		t.Errorf("share %.3f of its draws, %.3f for a cold server; load %.2f by hearsay", p, cold, d.balancer.estimatedLoad(s))
	}
}

// While another process of this instance places too, the least that a cold server is sent
// at once is shared.
func TestProcessesShareMinColdAttempts(t *testing.T) {
	for processes, want := range map[int]int{0: 4, 1: 4, 2: 2} {
		set := testSettings()
		set.Processes = processes
		d := newDriver(t, set, "a", "b", "c", "d")
		d.handle(ListUpdate{Entries: []ServerEntry{{ID: "a", StartedAt: d.now}}})
		s, n := d.balancer.servers.byID["a"], 0
		for ; d.balancer.hasCapacity(s); n++ {
			s.recentAttempts.add(d.balancer.now, 1)
		}
		if n != want {
			t.Errorf("%d processes: %d at once, want %d", processes, n, want)
		}
	}
}

// A newcomer holds nothing on a rough day: its reports tempt every node at once, they
// are late, clients come back in a wave, another server hangs. The rules' book counts
// what all nodes together send it.
func TestColdServerUnderFaults(t *testing.T) {
	const nodes, servers, rate, load, life = 4, 8, 120.0, 0.6, 10 * time.Second // rate: first arrivals a second
	for seed := range uint64(6) {
		set := testSettings()
		set.Instances = nodes
		set.Rules.OverloadDuration = 1500 * ms
		full := rate / load / servers // a second, for one warm server
		book := refmodel.NewChecker(refmodel.Rules{AnswerGrace: 5 * ms, MaxAttempts: 3, DrainGrace: time.Second, SlowStartDuration: set.Rules.SlowStartWindow, SlowStartShare: 0.2,
			ServerRate: full, OverloadMultiple: 3, OverloadWindow: set.Rules.OverloadDuration, ChanceAllowance: 2})
		r := newFleetSimulation(t, seed, set, book, nodes, servers, full*life.Seconds())
		r.run(8*time.Second, rate, 0)            // usual
		r.startServer("new")                     // with no connections
		r.run(1500*ms, rate, 2*rate)             // and a wave that returns
		r.hung["s1"] = true                      // and one answers nothing
		r.run(3*time.Second, rate, rate)         //
		r.startServer("s2")                      // a process replaced under its id
		r.run(4*time.Second, rate, rate/2)       //
		for _, broken := range book.Violations { // all rules, not the fourth alone
			t.Errorf("seed %d: %s", seed, broken)
		}
		if got := len(r.connections["new"]); got < 10 {
			t.Errorf("seed %d: the newcomer holds %d connections after 8 s", seed, got)
		}
	}
}
