package balance

// What an instance remembers. Nothing is decided here.

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	classes            map[string]*Class
	servers            map[string]*server
	ready              []*server // draws are uniform over these
	ring               []*server // the ready servers by hash
	groups             map[string]*group
	requests           map[string]*request
	requestsBySequence map[uint64]*request // timers name requests by number
	lastSequence       uint64
	openConnections    int // connections that stand
	nextMaintenanceAt  time.Duration

	queue         []*request // wait for a turn to draw
	inSetup       int        // draw or are being set up
	window        float64    // as many may at once
	failureRate   float64    // share of attempts that fail of late
	backoff       time.Duration
	backoffEndsAt time.Duration

	serviceTimeLimit    time.Duration      // the shortest message aim: a service time beyond it helps nobody
	meanLoad            float64            // mean load seen of late
	loadSamples         float64            // how many answers it is taken from
	probeRTT            float64            // usual time of a probe, seconds
	probeRTTDeviation   float64            // and its mean deviation
	fewestFaults        float64            // of the ready server that had the fewest of late
	rate                [2]decayingCounter // placements a second: of late, and usual
	meanHint            float64            // mean hint of connections
	hintSamples         float64            // how many it is taken from
	migrationBudget     float64            // moves that may be made now
	migrationRefilledAt time.Duration

	leaseEndsAt    time.Duration // the fleet's budgets bind until then
	tokensExpireAt time.Duration // its tokens are good until then
	quotaPeriod    int64         // what they are for
	retryBudget    float64       // that the fleet has granted
	shedFraction   float64       // share of first arrivals that it can't carry
	limitsZones    bool          // it bounds zones
	zoneLimits     map[string]*zoneLimit
	recentRetries  decayingCounter // retries of late

	started           bool
	nextLogAt         time.Duration // no log line before
	startedAt         time.Duration
	listReceived      bool // a list has come
	subscribed        bool
	subscribeFailures int
	nextCallAt        time.Duration
}

// server is what this instance knows of a server.
type server struct {
	ServerEntry
	ringHash          uint64 // its place on the ring
	readyIndex        int    // place in ready, or -1
	probeInFlight     bool   // a probe is out
	probedAt          time.Duration
	waitingRequests   []*request      // held for the probe's answer
	reportedLoad      float64         // last reported, or -1
	loadPerConnection float64         // load of one connection by that report, or 0
	placedLoad        decayingCounter // load placed here that reports may not show yet
	recentFaults      decayingCounter // errors and failed connections of late
	recentAttempts    decayingCounter // attempts of late
	observedAttempts  decayingCounter // attempts and failed probes of late: a probe that is answered says little
	observedFailures  decayingCounter // of them, those that failed, as seen here: what others say is in faults
	tokens            int             // that the fleet has granted while s is cold
	tokensUsed        int             // and sent since
	connections       []*request
	nextRebalanceAt   time.Duration // no moves before
	probeDueAt        time.Duration // to be probed by then if it holds connections
}

// zone is what the fleet lets this instance do in a zone in this half.
type zoneLimit struct {
	share      float64 // of its draws
	tokens     int     // negative for no bound
	tokensUsed int     // attempts
}

// group is what this instance holds of a group of connections.
type group struct {
	lastServer *server // where the last of them was placed
	members    int
}

// phase is where a request stands.
type requestPhase int

const (
	queued      requestPhase = iota // waits for its turn to draw
	drawing                         // waits for a probe's answer
	attempting                      // an attempt is out
	established                     // its connection stands
	ended
)

// request is a request or the connection it became.
type request struct {
	Request
	sequence        uint64
	class           *Class
	phase           requestPhase
	answerDeadline  time.Duration // refused if not placed by then
	timerAt         time.Duration
	drawCount       int
	awaitedServer   *server   // whose probe it waits for
	drawnServers    []*server // draws of this round, each once
	bestServer      *server
	bestLoad        float64
	tryingAffinity  bool      // asks its group's homes
	affinityServers []*server // still to be asked
	excludedServers []*server
	attemptCount    int
	server          *server // where its attempt or connection is
	connectionIndex int     // index in at.conns while opened
	loadFactor      float64 // its hint over the mean of hints, or 1
	addedLoad       float64 // what it counted as placed when it was last sent
	mayHaveRunOn    *server // where an attempt may have run
	mayHaveRunAt    time.Duration
	migrating       bool
	startedAt       time.Duration // when it was last sent; when its connection stood
}

// until is when there is something to decide about r at the latest.
func (r *request) decisionDeadline() time.Duration {
	if r.mayHaveRunOn != nil && r.class.Idempotency == IdempotencyKeyed {
		return min(r.answerDeadline, r.mayHaveRunAt+r.class.KeyWindow)
	}
	return r.answerDeadline
}
