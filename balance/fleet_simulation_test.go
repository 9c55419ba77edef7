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

// rough is several Balancers before one fleet whose servers fill, warm up, lag and
// hang, with every event and action in one book. Time is an ordered list of things to
// come, so that a run is the same each time.
type fleetSimulation struct {
	t                   *testing.T
	rng                 *rand.Rand
	now                 time.Duration
	events              eventQueue
	nodes               []*Balancer
	book                *refmodel.Checker
	set                 Settings
	connectionsWhenFull float64 // connections that fill a warm server
	servers             map[string]*ServerEntry
	connections         map[string]map[string]int // by server and request: its node
	reports             map[string]LoadReport     // the report that probes find, refreshed now and then
	hung                map[string]bool
	attempts            map[string]int
	deadlines           map[string]time.Duration // when a client gives up
	requestCount        int
}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	run      func()
}
type eventQueue struct {
	events       []scheduledEvent
	lastSequence int
}

func (m *eventQueue) Len() int { return len(m.events) }
func (m *eventQueue) Less(i, j int) bool {
	a, b := m.events[i], m.events[j]
	return a.at < b.at || a.at == b.at && a.sequence < b.sequence
}
func (m *eventQueue) Swap(i, j int) { m.events[i], m.events[j] = m.events[j], m.events[i] }
func (m *eventQueue) Push(x any)    { m.events = append(m.events, x.(scheduledEvent)) }
func (m *eventQueue) Pop() any {
	last := m.events[len(m.events)-1]
	m.events = m.events[:len(m.events)-1]
	return last
}

func newFleetSimulation(t *testing.T, seed uint64, set Settings, book *refmodel.Checker, nodes, servers int, room float64) *fleetSimulation {
	r := &fleetSimulation{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: time.Minute, book: book, set: set, connectionsWhenFull: room,
		servers: map[string]*ServerEntry{}, connections: map[string]map[string]int{}, reports: map[string]LoadReport{},
		hung: map[string]bool{}, attempts: map[string]int{}, deadlines: map[string]time.Duration{}}
	for i := range nodes {
		own := set
		own.Instance = i
		b, err := New(seed*100+uint64(i), own)
		if err != nil {
			t.Fatal(err)
		}
		r.nodes = append(r.nodes, b)
	}
	for i := range servers {
		r.updateServer(ServerEntry{ID: fmt.Sprint("s", i)})
	}
	r.refreshReports()
	return r
}

func (r *fleetSimulation) after(d time.Duration, do func()) {
	r.events.lastSequence++
	heap.Push(&r.events, scheduledEvent{r.now + d, r.events.lastSequence, do})
}

// list tells every node of a server, one after the other within a tick.
func (r *fleetSimulation) updateServer(e ServerEntry) {
	if r.servers[e.ID] == nil {
		r.connections[e.ID] = map[string]int{}
	}
	r.servers[e.ID] = &e
	r.book.NodeNotified(r.now, e.ID, refmodel.ServerState(e.State), e.StartedAt)
	for n := range r.nodes {
		r.handle(n, ListUpdate{Kind: ListDelta, Entries: []ServerEntry{e}})
	}
}

// start starts a process, under a new id or one that is known: then what the old one
// held ends.
func (r *fleetSimulation) startServer(id string) {
	r.updateServer(ServerEntry{ID: id, StartedAt: r.now})
	for i := range r.requestCount {
		req := fmt.Sprint("r", i+1)
		if n, ok := r.connections[id][req]; ok {
			delete(r.connections[id], req)
			r.handle(n, AttemptEnded{ID: req, Attempt: r.attempts[req] - 1, Server: id, Outcome: Reset, Final: true, LoadReport: EmptyLoadReport})
			r.arrive(true)
		}
	}
}

// loadOf is what a server really has, over what it can do.
func (r *fleetSimulation) actualLoad(id string) float64 {
	room := r.connectionsWhenFull
	if s := r.servers[id]; s.StartedAt > 0 {
		room *= min(1, r.set.Rules.InitialCapacity+(1-r.set.Rules.InitialCapacity)*(r.now-s.StartedAt).Seconds()/r.set.Rules.SlowStartWindow.Seconds())
	}
	return float64(len(r.connections[id])) / room
}

