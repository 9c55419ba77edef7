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
const serverCapacity, smallServerCapacity, meanConnLifetime = 40, 12, 3 * time.Second

// connect is how long a connection to a feed server may take.
const connectTimeout = 250 * ms

// scene is a node, from its listener to its branches, between clients, feed servers
// and a roster that are in trouble most of the time. Connections are pipes and time is
// the bubble's, so that what happens at once happens at one time. The book is kept
// from outside: by what clients and feed servers see.
type simulation struct {
	t               *testing.T
	startedAt       time.Time
	settings        balance.Settings
	process         *process       // that new clients come to
	operatorLock    sync.Mutex     // one at a time
	endingProcesses sync.WaitGroup // of those that it has replaced
	hasTwoProcesses atomic.Bool    // one of them still lives
	clientConns     chan net.Conn  // to the node's listener
	background      sync.WaitGroup

	mu        sync.Mutex
	processes []*process           // that are told of servers
	openSince map[string]time.Time // since when connections stand, by request
	rng       *rand.Rand
	checker   *refmodel.Checker
	servers   map[string]*simServer
	lastID    int
	answers   map[string]int // how requests were answered

	answersByClass map[string]int    // the same, of each class
	discovery      simDiscovery      // discovery, where it is asked
	attemptsRead   int               // attempts that feed servers have read whole
	metrics        *metrics.Registry // the node's own

	faults   faultKind
	capacity float64
}

// kind is what is in trouble.
type faultKind int

const (
	flapping             faultKind = iota // servers come and go, refuse and break off
	hangingConnects                       // the same, and connections may take their time
	lateConnects                          // the same, and many come up late; servers answer errors more often
	fullFleet                             // a full fleet, one of whose servers starts anew, cold and empty
	operatorDrains                        // flapping, and operators empty the node and bring it back
	settingsChanges                       // flapping, and the settings change
	hotRestarts                           // flapping, and successors take over from the node
	silentWatches                         // flapping, and discovery is asked, whose watches fall silent and whose calls fail
	overlappingProcesses                  // crowded, and two processes serve most of the time
)

// full tells whether it is a full fleet's.
func (k faultKind) isFullFleet() bool { return k == fullFleet || k == overlappingProcesses }

// chance and upTo draw under the lock; two runs of a seed differ in their order only.
func (s *simulation) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *simulation) randomDuration(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d)/int64(ms)+1)) * ms // whole ones: much comes at one time
}

func (s *simulation) record(f func(b *refmodel.Checker, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.checker, time.Since(s.startedAt))
}

