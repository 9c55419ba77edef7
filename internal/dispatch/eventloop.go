package dispatch

import (
	"context"
	"fmt"
	"log/slog"
	"sync/atomic"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/logging"
)

const (
	// avoidedRefreshInterval is the maximum age of the result of AvoidedCount.
	avoidedRefreshInterval = 200 * time.Millisecond
	// inboxCapacity is the number of closures that can wait for Run before post blocks.
	inboxCapacity = 1024
)

// Prober sends load probes to endpoints. Probe returns immediately; the result is reported to
// EventLoop.ProbeEnded.
type Prober interface{ Probe(server string) }

// Discovery requests the endpoint list. Subscribe returns immediately; the result is reported to
// EventLoop.UpdateEndpoints.
type Discovery interface{ Subscribe() }

// EventLoop owns the decision module and the placements in progress.
type EventLoop struct {
	Router Router // nil if there are no routes; must be set before Run

	clock          Clock
	balancer       *balance.Balancer
	prober         Prober
	discovery      Discovery
	inbox          chan func()
	listUpdate     chan struct{} // holds a value while an update of the list or its lease is queued
	done           chan struct{} // closed when Run ends
	rejectedLog    logging.Throttled
	avoidedServers atomic.Int64 // refreshed every avoidedRefreshInterval
	rejections     [balance.RejectReasonCount]atomic.Int64

	// The fields below are accessed by Run's goroutine only.
	knownClasses    map[string]bool
	listedServers   map[string]bool // servers in the endpoint list; nil until discovery has answered
	placements      map[string]*activePlacement
	timers          timerHeap
	actions         []balance.Action                                  // for the latest event; reused
	attemptObserver func(contract, server string, took time.Duration) // nil for none
}

// New returns an EventLoop for the settings; Run starts it. The seed initializes the module's random
// draws. New fails if the module does not accept the settings.
func New(clock Clock, seed uint64, settings balance.Settings, prober Prober, discovery Discovery) (*EventLoop, error) {
	balancer, err := balance.New(seed, settings)
	if err != nil {
		return nil, fmt.Errorf("create decision module: %w", err)
	}
	return &EventLoop{
		clock:        clock,
		balancer:     balancer,
		prober:       prober,
		discovery:    discovery,
		inbox:        make(chan func(), inboxCapacity),
		listUpdate:   make(chan struct{}, 1),
		done:         make(chan struct{}),
		knownClasses: classNames(settings.Classes),
		placements:   map[string]*activePlacement{},
	}, nil
}

func classNames(classes []balance.Class) map[string]bool {
	known := map[string]bool{}
	for _, class := range classes {
		known[class.Name] = true
	}
	return known
}

// Run handles events and timers until ctx is done.
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
		l.runDueTimers(time.Now())
		if len(l.timers) > 0 {
			wake.Reset(time.Until(l.timers[0].dueAt))
		}
	}
}

// runDueTimers runs all timers that are due at time now, including those set by the timers it runs.
func (l *EventLoop) runDueTimers(now time.Time) {
	for {
		run, due := l.timers.popDue(now)
		if !due {
			return
		}
		run()
	}
}

// post queues f for Run's goroutine. It blocks while the inbox is full, and drops f once Run has
// ended.
func (l *EventLoop) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.done:
	}
}

// handle passes an event to the module and executes the actions that the module returns.
func (l *EventLoop) handle(event balance.Event) {
	now := time.Now()
	l.actions = l.balancer.Handle(l.clock.At(now), event, l.actions[:0])
	for _, action := range l.actions {
		l.execute(now, action)
	}
}

// execute carries out one of the module's actions.
func (l *EventLoop) execute(now time.Time, action balance.Action) {
	switch a := action.(type) {
	case balance.Attempt:
		l.startAttempt(now, a)
	case balance.Reject:
		if active := l.giveUp(a.ID, "rejected", a.Reason); active != nil {
			active.placement.Reject(a.RetryAfter)
		}
	case balance.Fail:
		if active := l.giveUp(a.ID, "failed", a.Reason); active != nil {
			active.placement.Fail()
		}
	case balance.Migrate:
		if active := l.placements[a.ID]; active != nil {
			active.trace.attemptStatus("migrated")
			active.placement.Migrate()
		}
	case balance.Probe:
		l.prober.Probe(a.Server)
	case balance.SetTimer:
		l.timers.schedule(now.Add(a.Delay), func() { l.handle(balance.TimerFired{Token: a.Token}) })
	case balance.Subscribe:
		l.discovery.Subscribe()
	case balance.Log:
		logModule(a)
	}
}

// logModule logs a message of the decision module.
func logModule(line balance.Log) {
	attributes := []any{"component", "balance"}
	for _, attribute := range line.Attributes {
		attributes = append(attributes, attribute.Key, attribute.Value)
	}
	slog.Info(line.Message, attributes...)
}
