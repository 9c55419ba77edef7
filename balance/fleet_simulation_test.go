package balance

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"coralrelay/internal/refmodel"
)

// meanConnectionLifetime is the mean time for which a connection stays open.
const meanConnectionLifetime = 10 * time.Second

// fleetSimulation is a discrete-event simulation of several instances that share one fleet of servers.
// Servers fill up, warm up, report late and hang. One reference model checks every event and action. Events
// are processed in a fixed order, so that runs are reproducible.
type fleetSimulation struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	instances []*Balancer
	checker   *refmodel.Checker
	settings  Settings

	serverCapacity float64 // number of connections that fill a warm server
	groups         int     // number of groups of connections; 0 for connections without a group
	servers        map[string]*ServerEntry
	connections    map[string]map[string]int // the instance of each connection, by server and request
	reports        map[string]LoadReport     // the latest report of each server, returned by probes
	hung           map[string]bool           // servers that answer no attempt and only half of the probes

	attempts     map[string]int           // number of attempts, by request
	deadlines    map[string]time.Duration // when the client of a request gives up
	requestCount int
}

// newFleetSimulation returns a simulation with the given numbers of instances and of warm servers, which have
// no connections yet.
func newFleetSimulation(t *testing.T, seed uint64, settings Settings, checker *refmodel.Checker,
	instances, servers int, serverCapacity float64) *fleetSimulation {
	sim := &fleetSimulation{
		t:              t,
		rng:            rand.New(rand.NewPCG(seed, 2)),
		now:            time.Minute,
		checker:        checker,
		settings:       settings,
		serverCapacity: serverCapacity,
		servers:        map[string]*ServerEntry{},
		connections:    map[string]map[string]int{},
		reports:        map[string]LoadReport{},
		hung:           map[string]bool{},
		attempts:       map[string]int{},
		deadlines:      map[string]time.Duration{},
	}
	for i := range instances {
		instanceSettings := settings
		instanceSettings.Instance = i
		b, err := New(seed*100+uint64(i), instanceSettings)
		if err != nil {
			t.Fatal(err)
		}
		sim.instances = append(sim.instances, b)
	}
	for i := range servers {
		sim.updateServer(ServerEntry{ID: fmt.Sprint("s", i)})
	}
	sim.refreshReports()
	return sim
}

// schedule schedules a function to run after the delay.
func (sim *fleetSimulation) schedule(delay time.Duration, run func()) {
	sim.events.lastSequence++
	heap.Push(&sim.events, scheduledEvent{sim.now + delay, sim.events.lastSequence, run})
}

// updateServer sets the list entry of a server and passes it to all instances at the current time.
func (sim *fleetSimulation) updateServer(entry ServerEntry) {
	if sim.servers[entry.ID] == nil {
		sim.connections[entry.ID] = map[string]int{}
	}
	sim.servers[entry.ID] = &entry
	sim.checker.NodeNotified(sim.now, entry.ID, refmodel.ServerState(entry.State), entry.StartedAt)
	for instance := range sim.instances {
		sim.handle(instance, ListUpdate{Kind: ListDelta, Entries: []ServerEntry{entry}})
	}
}

// startServer starts a server process. If a server with the ID exists already, the process replaces that
// server's process: the old connections are reset and their clients reconnect.
func (sim *fleetSimulation) startServer(id string) {
	sim.updateServer(ServerEntry{ID: id, StartedAt: sim.now})
	for i := range sim.requestCount {
		request := fmt.Sprint("r", i+1)
		if instance, ok := sim.connections[id][request]; ok {
			sim.endConnection(instance, request, id, Reset)
			sim.sendRequest(true)
		}
	}
}

// actualLoad is the current load of a server: its connections over its current capacity, which grows while it
// warms up.
func (sim *fleetSimulation) actualLoad(id string) float64 {
	capacity := sim.serverCapacity
	if s := sim.servers[id]; s.StartedAt > 0 {
		initial, window := sim.settings.Rules.InitialCapacity, sim.settings.Rules.SlowStartWindow
		capacity *= min(1, initial+(1-initial)*(sim.now-s.StartedAt).Seconds()/window.Seconds())
	}
	return float64(len(sim.connections[id])) / capacity
}

// refreshReports updates the load reports now and every 200 ms, with noise of up to 10%.
func (sim *fleetSimulation) refreshReports() {
	for _, id := range slices.Sorted(maps.Keys(sim.servers)) { // in a deterministic order
		noise := 0.9 + 0.2*sim.rng.Float64()
		sim.reports[id] = loadReport(sim.actualLoad(id)*noise, float64(len(sim.connections[id])))
	}
	sim.schedule(200*ms, sim.refreshReports)
}

// sendRequest sends a request to a random instance.
func (sim *fleetSimulation) sendRequest(reconnecting bool) {
	sim.requestCount++
	id := fmt.Sprint("r", sim.requestCount)
	sim.deadlines[id] = sim.now + 2*time.Second
	sim.checker.RequestArrived(sim.now, id, sim.deadlines[id], refmodel.RetryPolicy{})
	request := Request{ID: id, Class: "c", Reconnecting: reconnecting, Deadline: sim.deadlines[id]}
	if sim.groups > 0 {
		request.Group = fmt.Sprint("g", sim.rng.IntN(sim.groups))
	}
	sim.handle(sim.rng.IntN(len(sim.instances)), request)
}