// play runs a scene to its end and returns it.
func runSimulation(t *testing.T, seed uint64, k faultKind) *simulation {
	span := 30 * time.Second
	feeds, pause, prompt, fill, rate, calm := 4, 60*ms, time.Duration(0), float64(serverCapacity), 0.0, 0.9
	switch k {
	case silentWatches: // what has changed stays so for longer than its word may take
		span, calm = 90*time.Second, 0.98
	case hangingConnects, lateConnects: // nobody outside sees an attempt before its connection is there
		prompt = connectTimeout
	case fullFleet:
		feeds, pause, rate = 6, 20*ms, serverCapacity/meanConnLifetime.Seconds()
	case overlappingProcesses: // of small servers, for which a few more are many
		feeds, pause, fill, rate = 6, 60*ms, smallServerCapacity, smallServerCapacity/meanConnLifetime.Seconds()
	}
	set := balance.Settings{Instances: 1, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10 * time.Second,

		Rules:         balance.Rules{DrainGrace: 300 * ms, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2, OverloadMultiple: 3, OverloadDuration: 1500 * ms},
		Limits:        balance.Limits{ProbesAllowed: true, MaxAttempts: 4, SendRetryAfter: true, MaxRetryAfter: time.Second},
		LoadReporting: balance.LoadReporting{InProbeResults: true}}
	s := &simulation{t: t, startedAt: time.Now(), settings: set, openSince: map[string]time.Time{}, clientConns: make(chan net.Conn), rng: rand.New(rand.NewPCG(seed, 1)),
		servers: map[string]*simServer{}, answers: map[string]int{}, answersByClass: map[string]int{},
		faults: k, capacity: fill,
		checker: refmodel.NewChecker(refmodel.Rules{MaxAttempts: 4, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second, PromptLimit: prompt, Tick: set.Tick, SlowStartDuration: 20 * time.Second,
			SlowStartShare: 0.2, ServerRate: rate, OverloadMultiple: 3, OverloadWindow: 1500 * ms, ChanceAllowance: 3})}
	s.discovery = simDiscovery{sim: s, watches: map[net.Conn]chan string{}}
	s.metrics = &metrics.Registry{}
	for _, c := range classes {
		c.LatencyObjective, c.Deadline = 300*ms, time.Second
		s.settings.Classes = append(s.settings.Classes, c)
		s.metrics.AddClasses(c.Name)
	}
	var list []discovery.Endpoint
	for i := range feeds {
		f := &simServer{id: fmt.Sprint("s", i), conns: map[net.Conn]bool{}}
		f.endpoint = discovery.Endpoint{Addr: f.id, ServerEntry: balance.ServerEntry{ID: f.id, Zone: fmt.Sprint("z", i%2), Cell: i % 3}}
		s.servers[f.id] = f
		list = append(list, f.endpoint)
	}
	s.process = s.startProcess(list...)
	s.publish(balance.ListFull, list...)
	var clients sync.WaitGroup
	started := false
	for time.Since(s.startedAt) < span {
		time.Sleep(s.randomDuration(pause))
		switch {
		case k.isFullFleet() && !started && time.Since(s.startedAt) > span/3:
			started = true
			s.restartServer("s0")
		case k == operatorDrains && s.chance(0.02):
			clients.Go(s.drainAndRejoin)
		case k == settingsChanges && s.chance(0.03):
			s.changeSettings()
		case k == silentWatches && s.chance(0.05):
			if s.discovery.silenceWatches() {
				s.drainReadyServer() // the first change that nobody tells of
			}
		case k == hotRestarts && s.chance(0.02):
			s.endingProcesses.Wait() // two processes at most
			s.replaceProcess()
		case k == overlappingProcesses && s.chance(0.05) && !s.hasTwoProcesses.Load():
			s.replaceProcess()
		case k.isFullFleet() || s.chance(calm):
			leaves := s.chance(0.2)
			clients.Go(func() { s.runClient(leaves) })
		default:
			s.changeRandomServer()
		}
		s.record((*refmodel.Checker).CheckDeadlines)
	}
	time.Sleep(3 * time.Second) // all that was asked is due by then
	s.record((*refmodel.Checker).CheckDeadlines)
	for _, id := range s.checker.Unanswered() {
		t.Errorf("%s was never answered", id)
	}
	s.endingProcesses.Wait()
	s.endProcess(s.process, nil)
	clients.Wait()
	s.background.Wait()
	return s
}

// The rules hold from the listener to the feed servers' sockets, whatever the order of
// probes, answers, drains, cancels and ends. That the bubble ends shows that nothing
// of the node outlives it.
func TestRulesHoldUnderFaults(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"flapping": flapping, "hanging": hangingConnects, "crowded": fullFleet, "drained": operatorDrains,
		"retuned": settingsChanges, "replaced": hotRestarts, "beside": overlappingProcesses})
}

// What may have run is repeated only where its effect and its window allow, also where the
// window ends between the decision and the send: in a connection that comes up late.
func TestRulesHoldWithLateConnects(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"late": lateConnects})
}

// A change counts as told at the latest 6 s after discovery had it, whether or not it came.
func TestRulesHoldWithSilentWatches(t *testing.T) {
	checkRulesHold(t, map[string]faultKind{"silent": silentWatches})
}

func checkRulesHold(t *testing.T, kinds map[string]faultKind) {
	for name, k := range kinds {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := runSimulation(t, seed, k)
					for _, broken := range s.checker.Violations {
						t.Error(broken)
					}
					// What was counted is what clients and feed servers saw.
					want := ""
					for _, c := range classes {
						for _, how := range [][2]string{{"fulfilled", "served"}, {"throttled", "refused"}, {"faulted", "failed"}} {
							want += fmt.Sprintf("balancer.operations.%s.%s:%d|c\r\n", c.Name, how[0], s.answersByClass[c.Name+how[1]])
						}
					}
					want += fmt.Sprintf("balancer.relayed:%d|c\r\n", s.attemptsRead)
					if got := s.metrics.Text(metrics.Gauges{}); !strings.HasPrefix(got, want) {
						t.Errorf("figures:\n%swant:\n%s", got, want)
					}
					if k == silentWatches && s.discovery.fullLists < 6 {
						t.Errorf("%d whole lists were told: too calm to tell anything", s.discovery.fullLists)
					}
					if s.answers["served"] < 60 || s.answers["refused"] < 50 {
						t.Errorf("too calm to tell anything: %v", s.answers)
					}
				})
			})
		}
	}
}
