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
	case k == starvedLists && s.chance(0.02):
		s.discovery.starve(6*time.Second + s.randomDuration(12*time.Second))
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
