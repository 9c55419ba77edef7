package refmodel_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/discovery"
	"coralrelay/internal/metrics"
	"coralrelay/internal/refmodel"
)

const ms = time.Millisecond

// The capacity of a server is how many connections fill it. Together with the mean lifetime of a
// connection it says how fast a server can take new ones.
const (
	serverCapacity      = 40
	smallServerCapacity = 12
	meanConnLifetime    = 3 * time.Second
)

// connectTimeout is how long a connection to a server may take.
const connectTimeout = 250 * ms

// simulation runs one node, from its listener to its attempts, between clients, servers and a
// discovery that have faults most of the time. Connections are pipes and the time is that of a
// synctest bubble, so that simultaneous events have the same time. The checker is fed from
// outside: by what clients and servers see.
type simulation struct {
	t         *testing.T
	startedAt time.Time
	faults    faultKind
	config    simulationConfig

	settings        balance.Settings
	process         *process          // the one that new clients come to
	clientConns     chan net.Conn     // to the node's listener
	metrics         *metrics.Registry // the node's own
	operatorLock    sync.Mutex        // one operator at a time
	endingProcesses sync.WaitGroup    // those that were replaced
	hasTwoProcesses atomic.Bool       // a replaced process still runs
	clients         sync.WaitGroup
	background      sync.WaitGroup
	hasColdServer   bool // of a full fleet

	mu             sync.Mutex
	processes      []*process           // those that are notified of servers
	openSince      map[string]time.Time // by request: since when its connection is established
	rng            *rand.Rand
	checker        *refmodel.Checker
	servers        map[string]*simServer
	discovery      simDiscovery // where the node polls it
	lastID         int
	attemptsRead   int            // attempts that servers have read in full
	answers        map[string]int // by kind of answer
	answersByClass map[string]int // by class and kind of answer
}

// faultKind is what a simulation has to stand.
type faultKind int

const (
	flapping             faultKind = iota // servers come and go, reject and reset
	hangingConnects                       // flapping, and some connects hang
	lateConnects                          // flapping, and many connects are slow; servers answer errors more often
	fullFleet                             // a full fleet, one of whose servers restarts, cold and empty
	operatorDrains                        // flapping, and operators drain the node and have it rejoin
	settingsChanges                       // flapping, and the settings change
	hotRestarts                           // flapping, and successors take over from the node
	silentWatches                         // flapping, and discovery is polled: watches fall silent and calls fail
	overlappingProcesses                  // a full fleet, and two processes serve most of the time
)

func (k faultKind) isFullFleet() bool { return k == fullFleet || k == overlappingProcesses }

// simulationConfig sizes a simulation.
type simulationConfig struct {
	duration    time.Duration
	servers     int
	capacity    float64       // of each server
	serverRate  float64       // requests a second of a warm server, for the checker; 0 for no rule
	longestStep time.Duration // between two events
	calmShare   float64       // of the events that are a new client
	promptLimit time.Duration // the checker's
}

func configOf(k faultKind) simulationConfig {
	config := simulationConfig{
		duration:    30 * time.Second,
		servers:     4,
		capacity:    serverCapacity,
		longestStep: 60 * ms,
		calmShare:   0.9,
	}
	switch k {
	case silentWatches: // a change lasts longer than its notification may take
		config.duration, config.calmShare = 90*time.Second, 0.98
	case hangingConnects, lateConnects: // nobody outside sees an attempt before it is connected
		config.promptLimit = connectTimeout
	case fullFleet:
		config.servers, config.longestStep = 6, 20*ms
		config.serverRate = serverCapacity / meanConnLifetime.Seconds()
	case overlappingProcesses: // small servers, for which a few requests more are many
		config.servers, config.capacity = 6, smallServerCapacity
		config.serverRate = smallServerCapacity / meanConnLifetime.Seconds()
	}
	return config
}

