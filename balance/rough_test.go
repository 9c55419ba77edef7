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
type rough struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	coming  moments
	nodes   []*Balancer
	book    *refmodel.Checker
	set     Settings
	room    float64 // connections that fill a warm server
	servers map[string]*ServerEntry
	conns   map[string]map[string]int // by server and request: its node
	shown   map[string]LoadReport     // the report that probes find, refreshed now and then
	hung    map[string]bool
	tries   map[string]int
	due     map[string]time.Duration // when a client gives up
	ids     int
}

type moment struct {
	at  time.Duration
	seq int
	do  func()
}
type moments struct {
	list []moment
	seq  int
}

func (m *moments) Len() int { return len(m.list) }
func (m *moments) Less(i, j int) bool {
	a, b := m.list[i], m.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (m *moments) Swap(i, j int) { m.list[i], m.list[j] = m.list[j], m.list[i] }
func (m *moments) Push(x any)    { m.list = append(m.list, x.(moment)) }
func (m *moments) Pop() any {
	last := m.list[len(m.list)-1]
	m.list = m.list[:len(m.list)-1]
	return last
}

func newRough(t *testing.T, seed uint64, set Settings, book *refmodel.Checker, nodes, servers int, room float64) *rough {
	r := &rough{t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: time.Minute, book: book, set: set, room: room,
		servers: map[string]*ServerEntry{}, conns: map[string]map[string]int{}, shown: map[string]LoadReport{},
		hung: map[string]bool{}, tries: map[string]int{}, due: map[string]time.Duration{}}
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
		r.list(ServerEntry{ID: fmt.Sprint("s", i)})
	}
	r.refresh()
	return r
}

func (r *rough) in(d time.Duration, do func()) {
	r.coming.seq++
	heap.Push(&r.coming, moment{r.now + d, r.coming.seq, do})
}

// list tells every node of a server, one after the other within a tick.
func (r *rough) list(e ServerEntry) {
	if r.servers[e.ID] == nil {
		r.conns[e.ID] = map[string]int{}
	}
	r.servers[e.ID] = &e
	r.book.NodeNotified(r.now, e.ID, refmodel.ServerState(e.State), e.StartedAt)
	for n := range r.nodes {
		r.tell(n, ListUpdate{Kind: ListDelta, Entries: []ServerEntry{e}})
	}
}

// start starts a process, under a new id or one that is known: then what the old one
// held ends.
func (r *rough) start(id string) {
	r.list(ServerEntry{ID: id, StartedAt: r.now})
	for i := range r.ids {
		req := fmt.Sprint("r", i+1)
		if n, ok := r.conns[id][req]; ok {
			delete(r.conns[id], req)
			r.tell(n, AttemptEnded{ID: req, Attempt: r.tries[req] - 1, Server: id, Outcome: Reset, Final: true, LoadReport: EmptyLoadReport})
			r.arrive(true)
		}
	}
}

// loadOf is what a server really has, over what it can do.
func (r *rough) loadOf(id string) float64 {
	room := r.room
	if s := r.servers[id]; s.StartedAt > 0 {
		room *= min(1, r.set.Rules.InitialCapacity+(1-r.set.Rules.InitialCapacity)*(r.now-s.StartedAt).Seconds()/r.set.Rules.SlowStartWindow.Seconds())
	}
	return float64(len(r.conns[id])) / room
}

// refresh renews the reports every 200 ms.
func (r *rough) refresh() {
	for _, id := range slices.Sorted(maps.Keys(r.servers)) { // not in the map's order
		r.shown[id] = report(r.loadOf(id)*(0.9+0.2*r.rng.Float64()), float64(len(r.conns[id])))
	}
	r.in(200*ms, r.refresh)
}

