package refmodel_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/metrics"
	"coralrelay/internal/refmodel"
)

const ms = time.Millisecond

// room is how many connections fill a feed server, small that of small ones, and life how
// long one lasts on average: together they say how fast a server can take new ones.
const room, small, life = 40, 12, 3 * time.Second

// connect is how long a connection to a feed server may take.
const connect = 250 * ms

// scene is a node, from its listener to its branches, between clients, feed servers
// and a roster that are in trouble most of the time. Connections are pipes and time is
// the bubble's, so that what happens at once happens at one time. The book is kept
// from outside: by what clients and feed servers see.
type scene struct {
	t         *testing.T
	begun     time.Time
	set       balance.Settings
	node      *node          // that new clients come to
	operators sync.Mutex     // one at a time
	ended     sync.WaitGroup // of those that it has replaced
	two       atomic.Bool    // one of them still lives
	front     chan net.Conn  // to the node's listener
	ends      sync.WaitGroup

	mu    sync.Mutex
	nodes []*node              // that are told of servers
	up    map[string]time.Time // since when connections stand, by request
	rng   *rand.Rand
	book  *refmodel.Checker
	feeds map[string]*feed
	ids   int
	over  map[string]int // how requests were answered

	byClass map[string]int    // the same, of each class
	board   board             // discovery, where it is asked
	sent    int               // attempts that feed servers have read whole
	count   *metrics.Registry // the node's own

	kind kind
	room float64
}

// kind is what is in trouble.
type kind int

const (
	flapping kind = iota // servers come and go, refuse and break off
	hanging              // the same, and connections may take their time
	late                 // the same, and many come up late; servers answer errors more often
	crowded              // a full fleet, one of whose servers starts anew, cold and empty
	drained              // flapping, and operators empty the node and bring it back
	retuned              // flapping, and the settings change
	replaced             // flapping, and successors take over from the node
	silent               // flapping, and discovery is asked, whose watches fall silent and whose calls fail
	beside               // crowded, and two processes serve most of the time
)

// full tells whether it is a full fleet's.
func (k kind) full() bool { return k == crowded || k == beside }

// chance and upTo draw under the lock; two runs of a seed differ in their order only.
func (s *scene) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *scene) upTo(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d)/int64(ms)+1)) * ms // whole ones: much comes at one time
}

func (s *scene) note(f func(b *refmodel.Checker, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.book, time.Since(s.begun))
}

