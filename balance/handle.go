package balance

// How events reach what decides, and in which order actions leave. Nothing is decided
// here: the files that decide are named under policy in deploy/balancer.toml, in the
// order of a request's life admission.go, draw.go, constraints.go, probe.go,
// slowstart.go, affinity.go, placement.go, rebalance.go, and endpoints.go for the servers themselves.

import (
	"math"
	"math/rand/v2"
	"time"
)

// house is the period of housekeeping, in which nothing grows with the fleet.
const maintenanceInterval = 250 * time.Millisecond

// New returns a Balancer for the given settings, which it checks.
func New(seed uint64, settings Settings) (*Balancer, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:                rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers:            map[string]*server{},
		groups:             map[string]*group{},
		requests:           map[string]*request{},
		requestsBySequence: map[uint64]*request{},
		window:             maxWindow,
	}
	b.applySettings(settings)
	return b, nil
}

// Handle takes one event and appends the actions that answer it.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	// A clock that steps back stands still here: what fades would grow beyond all
	// bounds, and never be a number again.
	b.now, b.actions = max(b.now, now), actions
	b.start()
	switch e := event.(type) {
	case ListUpdate:
		b.handleListUpdate(e)
	case Request:
		b.handleRequest(e)
	case OpenConnection:
		b.adoptConnection(e)
	case ConnectionEstablished:
		b.handleEstablished(e)
	case AttemptEnded:
		b.handleAttemptEnded(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			if r.phase == attempting {
				r.releasePlacedLoad(b.now)
			}
			b.forgetRequest(r)
		}
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
	answer := b.actions
	b.actions = nil
	return answer
}

// begin runs once, before the first event.
func (b *Balancer) start() {
	if b.started {
		return
	}
	b.started = true
	b.startedAt = b.now
	b.migrationBudget = math.Inf(1) // the first round may use the whole budget
	b.migrationRefilledAt, b.rate[0].updatedAt, b.rate[1].updatedAt = b.now, b.now, b.now
	b.startSubscription()
	b.emit(SetTimer{Delay: maintenanceInterval})
}

func (b *Balancer) handleTimer(token uint64) {
	if token == 0 {
		b.maintain()
		return
	}
	r := b.requestsBySequence[token]
	if r == nil || b.now < r.timerAt {
		return
	}
	switch r.phase {
	case drawing:
		if r.awaitedServer == nil {
			return
		}
		s := r.awaitedServer
		b.stopAwaitingProbe(r)
		switch {
		case b.now >= r.answerDeadline:
			b.finish(r)
		case r.tryingAffinity:
			b.decideAffinityServer(r, s, false)
		default:
			b.draw(r)
		}
	case queued: // its turn has not come in time
		b.finish(r)
	case established:
		b.migrate(r)
	}
}

// houseKeep does what comes again and again.
func (b *Balancer) maintain() {
	b.admitQueued()
	b.subscribeIfDue()
	if b.now < b.nextMaintenanceAt {
		return
	}
	b.nextMaintenanceAt = b.now + maintenanceInterval
	b.emit(SetTimer{Delay: maintenanceInterval})
	b.updateFewestFaults()
	b.probeServersInUse()
}
