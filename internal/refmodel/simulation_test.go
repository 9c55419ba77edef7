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

// The capacity of a server is the number of connections at which it is full. Divided by the mean lifetime
// of a connection, it is the rate at which a server can accept new ones.
const (
	serverCapacity      = 40
	smallServerCapacity = 12
	meanConnLifetime    = 3 * time.Second
)

// connectTimeout limits the time of a connect to a server.
const connectTimeout = 250 * ms

// simulation runs one node, from its listener to its attempts, between clients, servers and a discovery
// that have faults most of the time. Connections are pipes, and the clock is that of a synctest bubble, so
// that simultaneous events have exactly the same time. The checker sees only what clients and servers
// observe.
type simulation struct {
	t         *testing.T
	startedAt time.Time
	faults    faultKind
	config    simulationConfig

	settings        balance.Settings
	process         *process          // the one that accepts new clients
	clientConns     chan net.Conn     // to the node's listener
	metrics         *metrics.Registry // the node's own metrics
	operatorLock    sync.Mutex        // held during an operator's drain
	endingProcesses sync.WaitGroup    // the processes that were replaced
	hasTwoProcesses atomic.Bool       // a replaced process still runs
	clients         sync.WaitGroup
	background      sync.WaitGroup
	hasColdServer   bool // a server of the full fleet was restarted cold

	mu             sync.Mutex
	processes      []*process           // the running processes, which are notified of servers
	openSince      map[string]time.Time // by request: since when its connection is established
	rng            *rand.Rand
	checker        *refmodel.Checker
	servers        map[string]*simServer
	discovery      simDiscovery // used only if the node polls it
	lastID         int
	attemptsRead   int            // attempts that servers have read in full
	answers        map[string]int // by kind of answer
	answersByClass map[string]int // by class and kind of answer
}

func newSimulation(t *testing.T, seed uint64, kind faultKind) *simulation {
	config := configOf(kind)
	s := &simulation{
		t: t, startedAt: time.Now(), faults: kind, config: config,
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

// chance returns true with probability p. Like randomDuration it draws from rng with mu held, so that
// two runs with the same seed differ only in the order of their draws.
func (s *simulation) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

// randomDuration returns a random number of whole milliseconds, so that many events are simultaneous.
func (s *simulation) randomDuration(longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(longest)/int64(ms)+1)) * ms
}

// record calls report with mu held, to report an event to the checker.
func (s *simulation) record(report func(c *refmodel.Checker, now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	report(s.checker, time.Since(s.startedAt))
}

// runSimulation runs a simulation to its end and returns it.
func runSimulation(t *testing.T, seed uint64, kind faultKind) *simulation {
	s := newSimulation(t, seed, kind)
	var list []discovery.Endpoint
	for i := range s.config.servers {
		list = append(list, s.servers[fmt.Sprint("s", i)].endpoint)
	}
	s.process = s.startProcess(list...)
	s.publish(balance.ListFull, list...)
	for time.Since(s.startedAt) < s.config.duration {
		time.Sleep(s.randomDuration(s.config.longestStep))
		if !s.injectFault() {
			s.startClientOrChangeServer()
		}
		s.record((*refmodel.Checker).CheckDeadlines)
	}
	time.Sleep(3 * time.Second) // all answers are due by then
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

// injectFault injects, at random, a fault that only this kind of simulation has. It returns whether it did.
func (s *simulation) injectFault() bool {
	switch kind := s.faults; {
	case kind.isFullFleet() && !s.hasColdServer && time.Since(s.startedAt) > s.config.duration/3:
		s.hasColdServer = true
		s.restartServer("s0")
	case kind == operatorDrains && s.chance(0.02):
		s.clients.Go(s.drainAndRejoin)
	case kind == settingsChanges && s.chance(0.03):
		s.changeSettings()
	case kind == silentWatches && s.chance(0.05):
		if s.discovery.silenceWatches() {
			s.drainReadyServer() // the first change that no watch sends to the node
		}
	case kind == starvedLists && s.chance(0.02):
		s.discovery.starve(6*time.Second + s.randomDuration(12*time.Second))
	case kind == hotRestarts && s.chance(0.02):
		s.endingProcesses.Wait() // at most two processes at a time
		s.replaceProcess()
	case kind == overlappingProcesses && s.chance(0.05) && !s.hasTwoProcesses.Load():
		s.replaceProcess()
	default:
		return false
	}
	return true
}

// startClientOrChangeServer starts a client or, at random and unless the fleet is full, changes a server.
func (s *simulation) startClientOrChangeServer() {
	if !s.faults.isFullFleet() && !s.chance(s.config.clientShare) {
		s.changeRandomServer()
		return
	}
	leavesEarly := s.chance(0.2)
	s.clients.Go(func() { s.runClient(leavesEarly) })
}
