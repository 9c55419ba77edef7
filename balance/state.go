package balance

// State of an instance, by concern. This file contains no decision logic.

import (
	"math/rand/v2"
	"time"
)

// Balancer makes the decisions of one instance. It is not safe for concurrent use.
type Balancer struct {
	settings         Settings
	classes          map[string]*Class
	serviceTimeLimit time.Duration // the shortest message latency objective; 0 if no class has one

	rng     *rand.Rand
	now     time.Duration // time of the current event; never decreases
	actions []Action      // result of the current event

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

// admission limits the number of concurrent connection set-ups.
type admission struct {
	queue         []*request // waiting for admission; the newest is last
	inSetup       int        // requests that are drawing or have an attempt in progress
	drawing       int        // those of inSetup that are drawing
	window        float64    // requests are admitted while inSetup is below it
	failureRate   float64    // share of recent attempts that failed
	backoff       time.Duration
	backoffEndsAt time.Duration // no request is admitted before then
}

// fleetEstimate is what this instance has learned about the fleet as a whole.
type fleetEstimate struct {
	lastResetAt  time.Duration // when a server last reset a connection established for at least earlyResetAge
	meanLoad     float64       // of recent load reports
	loadSamples  float64       // number of reports that meanLoad averages, up to maxLoadSamples
	fewestFaults float64       // the smallest number of recent faults of any ready server

	probeRTT          float64 // average round-trip time of a probe, in seconds; 0 before the first
	probeRTTDeviation float64 // its mean deviation, in seconds

	meanHint    float64 // mean load hint of connections
	hintSamples float64 // number of hints that meanHint averages, up to maxHintSamples

	recentPlacements   decayingCounter // recent attempts
	baselinePlacements decayingCounter // first attempts of first arrivals, over a longer time
	retries            decayingCounter // attempts beyond a request's first
}

// migrationBudget limits the number of migrations; it is refilled over time.
type migrationBudget struct {
	available  float64
	refilledAt time.Duration
}

// subscription is the state of the subscription to the server list.
type subscription struct {
	active        bool
	listReceived  bool // a list has been received since the start
	failures      int  // failed calls since the last list
	queueTimeouts int  // those of failures that timed out in the list service's queue
	nextCallAt    time.Duration
	leaseEndsAt   time.Duration // when the list expires; 0 for never
	expiryHandled bool          // the expiry has been acted on
}

// server is the state of a server in this instance's view.
type server struct {
	ServerEntry
	ringHash   uint64
	readyIndex int // index in serverList.ready, or -1

	probeInFlight   bool
	probedAt        time.Duration
	probeDueAt      time.Duration // when it is probed at the latest if it holds connections
	waitingRequests []*request    // waiting for the probe's result

	reportedLoad      float64         // according to the last report; -1 if unknown
	loadPerConnection float64         // according to that report; 0 if unknown
	placedLoad        decayingCounter // load placed here that reports may not include yet
	recentFaults      decayingCounter // failures observed here or reported by the fleet
	recentAttempts    decayingCounter // attempts sent, within the time constant of a cold server's budget

	// Recent observations of this instance, reported to its peers. Answered probes do not count, as they
	// say little about whether connections are served.
	observedAttempts decayingCounter // attempts and failed probes
	observedFailures decayingCounter // those of observedAttempts that failed

	tokens     int // attempts that the fleet allots while the server is cold
	tokensUsed int // attempts sent in the period of the tokens

	connections     []*request
	nextRebalanceAt time.Duration
}

// isReady reports whether new connections may be placed on the server.
func (s *server) isReady() bool { return s.readyIndex >= 0 }

// resetProcessState clears the state of the server's previous process after the process was replaced.
func (s *server) resetProcessState() {
	s.reportedLoad, s.loadPerConnection = -1, 0
	s.probeInFlight = false
	s.placedLoad.sum = 0
	s.recentFaults.sum = 0
	s.recentAttempts.sum = 0
	s.observedAttempts.sum = 0
	s.observedFailures.sum = 0
	s.tokens, s.tokensUsed = 0, 0
}

// group is the state of a group of connections at this instance.
type group struct {
	lastServer *server // of its latest placement
	members    int
}

// requestPhase is the state of a request.
type requestPhase int

const (
	queued      requestPhase = iota // waits for admission
	drawing                         // waits for a probe's result
	attempting                      // an attempt is in progress
	established                     // the connection is established
	ended
)

// request is a request, or the connection that it has become.
type request struct {
	Request
	sequence       uint64 // used as the token of its timers
	class          *Class
	phase          requestPhase
	answerDeadline time.Duration // the request must be placed or answered by then
	timerAt        time.Duration // when its timer expires; a timer that fires earlier is stale
	loadFactor     float64       // ratio of its load hint to the mean hint, or 1

	round         drawRound
	awaitedServer *server // the server whose probe result it waits for

	attemptCount    int
	excludedServers []*server     // servers on which an attempt failed
	server          *server       // the server of its current attempt or connection
	startedAt       time.Duration // when its attempt was sent, then when its connection was established
	addedLoad       float64       // load counted in the server's placedLoad for its latest attempt
	mayHaveRunOn    *server       // the server of the first attempt that may have run
	mayHaveRunAt    time.Duration // when that attempt was sent

	connectionIndex int // index in server.connections while established
	migrating       bool
}

// drawRound is the state of a request's draws since it was last queued for admission.
type drawRound struct {
	draws           int
	servers         []*server // drawn or probed for affinity, without duplicates
	best            *server   // the least loaded server that answered
	bestLoad        float64
	tryingAffinity  bool      // the draws have chosen best; the group's servers are tried before it
	affinityServers []*server // still to be tried
}

// reset starts a new round.
func (d *drawRound) reset() {
	d.draws = 0
	d.servers = d.servers[:0]
	d.best = nil
	d.tryingAffinity = false
	d.affinityServers = nil
}

// awaitsPlacement reports whether r waits for admission or for a probe's result.
func (r *request) awaitsPlacement() bool { return r.phase == queued || r.phase == drawing }

// keyWindowEndsAt is when servers stop dropping repeats of r; never if no repeats need to be dropped.
func (r *request) keyWindowEndsAt() time.Duration {
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotencyKeyed {
		return r.mayHaveRunAt + r.class.KeyWindow
	}
	return never
}

// decisionDeadline is the latest time for a decision about r.
func (r *request) decisionDeadline() time.Duration { return min(r.answerDeadline, r.keyWindowEndsAt()) }
