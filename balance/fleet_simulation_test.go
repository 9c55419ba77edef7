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

// meanLifetime is how long a connection stands on average.
const meanLifetime = 10 * time.Second

// fleetSimulation is several instances in front of one fleet whose servers fill, warm up, lag and
// hang, with every event and action checked by one reference model. Time is an ordered queue of
// events, so that a run is the same each time.
type fleetSimulation struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	instances []*Balancer
	checker   *refmodel.Checker
	settings  Settings

	connectionsWhenFull float64 // that fill a warm server
	groups              int     // that connections belong to; 0 for none
	servers             map[string]*ServerEntry
	connections         map[string]map[string]int // by server and request: its instance
	reports             map[string]LoadReport     // that probes find, refreshed now and then
	hung                map[string]bool

	attempts     map[string]int           // by request
	deadlines    map[string]time.Duration // when the client of a request gives up
	requestCount int
}

func newFleetSimulation(t *testing.T, seed uint64, settings Settings, checker *refmodel.Checker,
	instances, servers int, connectionsWhenFull float64) *fleetSimulation {
	r := &fleetSimulation{
		t:                   t,
		rng:                 rand.New(rand.NewPCG(seed, 2)),
		now:                 time.Minute,
		checker:             checker,
		settings:            settings,
		connectionsWhenFull: connectionsWhenFull,
		servers:             map[string]*ServerEntry{},
		connections:         map[string]map[string]int{},
		reports:             map[string]LoadReport{},
		hung:                map[string]bool{},
		attempts:            map[string]int{},
		deadlines:           map[string]time.Duration{},
	}
	for i := range instances {
		own := settings
		own.Instance = i
		b, err := New(seed*100+uint64(i), own)
		if err != nil {
			t.Fatal(err)
		}
		r.instances = append(r.instances, b)
	}
	for i := range servers {
		r.updateServer(ServerEntry{ID: fmt.Sprint("s", i)})
	}
	r.refreshReports()
	return r
}

// after schedules an event.
func (r *fleetSimulation) after(delay time.Duration, run func()) {
	r.events.lastSequence++
	heap.Push(&r.events, scheduledEvent{r.now + delay, r.events.lastSequence, run})
}

// updateServer tells every instance of a server, one after the other within a tick.
func (r *fleetSimulation) updateServer(entry ServerEntry) {
	if r.servers[entry.ID] == nil {
		r.connections[entry.ID] = map[string]int{}
	}
	r.servers[entry.ID] = &entry
	r.checker.NodeNotified(r.now, entry.ID, refmodel.ServerState(entry.State), entry.StartedAt)
	for n := range r.instances {
		r.handle(n, ListUpdate{Kind: ListDelta, Entries: []ServerEntry{entry}})
	}
}

// startServer starts a process under a new id, or under one that is known: then the connections
// of the old one end.
func (r *fleetSimulation) startServer(id string) {
	r.updateServer(ServerEntry{ID: id, StartedAt: r.now})
	for i := range r.requestCount {
		request := fmt.Sprint("r", i+1)
		if n, ok := r.connections[id][request]; ok {
			r.endConnection(n, request, id, Reset)
			r.arrive(true)
		}
	}
}

// actualLoad is what is really asked of a server, over what it can do.
func (r *fleetSimulation) actualLoad(id string) float64 {
	full := r.connectionsWhenFull
	if s := r.servers[id]; s.StartedAt > 0 {
		initial, window := r.settings.Rules.InitialCapacity, r.settings.Rules.SlowStartWindow
		full *= min(1, initial+(1-initial)*(r.now-s.StartedAt).Seconds()/window.Seconds())
	}
	return float64(len(r.connections[id])) / full
}

// refreshReports renews the reports every 200 ms.
func (r *fleetSimulation) refreshReports() {
	for _, id := range slices.Sorted(maps.Keys(r.servers)) { // not in the map's order
		noise := 0.9 + 0.2*r.rng.Float64()
		r.reports[id] = loadReport(r.actualLoad(id)*noise, float64(len(r.connections[id])))
	}
	r.after(200*ms, r.refreshReports)
}

// arrive brings a request to an instance.
func (r *fleetSimulation) arrive(reconnecting bool) {
	r.requestCount++
	id := fmt.Sprint("r", r.requestCount)
	r.deadlines[id] = r.now + 2*time.Second
	r.checker.RequestArrived(r.now, id, r.deadlines[id], refmodel.RetryPolicy{})
	request := Request{ID: id, Class: "c", Reconnecting: reconnecting, Deadline: r.deadlines[id]}
	if r.groups > 0 {
		request.Group = fmt.Sprint("g", r.rng.IntN(r.groups))
	}
	r.handle(r.rng.IntN(len(r.instances)), request)
}

