package balance

// What an instance remembers, by concern. Nothing is decided here.

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	classes          map[string]*Class
	serviceTimeLimit time.Duration // the shortest message objective; 0 if no class has one

	rng     *rand.Rand
	now     time.Duration // time of the event being handled; never falls
	actions []Action      // that answer it

	started           bool
	startedAt         time.Duration
	nextMaintenanceAt time.Duration
	nextLogAt         time.Duration

	servers      serverList
	requests     requestTable
	admission    admission
	fleet        fleetEstimate
	migration    migrationBudget
	quota        quotaState
	subscription subscription
}

// admission limits how many requests are set up at a time.
type admission struct {
	queue         []*request // waiting to draw; the newest is last
	inSetup       int        // requests that draw or whose attempt is out
	drawing       int        // those of them that draw
	window        float64    // as many may be in set-up at once
	failureRate   float64    // share of recent attempts that failed
	backoff       time.Duration
	backoffEndsAt time.Duration // no request is admitted before
}

// fleetEstimate is what this instance has learned of the fleet as a whole.
type fleetEstimate struct {
	lastResetAt  time.Duration // when a server last dropped a connection that had stood
	meanLoad     float64       // of recent load reports
	loadSamples  float64       // reports that meanLoad is taken from, up to maxLoadSamples
	fewestFaults float64       // recent faults of the ready server that has the fewest

	probeRTT          float64 // usual round-trip time of a probe, in seconds; 0 before the first
	probeRTTDeviation float64 // and its mean deviation, in seconds

	meanHint    float64 // mean load hint of connections
	hintSamples float64 // hints that meanHint is taken from, up to maxHintSamples

	recentPlacements   decayingCounter // attempts sent of late
	baselinePlacements decayingCounter // first attempts of first arrivals, over a longer time
	retries            decayingCounter // attempts beyond a request's first
}

// migrationBudget bounds how many connections are migrated; it is refilled with time.
type migrationBudget struct {
	available  float64
	refilledAt time.Duration
}

// subscription follows the subscription to the server list.
type subscription struct {
	active       bool
	listReceived bool // a list has come since the start
	failures     int  // calls that failed since there was a list
	waitedCalls  int  // those of them that waited in vain
	nextCallAt   time.Duration
	leaseEndsAt  time.Duration // when the list may not be relied on any more; 0 for never
	leaseEnded   bool          // that was acted on
}

// server is what this instance knows of a server.
type server struct {
	ServerEntry
	ringHash   uint64
	readyIndex int // index in serverList.ready, or -1

	probeInFlight   bool
	probedAt        time.Duration
	probeDueAt      time.Duration // to be probed by then if it holds connections
	waitingRequests []*request    // held for the probe's result

	reportedLoad      float64         // as last reported; -1 if unknown
	loadPerConnection float64         // by that report; 0 if unknown
	placedLoad        decayingCounter // load placed here that reports may not show yet
	recentFaults      decayingCounter // failures seen here or reported by the fleet
	recentAttempts    decayingCounter // attempts sent, over the time of a cold server's budget

	// What this instance itself saw of late, for its peers. Probes that are answered don't
	// count: they say little.
	observedAttempts decayingCounter // attempts and failed probes
	observedFailures decayingCounter // those of them that failed

	tokens     int // attempts that the fleet grants while the server is cold
	tokensUsed int // attempts sent in the period of the tokens

	connections     []*request
	nextRebalanceAt time.Duration
}

// isReady reports whether new connections may be drawn to the server.
func (s *server) isReady() bool { return s.readyIndex >= 0 }

// forgetProcess drops what is known of the server's process, as another one runs now.
func (s *server) forgetProcess() {
	s.reportedLoad, s.loadPerConnection = -1, 0
	s.probeInFlight = false
	s.placedLoad.sum = 0
	s.recentFaults.sum = 0
	s.recentAttempts.sum = 0
	s.observedAttempts.sum = 0
	s.observedFailures.sum = 0
	s.tokens, s.tokensUsed = 0, 0
}

// group is what this instance holds of a group of connections.
type group struct {
	lastServer *server // where its latest member was placed
	members    int
}

// requestPhase is where a request stands.
type requestPhase int

const (
	queued      requestPhase = iota // waits for admission
	drawing                         // waits for a probe's result
	attempting                      // an attempt is out
	established                     // its connection stands
	ended
)

// request is a request or the connection it became.
type request struct {
	Request
	sequence       uint64 // names the request in timers
	class          *Class
	phase          requestPhase
	answerDeadline time.Duration // to be placed or answered by then
	timerAt        time.Duration // when its timer is due; a timer that fires before is stale
	loadFactor     float64       // its load hint over the mean of hints, or 1

	round         drawRound
	awaitedServer *server // whose probe result it waits for

	attemptCount    int
	excludedServers []*server     // where an attempt has failed
	server          *server       // where its attempt or connection is
	startedAt       time.Duration // when its attempt was sent, then when its connection was established
	addedLoad       float64       // counted in the server's placedLoad for its latest attempt
	mayHaveRunOn    *server       // of the first attempt that may have run
	mayHaveRunAt    time.Duration // when that attempt was sent

	connectionIndex int // index in server.connections while established
	migrating       bool
}

// drawRound is what a request's draws have shown since it was last admitted.
type drawRound struct {
	draws           int
	servers         []*server // drawn or probed for affinity, each once
	best            *server   // the least loaded of those that answered
	bestLoad        float64
	tryingAffinity  bool      // the draws have decided on best; its group's servers go before it
	affinityServers []*server // that are still to be tried
}

// reset begins another round.
func (d *drawRound) reset() {
	d.draws = 0
	d.servers = d.servers[:0]
	d.best = nil
	d.tryingAffinity = false
	d.affinityServers = nil
}

// awaitsPlacement reports whether r waits for admission or for a probe's result.
func (r *request) awaitsPlacement() bool { return r.phase == queued || r.phase == drawing }

// keyWindowEndsAt is when servers stop dropping repeats of r; never if none need be dropped.
func (r *request) keyWindowEndsAt() time.Duration {
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotencyKeyed {
		return r.mayHaveRunAt + r.class.KeyWindow
	}
	return never
}

// decisionDeadline is when r has to be decided about at the latest.
func (r *request) decisionDeadline() time.Duration { return min(r.answerDeadline, r.keyWindowEndsAt()) }