// refresh renews the reports every 200 ms.
func (r *fleetSimulation) refreshReports() {
	for _, id := range slices.Sorted(maps.Keys(r.servers)) { // not in the map's order
		r.reports[id] = loadReport(r.actualLoad(id)*(0.9+0.2*r.rng.Float64()), float64(len(r.connections[id])))
	}
	r.after(200*ms, r.refreshReports)
}

// arrive brings a request to a node.
func (r *fleetSimulation) arrive(returned bool) {
	r.requestCount++
	id := fmt.Sprint("r", r.requestCount)
	r.deadlines[id] = r.now + 2*time.Second
	r.book.RequestArrived(r.now, id, r.deadlines[id], refmodel.Retries{})
	r.handle(r.rng.IntN(len(r.nodes)), Request{ID: id, Class: "c", Reconnecting: returned, Deadline: r.deadlines[id]})
}

func (r *fleetSimulation) handle(n int, ev Event) {
	for _, a := range r.nodes[n].Handle(r.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			r.after(a.Delay, func() { r.handle(n, TimerFired{Token: a.Token}) })
		case Probe:
			r.probe(n, a.Server)
		case Attempt:
			r.attempt(n, a)
		case Reject:
			r.book.RequestAnswered(r.now, a.ID, refmodel.Refused)
		case Fail:
			r.book.RequestAnswered(r.now, a.ID, refmodel.Failed)
		case Migrate:
			r.after(ms, func() { r.end(n, a.ID, Cancelled) })
		}
	}
}

// probe answers with the report there is, 50 ms old by then.
func (r *fleetSimulation) probe(n int, id string) {
	if r.hung[id] && r.rng.IntN(2) == 0 {
		r.after(500*ms, func() { r.handle(n, ProbeResult{Server: id, Outcome: TimedOut, LoadReport: EmptyLoadReport}) })
		return
	}
	l := r.reports[id]
	r.after(50*ms, func() { r.handle(n, ProbeResult{Server: id, Outcome: OK, Latency: 50 * ms, LoadReport: l}) })
}

func (r *fleetSimulation) attempt(n int, a Attempt) {
	r.book.AttemptSent(r.now, a.ID, a.Server)
	try := r.attempts[a.ID]
	r.attempts[a.ID]++
	failed := func(o Outcome, how refmodel.AttemptOutcome) func() {
		return func() {
			r.book.AttemptEnded(r.now, a.ID, how)
			r.handle(n, AttemptEnded{ID: a.ID, Attempt: try, Server: a.Server, Outcome: o, LoadReport: EmptyLoadReport})
		}
	}
	switch {
	case r.hung[a.Server]:
		r.after(r.deadlines[a.ID]-r.now, failed(TimedOut, refmodel.NoReply))
	case r.actualLoad(a.Server) > 1.2:
		r.after(5*ms, failed(AtCapacity, refmodel.NotRun))
	default:
		r.connections[a.Server][a.ID] = n
		r.after(5*ms, func() {
			r.book.RequestAnswered(r.now, a.ID, refmodel.Served)
			r.handle(n, ConnectionEstablished{ID: a.ID, Attempt: try, Server: a.Server, Latency: 5 * ms})
			r.after(time.Duration(r.rng.ExpFloat64()*float64(10*time.Second)), func() { r.end(n, a.ID, OK) })
		})
	}
}

// end ends a connection that stands; one that was moved comes again.
func (r *fleetSimulation) end(n int, id string, o Outcome) {
	for server, held := range r.connections {
		if _, ok := held[id]; ok {
			delete(held, id)
			r.handle(n, AttemptEnded{ID: id, Attempt: r.attempts[id] - 1, Server: server, Outcome: o, Final: true, LoadReport: EmptyLoadReport})
			if o == Cancelled {
				r.after(100*ms, func() { r.arrive(true) })
			}
			return
		}
	}
}

// play lets time pass, with so many first and returned arrivals a second.
func (r *fleetSimulation) run(span time.Duration, first, returned float64) {
	until := r.now + span
	var next func()
	next = func() {
		if r.now < until {
			r.arrive(r.rng.Float64()*(first+returned) < returned)
			r.after(time.Duration(r.rng.ExpFloat64()/(first+returned)*float64(time.Second)), next)
		}
	}
	next()
	for len(r.events.events) > 0 && r.events.events[0].at <= until {
		m := heap.Pop(&r.events).(scheduledEvent)
		r.now = m.at
		m.run()
		r.book.CheckDeadlines(r.now)
	}
	r.now = until
}