// arrive brings a request to a node.
func (r *rough) arrive(returned bool) {
	r.ids++
	id := fmt.Sprint("r", r.ids)
	r.due[id] = r.now + 2*time.Second
	r.book.RequestArrived(r.now, id, r.due[id], refmodel.Retries{})
	r.tell(r.rng.IntN(len(r.nodes)), Request{ID: id, Class: "c", Reconnecting: returned, Deadline: r.due[id]})
}

func (r *rough) tell(n int, ev Event) {
	for _, a := range r.nodes[n].Handle(r.now, ev, nil) {
		switch a := a.(type) {
		case SetTimer:
			r.in(a.Delay, func() { r.tell(n, TimerFired{Token: a.Token}) })
		case Probe:
			r.probe(n, a.Server)
		case Attempt:
			r.attempt(n, a)
		case Reject:
			r.book.RequestAnswered(r.now, a.ID, refmodel.Refused)
		case Fail:
			r.book.RequestAnswered(r.now, a.ID, refmodel.Failed)
		case Migrate:
			r.in(ms, func() { r.end(n, a.ID, Cancelled) })
		}
	}
}

// probe answers with the report there is, 50 ms old by then.
func (r *rough) probe(n int, id string) {
	if r.hung[id] && r.rng.IntN(2) == 0 {
		r.in(500*ms, func() { r.tell(n, ProbeResult{Server: id, Outcome: TimedOut, LoadReport: EmptyLoadReport}) })
		return
	}
	l := r.shown[id]
	r.in(50*ms, func() { r.tell(n, ProbeResult{Server: id, Outcome: OK, Latency: 50 * ms, LoadReport: l}) })
}

func (r *rough) attempt(n int, a Attempt) {
	r.book.AttemptSent(r.now, a.ID, a.Server)
	try := r.tries[a.ID]
	r.tries[a.ID]++
	failed := func(o Outcome, how refmodel.AttemptOutcome) func() {
		return func() {
			r.book.AttemptEnded(r.now, a.ID, how)
			r.tell(n, AttemptEnded{ID: a.ID, Attempt: try, Server: a.Server, Outcome: o, LoadReport: EmptyLoadReport})
		}
	}
	switch {
	case r.hung[a.Server]:
		r.in(r.due[a.ID]-r.now, failed(TimedOut, refmodel.NoReply))
	case r.loadOf(a.Server) > 1.2:
		r.in(5*ms, failed(AtCapacity, refmodel.NotRun))
	default:
		r.conns[a.Server][a.ID] = n
		r.in(5*ms, func() {
			r.book.RequestAnswered(r.now, a.ID, refmodel.Served)
			r.tell(n, ConnectionEstablished{ID: a.ID, Attempt: try, Server: a.Server, Latency: 5 * ms})
			r.in(time.Duration(r.rng.ExpFloat64()*float64(10*time.Second)), func() { r.end(n, a.ID, OK) })
		})
	}
}

// end ends a connection that stands; one that was moved comes again.
func (r *rough) end(n int, id string, o Outcome) {
	for server, held := range r.conns {
		if _, ok := held[id]; ok {
			delete(held, id)
			r.tell(n, AttemptEnded{ID: id, Attempt: r.tries[id] - 1, Server: server, Outcome: o, Final: true, LoadReport: EmptyLoadReport})
			if o == Cancelled {
				r.in(100*ms, func() { r.arrive(true) })
			}
			return
		}
	}
}

// play lets time pass, with so many first and returned arrivals a second.
func (r *rough) play(span time.Duration, first, returned float64) {
	until := r.now + span
	var next func()
	next = func() {
		if r.now < until {
			r.arrive(r.rng.Float64()*(first+returned) < returned)
			r.in(time.Duration(r.rng.ExpFloat64()/(first+returned)*float64(time.Second)), next)
		}
	}
	next()
	for len(r.coming.list) > 0 && r.coming.list[0].at <= until {
		m := heap.Pop(&r.coming).(moment)
		r.now = m.at
		m.do()
		r.book.CheckDeadlines(r.now)
	}
	r.now = until
}
