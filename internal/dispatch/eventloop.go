// Package decide gives the decision module its place in the node: one goroutine
// owns the Balancer, takes events from a channel and carries the actions out.
// It never waits for a socket. Nothing is decided here.
package dispatch

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/logging"
	"coralrelay/internal/route"
)

// looks is how old the module's word on what it avoids may be.
const avoidedRefreshInterval = 200 * time.Millisecond

// Prober asks next hops for their load. Probe returns at once; the answer is told
// to the Core by Probed.
type Prober interface{ Probe(server string) }

// Roster is asked for the list of next hops. Subscribe returns at once.
type Discovery interface{ Subscribe() }

// Core owns the Balancer.
type EventLoop struct {
	Router Router // nil where there are no routes; set before Run

	clock          Clock
	balancer       *balance.Balancer
	prober         Prober
	discovery      Discovery
	inbox          chan func()
	done           chan struct{}
	rejectedLog    logging.Throttled
	avoidedServers atomic.Int64 // next hops that the module avoids, by its last word

	// What follows belongs to Run's goroutine.
	knownClasses    map[string]bool
	listedServers   map[string]bool // next hops that the roster names; nil until it has answered
	placements      map[string]*activePlacement
	timers          timerHeap
	actions         []balance.Action
	attemptObserver func(contract, server string, took time.Duration) // nil for none
}

// entry is what the Core keeps of a transaction.
type activePlacement struct {
	placement    Placement
	request      *Request
	starter      AttemptStarter // of the front that brought it
	server       string         // of its latest branch
	attemptCount int
	established  bool
	pendingEnd   func()                  // its end, told before its start
	route        *route.Route            // that it counts on; nil for none
	constraint   *balance.ZoneConstraint // and where it may be drawn by it
	trace        *trace                  // nil where nobody reads it
}

// New returns a Core for settings; Run starts it.
func New(clock Clock, seed uint64, settings balance.Settings, prober Prober, discovery Discovery) (*EventLoop, error) {
	balancer, err := balance.New(seed, settings)
	if err != nil {
		return nil, err
	}
	return &EventLoop{clock: clock, balancer: balancer, prober: prober, discovery: discovery,
		inbox: make(chan func(), 1024), done: make(chan struct{}),
		knownClasses: classNames(settings.Classes), placements: map[string]*activePlacement{}}, nil
}

func classNames(classes []balance.Class) map[string]bool {
	known := map[string]bool{}
	for _, class := range classes {
		known[class.Name] = true
	}
	return known
}

// Run handles events until ctx ends.
func (l *EventLoop) Run(ctx context.Context) {
	defer close(l.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	refresh := time.NewTicker(avoidedRefreshInterval)
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-l.inbox:
			f()
		case <-wake.C:
		case <-refresh.C:
			l.avoidedServers.Store(int64(l.balancer.AvoidedServers()))
		}
		for now := time.Now(); ; {
			run, due := l.timers.popDue(now)
			if !due {
				break
			}
			run()
		}
		if len(l.timers) > 0 {
			wake.Reset(time.Until(l.timers[0].dueAt))
		}
	}
}

// post hands f to Run's goroutine.
func (l *EventLoop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.done:
	}
}

// handle tells the module an event and does what it answers.
func (l *EventLoop) handle(event balance.Event) {
	now := time.Now()
	l.actions = l.balancer.Handle(l.clock.At(now), event, l.actions[:0])
	for _, action := range l.actions {
		l.execute(now, action)
	}
}

func (l *EventLoop) execute(now time.Time, action balance.Action) {
	switch a := action.(type) {
	case balance.Attempt:
		if active := l.placements[a.ID]; active != nil {
			deadline := active.request.Deadline
			if a.Timeout > 0 && now.Add(a.Timeout).Before(deadline) {
				deadline = now.Add(a.Timeout)
			}
			active.server = a.Server
			if active.route != nil && active.attemptCount > 0 {
				l.Router.AddUsage(active.route, 1, 0)
			}
			active.trace.attemptStarted(a.Server)
			active.starter.StartAttempt(active.placement, active.attemptCount, a.Server, deadline)
			active.attemptCount++
		}
	case balance.Reject:
		if active := l.remove(a.ID, "refused"); active != nil {
			active.placement.Reject(a.RetryAfter)
		}
	case balance.Fail:
		if active := l.remove(a.ID, "failed"); active != nil {
			active.placement.Fail()
		}
	case balance.Migrate:
		if active := l.placements[a.ID]; active != nil {
			active.trace.attemptStatus("moved")
			active.placement.Migrate()
		}
	case balance.Probe:
		l.prober.Probe(a.Server)
	case balance.SetTimer:
		l.timers.schedule(now.Add(a.Delay), func() { l.handle(balance.TimerFired{Token: a.Token}) })
	case balance.Subscribe:
		l.discovery.Subscribe()
	case balance.Log:
		slog.Info("module", "says", a.Text)
	}
}

// drop forgets a transaction that is over, for good; how is for the log.
func (l *EventLoop) remove(id, ending string) *activePlacement {
	active := l.placements[id]
	if active == nil {
		return nil
	}
	if active.route != nil {
		l.Router.Release(active.route)
	}
	active.trace.log(active.request, ending)
	delete(l.placements, id)
	return active
}

// known returns the entry of an item, or nil if it is over or another took its id.
func (l *EventLoop) lookup(placement Placement) *activePlacement {
	if active := l.placements[placement.PlacementRequest().ID]; active != nil && active.placement == placement {
		return active
	}
	return nil
}