// handle hands an event to an instance and carries out the actions.
func (r *fleetSimulation) handle(n int, event Event) {
	for _, a := range r.instances[n].Handle(r.now, event, nil) {
		switch a := a.(type) {
		case SetTimer:
			r.after(a.Delay, func() { r.handle(n, TimerFired{Token: a.Token}) })
		case Probe:
			r.probe(n, a.Server)
		case Attempt:
			r.attempt(n, a)
		case Reject:
			r.checker.RequestAnswered(r.now, a.ID, refmodel.Refused)
		case Fail:
			r.checker.RequestAnswered(r.now, a.ID, refmodel.Failed)
		case Migrate:
			r.after(ms, func() { r.endRequest(n, a.ID, Cancelled) })
		}
	}
}

// probe answers with the present report, 50 ms old by then.
func (r *fleetSimulation) probe(n int, id string) {
	delay := 50 * ms
	result := ProbeResult{Server: id, Outcome: OK, Latency: delay, LoadReport: r.reports[id]}
	if r.hung[id] && r.rng.IntN(2) == 0 {
		delay = 500 * ms
		result = ProbeResult{Server: id, Outcome: TimedOut, LoadReport: EmptyLoadReport}
	}
	r.after(delay, func() { r.handle(n, result) })
}

// attempt plays an attempt: it hangs, is refused where the server is overloaded, or stands and
// ends after a while.
func (r *fleetSimulation) attempt(n int, a Attempt) {
	r.checker.AttemptSent(r.now, a.ID, a.Server)
	attempt := r.attempts[a.ID]
	r.attempts[a.ID]++
	fail := func(outcome Outcome, end refmodel.AttemptOutcome) {
		r.checker.AttemptEnded(r.now, a.ID, end)
		r.handle(n, AttemptEnded{
			ID: a.ID, Attempt: attempt, Server: a.Server, Outcome: outcome, LoadReport: EmptyLoadReport})
	}
	switch {
	case r.hung[a.Server]:
		r.after(r.deadlines[a.ID]-r.now, func() { fail(TimedOut, refmodel.NoReply) })
	case r.actualLoad(a.Server) > 1.2:
		r.after(5*ms, func() { fail(AtCapacity, refmodel.NotRun) })
	default:
		r.connections[a.Server][a.ID] = n
		r.after(5*ms, func() {
			r.checker.RequestAnswered(r.now, a.ID, refmodel.Served)
			r.handle(n, ConnectionEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: 5 * ms})
			lifetime := time.Duration(r.rng.ExpFloat64() * float64(meanLifetime))
			r.after(lifetime, func() { r.endRequest(n, a.ID, OK) })
		})
	}
}

// endRequest ends a request's connection if it stands; the client of a migrated one comes again.
func (r *fleetSimulation) endRequest(n int, id string, outcome Outcome) {
	for server, connections := range r.connections {
		if _, ok := connections[id]; !ok {
			continue
		}
		r.endConnection(n, id, server, outcome)
		if outcome == Cancelled {
			r.after(100*ms, func() { r.arrive(true) })
		}
		return
	}
}

// endConnection ends a connection that stands at a server.
func (r *fleetSimulation) endConnection(n int, id, server string, outcome Outcome) {
	delete(r.connections[server], id)
	r.handle(n, AttemptEnded{ID: id, Attempt: r.attempts[id] - 1, Server: server,
		Outcome: outcome, Final: true, LoadReport: EmptyLoadReport})
}

// run lets time pass, with so many first and reconnecting arrivals a second.
func (r *fleetSimulation) run(span time.Duration, first, reconnecting float64) {
	until := r.now + span
	var next func()
	next = func() {
		if r.now < until {
			r.arrive(r.rng.Float64()*(first+reconnecting) < reconnecting)
			r.after(time.Duration(r.rng.ExpFloat64()/(first+reconnecting)*float64(time.Second)), next)
		}
	}
	next()
	for len(r.events.events) > 0 && r.events.events[0].at <= until {
		event := heap.Pop(&r.events).(scheduledEvent)
		r.now = event.at
		event.run()
		r.checker.CheckDeadlines(r.now)
	}
	r.now = until
}
