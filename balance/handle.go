package balance

// Dispatch of events to their handlers, and the order of the resulting actions. This file contains no
// decision logic.

import (
	"math"
	"math/rand/v2"
	"time"
)

// maintenanceInterval is the interval of periodic maintenance. The cost of maintenance does not grow with the
// number of connections.
const maintenanceInterval = 250 * time.Millisecond

// maintenanceToken is the timer token for maintenance. The tokens of requests start at 1.
const maintenanceToken = 0

// New returns a Balancer with the given settings, or a [*SettingsError]. All random decisions derive from the
// seed.
func New(seed uint64, settings Settings) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:     rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers: serverList{byID: map[string]*server{}},
		requests: requestTable{
			byID:       map[string]*request{},
			bySequence: map[uint64]*request{},
			groups:     map[string]*group{},
		},
		admission: admission{window: maxWindow},
	}
	b.applySettings(settings)
	return b, nil
}

// Handle processes one event and appends the resulting actions to actions.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	// Time stands still if the clock steps back: with a negative age, decaying counters would grow without
	// bound.
	b.now = max(b.now, now)
	b.actions = actions
	if !b.started {
		b.start()
	}
	switch e := event.(type) {
	case ListUpdate:
		b.handleListUpdate(e)
	case ListLease:
		b.handleListLease(e)
	case Request:
		b.handleRequest(e)
	case OpenConnection:
		b.adoptConnection(e)
	case ConnectionEstablished:
		b.handleEstablished(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case ClientGone:
		b.handleClientGone(e)
	case TimerFired:
		b.handleTimer(e.Token)
	case ProbeResult:
		b.handleProbeResult(e)
	case InheritedState:
		b.inheritState(e.LearnedState)
	case QuotaLease:
		b.applyQuotaLease(e)
	case SettingsChanged:
		b.applySettings(e.Settings)
		b.finishUnplaceable()
	}
	result := b.actions
	b.actions = nil
	return result
}

// start runs before the first event. It initializes the state that depends on the time of that event, starts
// the subscription and sets the first maintenance timer.
func (b *Balancer) start() {
	b.started = true
	b.startedAt = b.now
	b.migration.available = math.Inf(1) // the first round of migrations may use the whole budget
	b.migration.refilledAt = b.now
	b.fleet.recentPlacements.updatedAt = b.now
	b.fleet.baselinePlacements.updatedAt = b.now
	b.fleet.lastResetAt = -time.Hour
	b.startSubscription()
	b.emit(SetTimer{Delay: maintenanceInterval, Token: maintenanceToken})
}

// handleClientGone releases the state of a request whose client has disconnected.
func (b *Balancer) handleClientGone(e ClientGone) {
	r := b.requests.byID[e.ID]
	if r == nil {
		return
	}
	if r.phase == attempting {
		r.releasePlacedLoad(b.now)
	}
	b.removeRequest(r)
}

// handleTimer processes the expiry of a request's timer, or of the maintenance timer. Stale timers are
// ignored.
func (b *Balancer) handleTimer(token uint64) {
	if token == maintenanceToken {
		b.maintain()
		return
	}
	r := b.requests.bySequence[token]
	if r == nil || b.now < r.timerAt {
		return
	}
	switch r.phase {
	case drawing:
		if s := r.awaitedServer; s != nil {
			r.stopAwaitingProbe()
			b.resumeDrawing(r, s, false)
		}
	case queued: // not admitted in time
		b.finish(r, NotAdmitted)
	case established:
		b.migrate(r)
	}
}

// maintain handles a timer with the maintenanceToken. Admission, the list lease and the subscription set such
// timers too, so their work is done each time, and the remaining work once per maintenanceInterval.
func (b *Balancer) maintain() {
	b.handleListExpiry()
	b.admitQueued()
	b.subscribeIfDue()
	if b.now < b.nextMaintenanceAt {
		return
	}
	b.nextMaintenanceAt = b.now + maintenanceInterval
	b.emit(SetTimer{Delay: maintenanceInterval, Token: maintenanceToken})
	b.updateFewestFaults()
	b.probeServersInUse()
}
