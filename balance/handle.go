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
const house = 250 * time.Millisecond

// New returns a Balancer for the given settings, which it checks.
func New(seed uint64, set Settings) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		rng:      rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers:  map[string]*server{},
		groups:   map[string]*group{},
		requests: map[string]*request{},
		bySeq:    map[uint64]*request{},
		window:   widest,
	}
	b.tune(set)
	return b, nil
}

// Handle takes one event and appends the actions that answer it.
func (b *Balancer) Handle(now time.Duration, ev Event, actions []Action) []Action {
	// A clock that steps back stands still here: what fades would grow beyond all
	// bounds, and never be a number again.
	b.now, b.out = max(b.now, now), actions
	b.begin()
	switch e := ev.(type) {
	case ListUpdate:
		b.listUpdate(e)
	case Request:
		b.arrive(e)
	case OpenConnection:
		b.adopt(e)
	case ConnectionEstablished:
		b.stands(e)
	case AttemptEnded:
		b.ended(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			if r.phase == sent {
				r.takeBack(b.now)
			}
			b.forget(r)
		}
	case TimerFired:
		b.timer(e.Token)
	case ProbeResult:
		b.probed(e)
	case InheritedState:
		b.learn(e.LearnedState)
	case QuotaLease:
		b.granted(e)
	case SettingsChanged:
		b.tune(e.Settings)
		b.giveUpHopeless()
	}
	out := b.out
	b.out = nil
	return out
}

// begin runs once, before the first event.
func (b *Balancer) begin() {
	if b.started {
		return
	}
	b.started = true
	b.bornAt = b.now
	b.moves = math.Inf(1) // the first round may use the whole budget
	b.movesAt, b.rate[0].at, b.rate[1].at = b.now, b.now, b.now
	b.askFirst()
	b.do(SetTimer{Delay: house})
}

func (b *Balancer) timer(token uint64) {
	if token == 0 {
		b.houseKeep()
		return
	}
	r := b.bySeq[token]
	if r == nil || b.now < r.wake {
		return
	}
	switch r.phase {
	case drawing:
		if r.asked == nil {
			return
		}
		s := r.asked
		b.unask(r)
		switch {
		case b.now >= r.giveUp:
			b.finish(r)
		case r.homing:
			b.atHome(r, s, false)
		default:
			b.draw(r)
		}
	case queued: // its turn has not come in time
		b.finish(r)
	case opened:
		b.move(r)
	}
}

// houseKeep does what comes again and again.
func (b *Balancer) houseKeep() {
	b.pump()
	b.askList()
	if b.now < b.houseAt {
		return
	}
	b.houseAt = b.now + house
	b.do(SetTimer{Delay: house})
	b.fewest()
	b.look()
}