// handle passes an event to an instance and carries out the resulting actions.
func (sim *fleetSimulation) handle(instance int, event Event) {
	for _, a := range sim.instances[instance].Handle(sim.now, event, nil) {
		switch a := a.(type) {
		case SetTimer:
			sim.schedule(a.Delay, func() { sim.handle(instance, TimerFired{Token: a.Token}) })
		case Probe:
			sim.probe(instance, a.Server)
		case Attempt:
			sim.attempt(instance, a)
		case Reject:
			sim.checker.RequestAnswered(sim.now, a.ID, refmodel.Refused)
		case Fail:
			sim.checker.RequestAnswered(sim.now, a.ID, refmodel.Failed)
		case Migrate:
			sim.schedule(ms, func() { sim.endRequest(instance, a.ID, Cancelled) })
		}
	}
}

// probe answers a probe with the latest report, which the instance receives after 50 ms. Half of the probes
// of a hung server time out instead.
func (sim *fleetSimulation) probe(instance int, id string) {
	delay := 50 * ms
	result := ProbeResult{Server: id, Outcome: OK, Latency: delay, LoadReport: sim.reports[id]}
	if sim.hung[id] && sim.rng.IntN(2) == 0 {
		delay = 500 * ms
		result = ProbeResult{Server: id, Outcome: TimedOut, LoadReport: EmptyLoadReport}
	}
	sim.schedule(delay, func() { sim.handle(instance, result) })
}

// attempt simulates an attempt. It gets no answer from a hung server, is refused by an overloaded one, and
// otherwise establishes a connection, which ends after a random lifetime.
func (sim *fleetSimulation) attempt(instance int, a Attempt) {
	sim.checker.AttemptSent(sim.now, a.ID, a.Server)
	attempt := sim.attempts[a.ID]
	sim.attempts[a.ID]++
	fail := func(outcome Outcome, checkedOutcome refmodel.AttemptOutcome) {
		sim.checker.AttemptEnded(sim.now, a.ID, checkedOutcome)
		sim.handle(instance, AttemptEnded{
			ID: a.ID, Attempt: attempt, Server: a.Server, Outcome: outcome, LoadReport: EmptyLoadReport})
	}
	switch {
	case sim.hung[a.Server]:
		sim.schedule(sim.deadlines[a.ID]-sim.now, func() { fail(TimedOut, refmodel.NoReply) })
	case sim.actualLoad(a.Server) > 1.2:
		sim.schedule(5*ms, func() { fail(AtCapacity, refmodel.NotRun) })
	default:
		sim.connections[a.Server][a.ID] = instance
		sim.schedule(5*ms, func() {
			sim.checker.RequestAnswered(sim.now, a.ID, refmodel.Served)
			sim.handle(instance, ConnectionEstablished{
				ID: a.ID, Attempt: attempt, Server: a.Server, Latency: 5 * ms})
			lifetime := time.Duration(sim.rng.ExpFloat64() * float64(meanConnectionLifetime))
			sim.schedule(lifetime, func() { sim.endRequest(instance, a.ID, OK) })
		})
	}
}

// endRequest ends the connection of a request if it is still open. The client of a migrated connection
// reconnects after 100 ms.
func (sim *fleetSimulation) endRequest(instance int, id string, outcome Outcome) {
	for server, connections := range sim.connections {
		if _, ok := connections[id]; !ok {
			continue
		}
		sim.endConnection(instance, id, server, outcome)
		if outcome == Cancelled {
			sim.schedule(100*ms, func() { sim.sendRequest(true) })
		}
		return
	}
}

// endConnection ends an open connection to a server.
func (sim *fleetSimulation) endConnection(instance int, id, server string, outcome Outcome) {
	delete(sim.connections[server], id)
	sim.handle(instance, AttemptEnded{ID: id, Attempt: sim.attempts[id] - 1, Server: server,
		Outcome: outcome, Final: true, LoadReport: EmptyLoadReport})
}

// run advances the simulation. Requests arrive at the given rates per second: first arrivals, and requests of
// reconnecting clients.
func (sim *fleetSimulation) run(duration time.Duration, firstRate, reconnectRate float64) {
	until := sim.now + duration
	var arrive func()
	arrive = func() {
		if sim.now < until {
			sim.sendRequest(sim.rng.Float64()*(firstRate+reconnectRate) < reconnectRate)
			sim.schedule(
				time.Duration(sim.rng.ExpFloat64()/(firstRate+reconnectRate)*float64(time.Second)), arrive)
		}
	}
	arrive()
	for len(sim.events.events) > 0 && sim.events.events[0].at <= until {
		event := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = event.at
		event.run()
		sim.checker.CheckDeadlines(sim.now)
	}
	sim.now = until
}