// play runs a scene to its end and returns it.
func play(t *testing.T, seed uint64, k kind) *scene {
	span := 30 * time.Second
	feeds, pause, prompt, fill, rate, calm := 4, 60*ms, time.Duration(0), float64(room), 0.0, 0.9
	switch k {
	case silent: // what has changed stays so for longer than its word may take
		span, calm = 90*time.Second, 0.98
	case hanging, late: // nobody outside sees an attempt before its connection is there
		prompt = connect
	case crowded:
		feeds, pause, rate = 6, 20*ms, room/life.Seconds()
	case beside: // of small servers, for which a few more are many
		feeds, pause, fill, rate = 6, 60*ms, small, small/life.Seconds()
	}
	set := balance.Settings{Instances: 1, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10 * time.Second,

		Rules:         balance.Rules{DrainGrace: 300 * ms, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadDuration: 1500 * ms},
		Limits:        balance.Limits{ProbesAllowed: true, MaxAttempts: 4, SendRetryAfter: true, MaxRetryAfter: time.Second},
		LoadReporting: balance.LoadReporting{InProbeResults: true}}
	s := &scene{t: t, begun: time.Now(), set: set, up: map[string]time.Time{}, front: make(chan net.Conn), rng: rand.New(rand.NewPCG(seed, 1)),
		feeds: map[string]*feed{}, over: map[string]int{}, byClass: map[string]int{},
		kind: k, room: fill,
		book: refmodel.NewChecker(refmodel.Rules{MaxAttempts: 4, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second, PromptLimit: prompt, Tick: set.Tick, SlowStartDuration: 20 * time.Second,
			SlowStartShare: 0.2, ServerRate: rate, OverloadMultiple: 3, OverloadWindow: 1500 * ms, ChanceAllowance: 3})}
	s.board = board{s: s, watches: map[net.Conn]chan string{}}
	s.count = &metrics.Registry{}
	for _, c := range classes {
		c.LatencyObjective, c.Deadline = 300*ms, time.Second
		s.set.Classes = append(s.set.Classes, c)
		s.count.AddClasses(c.Name)
	}
	var list []discovery.Endpoint
	for i := range feeds {
		f := &feed{id: fmt.Sprint("s", i), conns: map[net.Conn]bool{}}
		f.entry = discovery.Endpoint{Addr: f.id, ServerEntry: balance.ServerEntry{ID: f.id, Zone: fmt.Sprint("z", i%2), Cell: i % 3}}
		s.feeds[f.id] = f
		list = append(list, f.entry)
	}
	s.node = s.start(list...)
	s.tell(balance.ListFull, list...)
	var clients sync.WaitGroup
	started := false
	for time.Since(s.begun) < span {
		time.Sleep(s.upTo(pause))
		switch {
		case k.full() && !started && time.Since(s.begun) > span/3:
			started = true
			s.restart("s0")
		case k == drained && s.chance(0.02):
			clients.Go(s.operate)
		case k == retuned && s.chance(0.03):
			s.retune()
		case k == silent && s.chance(0.05):
			if s.board.hush() {
				s.drain() // the first change that nobody tells of
			}
		case k == replaced && s.chance(0.02):
			s.ended.Wait() // two processes at most
			s.replace()
		case k == beside && s.chance(0.05) && !s.two.Load():
			s.replace()
		case k.full() || s.chance(calm):
			leaves := s.chance(0.2)
			clients.Go(func() { s.client(leaves) })
		default:
			s.trouble()
		}
		s.note((*refmodel.Checker).CheckDeadlines)
	}
	time.Sleep(3 * time.Second) // all that was asked is due by then
	s.note((*refmodel.Checker).CheckDeadlines)
	for _, id := range s.book.Unanswered() {
		t.Errorf("%s was never answered", id)
	}
	s.ended.Wait()
	s.end(s.node, nil)
	clients.Wait()
	s.ends.Wait()
	return s
}

// The rules hold from the listener to the feed servers' sockets, whatever the order of
// probes, answers, drains, cancels and ends. That the bubble ends shows that nothing
// of the node outlives it.
func TestNodeKeepsTheRules(t *testing.T) {
	keepsTheRules(t, map[string]kind{"flapping": flapping, "hanging": hanging, "crowded": crowded, "drained": drained,
		"retuned": retuned, "replaced": replaced, "beside": beside})
}

// What may have run is repeated only where its effect and its window allow, also where the
// window ends between the decision and the send: in a connection that comes up late.
func TestLateConnectionsKeepTheRules(t *testing.T) { keepsTheRules(t, map[string]kind{"late": late}) }

// A change counts as told at the latest 6 s after discovery had it, whether or not it came.
func TestSilentWatchesKeepTheRules(t *testing.T) { keepsTheRules(t, map[string]kind{"silent": silent}) }

func keepsTheRules(t *testing.T, kinds map[string]kind) {
	for name, k := range kinds {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := play(t, seed, k)
					for _, broken := range s.book.Violations {
						t.Error(broken)
					}
					// What was counted is what clients and feed servers saw.
					want := ""
					for _, c := range classes {
						for _, how := range [][2]string{{"fulfilled", "served"}, {"throttled", "refused"}, {"faulted", "failed"}} {
							want += fmt.Sprintf("balancer.operations.%s.%s:%d|c\r\n", c.Name, how[0], s.byClass[c.Name+how[1]])
						}
					}
					want += fmt.Sprintf("balancer.relayed:%d|c\r\n", s.sent)
					if got := s.count.Text(metrics.Gauges{}); !strings.HasPrefix(got, want) {
						t.Errorf("figures:\n%swant:\n%s", got, want)
					}
					if k == silent && s.board.lists < 6 {
						t.Errorf("%d whole lists were told: too calm to tell anything", s.board.lists)
					}
					if s.over["served"] < 60 || s.over["refused"] < 50 {
						t.Errorf("too calm to tell anything: %v", s.over)
					}
				})
			})
		}
	}
}
