package balance

// What an instance remembers. Nothing is decided here.

import (
	"math/rand/v2"
	"time"
)

// Balancer decides for one instance. It is not safe for concurrent use.
type Balancer struct {
	set Settings
	rng *rand.Rand
	now time.Duration
	out []Action

	classes  map[string]*Class
	servers  map[string]*server
	ready    []*server // draws are uniform over these
	ring     []*server // the ready servers by hash
	groups   map[string]*group
	requests map[string]*request
	bySeq    map[uint64]*request // timers name requests by number
	seq      uint64
	open     int // connections that stand
	houseAt  time.Duration

	queue    []*request // wait for a turn to draw
	busy     int        // draw or are being set up
	window   float64    // as many may at once
	failing  float64    // share of attempts that fail of late
	pause    time.Duration
	pausedTo time.Duration

	slow    time.Duration // the shortest message aim: a service time beyond it helps nobody
	usual   float64       // mean load seen of late
	answers float64       // how many answers it is taken from
	rtt     float64       // usual time of a probe, seconds
	rttDev  float64       // and its mean deviation
	faults  float64       // of the ready server that had the fewest of late
	rate    [2]fading     // placements a second: of late, and usual
	hint    float64       // mean hint of connections
	hints   float64       // how many it is taken from
	moves   float64       // moves that may be made now
	movesAt time.Duration

	sharedTo time.Duration // the fleet's budgets bind until then
	tokensTo time.Duration // its tokens are good until then
	half     int64         // what they are for
	retries  float64       // that the fleet has granted
	over     float64       // share of first arrivals that it can't carry
	zoned    bool          // it bounds zones
	zones    map[string]*zone
	again    fading // retries of late

	started    bool
	notedAt    time.Duration // no log line before
	bornAt     time.Duration
	listed     bool // a list has come
	subscribed bool
	failures   int
	askAt      time.Duration
}

// server is what this instance knows of a server.
type server struct {
	ServerEntry
	hash       uint64 // its place on the ring
	slot       int    // place in ready, or -1
	probing    bool   // a probe is out
	probedAt   time.Duration
	waiting    []*request // held for the probe's answer
	load       float64    // last reported, or -1
	each       float64    // load of one connection by that report, or 0
	placed     fading     // load placed here that reports may not show yet
	faults     fading     // errors and failed connections of late
	sent       fading     // attempts of late
	asked      fading     // attempts and failed probes of late: a probe that is answered says little
	failed     fading     // of them, those that failed, as seen here: what others say is in faults
	tokens     int        // that the fleet has granted while s is cold
	used       int        // and sent since
	conns      []*request
	relievedAt time.Duration // no moves before
	lookAt     time.Duration // to be probed by then if it holds connections
}

// zone is what the fleet lets this instance do in a zone in this half.
type zone struct {
	share  float64 // of its draws
	tokens int     // negative for no bound
	used   int     // attempts
}

// group is what this instance holds of a group of connections.
type group struct {
	home *server // where the last of them was placed
	size int
}

// phase is where a request stands.
type phase int

const (
	queued  phase = iota // waits for its turn to draw
	drawing              // waits for a probe's answer
	sent                 // an attempt is out
	opened               // its connection stands
	ended
)

// request is a request or the connection it became.
type request struct {
	Request
	seq      uint64
	class    *Class
	phase    phase
	giveUp   time.Duration // refused if not placed by then
	wake     time.Duration
	draws    int
	asked    *server   // whose probe it waits for
	drawn    []*server // draws of this round, each once
	best     *server
	bestLoad float64
	homing   bool      // asks its group's homes
	homes    []*server // still to be asked
	skip     []*server
	attempts int
	at       *server // where its attempt or connection is
	place    int     // index in at.conns while opened
	heft     float64 // its hint over the mean of hints, or 1
	weight   float64 // what it counted as placed when it was last sent
	ran      *server // where an attempt may have run
	ranAt    time.Duration
	moving   bool
	since    time.Duration // when it was last sent; when its connection stood
}

// until is when there is something to decide about r at the latest.
func (r *request) until() time.Duration {
	if r.ran != nil && r.class.Idempotency == IdempotencyKeyed {
		return min(r.giveUp, r.ranAt+r.class.KeyWindow)
	}
	return r.giveUp
}