// simulationSettings are the node's settings.
func simulationSettings() balance.Settings {
	settings := balance.Settings{
		Instances: 1, Tick: 4 * ms, SubscribeRequired: true, SubscribeTimeout: 10 * time.Second,
		Rules: balance.Rules{
			DrainGrace: 300 * ms, SlowStartWindow: 20 * time.Second, InitialCapacity: 0.2,
			OverloadMultiple: 3, OverloadDuration: 1500 * ms,
		},
		Limits: balance.Limits{
			ProbesAllowed: true, MaxAttempts: 4, SendRetryAfter: true, MaxRetryAfter: time.Second,
		},
		LoadReporting: balance.LoadReporting{InProbeResults: true},
	}
	for _, class := range classes {
		class.LatencyObjective, class.Deadline = 300*ms, time.Second
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// checkerRules are the rules that follow from simulationSettings.
func checkerRules(config simulationConfig) refmodel.Rules {
	return refmodel.Rules{
		MaxAttempts: 4, DrainGrace: 300 * ms, NotifyDelay: 6 * time.Second,
		PromptLimit: config.promptLimit, Tick: 4 * ms,
		SlowStartDuration: 20 * time.Second, SlowStartShare: 0.2, ServerRate: config.serverRate,
		OverloadMultiple: 3, OverloadWindow: 1500 * ms, ChanceAllowance: 3,
	}
}

func newSimulation(t *testing.T, seed uint64, k faultKind) *simulation {
	config := configOf(k)
	s := &simulation{
		t: t, startedAt: time.Now(), faults: k, config: config,
		settings:    simulationSettings(),
		clientConns: make(chan net.Conn),
		metrics:     &metrics.Registry{},
		openSince:   map[string]time.Time{},
		rng:         rand.New(rand.NewPCG(seed, 1)),
		checker:     refmodel.NewChecker(checkerRules(config)),
		servers:     map[string]*simServer{},
		answers:     map[string]int{}, answersByClass: map[string]int{},
	}
	s.discovery = simDiscovery{sim: s, watches: map[net.Conn]chan string{}}
	for _, class := range classes {
		s.metrics.AddClasses(class.Name)
	}
	for i := range config.servers {
		id := fmt.Sprint("s", i)
		entry := balance.ServerEntry{ID: id, Zone: fmt.Sprint("z", i%2), Cell: i % 3}
		s.servers[id] = &simServer{
			id: id, conns: map[net.Conn]bool{}, endpoint: discovery.Endpoint{Addr: id, ServerEntry: entry},
		}
	}
	return s
}

// chance and randomDuration draw under the lock: two runs of a seed differ only in the order of
// their draws.
func (s *simulation) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// randomDuration draws whole milliseconds, so that many events are simultaneous.
func (s *simulation) randomDuration(longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(longest)/int64(ms)+1)) * ms
}

// record has f report an event to the checker.
func (s *simulation) record(f func(c *refmodel.Checker, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.checker, time.Since(s.startedAt))
}

// runSimulation runs a simulation to its end and returns it.
func runSimulation(t *testing.T, seed uint64, k faultKind) *simulation {
	s := newSimulation(t, seed, k)
	var list []discovery.Endpoint
	for i := range s.config.servers {
		list = append(list, s.servers[fmt.Sprint("s", i)].endpoint)
	}
	s.process = s.startProcess(list...)
	s.publish(balance.ListFull, list...)
	for time.Since(s.startedAt) < s.config.duration {
		time.Sleep(s.randomDuration(s.config.longestStep))
		if !s.injectFault() {
			s.stepFlapping()
		}
		s.record((*refmodel.Checker).CheckDeadlines)
	}
	time.Sleep(3 * time.Second) // every answer is due by then
	s.record((*refmodel.Checker).CheckDeadlines)
	for _, id := range s.checker.Unanswered() {
		t.Errorf("%s was never answered", id)
	}
	s.endingProcesses.Wait()
	s.endProcess(s.process, nil)
	s.clients.Wait()
	s.background.Wait()
	return s
}

// injectFault draws whether the next event is one that only this kind of simulation has.
func (s *simulation) injectFault() bool {
	switch k := s.faults; {
	case k.isFullFleet() && !s.hasColdServer && time.Since(s.startedAt) > s.config.duration/3:
		s.hasColdServer = true
		s.restartServer("s0")
	case k == operatorDrains && s.chance(0.02):
		s.clients.Go(s.drainAndRejoin)
	case k == settingsChanges && s.chance(0.03):
		s.changeSettings()
	case k == silentWatches && s.chance(0.05):
		if s.discovery.silenceWatches() {
			s.drainReadyServer() // the first change that no watch notifies the node of
		}
	case k == hotRestarts && s.chance(0.02):
		s.endingProcesses.Wait() // two processes at most
		s.replaceProcess()
	case k == overlappingProcesses && s.chance(0.05) && !s.hasTwoProcesses.Load():
		s.replaceProcess()
	default:
		return false
	}
	return true
}

// stepFlapping starts a client, or changes a server where the fleet is not full.
func (s *simulation) stepFlapping() {
	if !s.faults.isFullFleet() && !s.chance(s.config.calmShare) {
		s.changeRandomServer()
		return
	}
	leaves := s.chance(0.2)
	s.clients.Go(func() { s.runClient(leaves) })
}
