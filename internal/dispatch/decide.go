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
const looks = 200 * time.Millisecond

// Prober asks next hops for their load. Probe returns at once; the answer is told
// to the Core by Probed.
type Prober interface{ Probe(server string) }

// Roster is asked for the list of next hops. Subscribe returns at once.
type Discovery interface{ Subscribe() }

// Core owns the Balancer.
type EventLoop struct {
	Router Router // nil where there are no routes; set before Run

	clock    Clock
	balancer *balance.Balancer
	prober   Prober
	roster   Discovery
	inbox    chan func()
	done     chan struct{}
	bad      logging.Throttled
	avoided  atomic.Int64 // next hops that the module avoids, by its last word

	// What follows belongs to Run's goroutine.
	classes      map[string]bool
	listed       map[string]bool // next hops that the roster names; nil until it has answered
	transactions map[string]*entry
	timers       timers
	actions      []balance.Action
	timer        func(contract, server string, took time.Duration) // nil for none
}

// entry is what the Core keeps of a transaction.
type entry struct {
	item     Placement
	asked    *Request
	branches AttemptStarter // of the front that brought it
	server   string         // of its latest branch
	attempts int
	open     bool
	early    func()                  // its end, told before its start
	route    *route.Route            // that it counts on; nil for none
	bound    *balance.ZoneConstraint // and where it may be drawn by it
	trace    *trace                  // nil where nobody reads it
}

// New returns a Core for settings; Run starts it.
func New(clock Clock, seed uint64, set balance.Settings, p Prober, r Discovery) (*EventLoop, error) {
	balancer, err := balance.New(seed, set)
	if err != nil {
		return nil, err
	}
	return &EventLoop{clock: clock, balancer: balancer, prober: p, roster: r,
		inbox: make(chan func(), 1024), done: make(chan struct{}),
		classes: names(set.Classes), transactions: map[string]*entry{}}, nil
}

func names(classes []balance.Class) map[string]bool {
	n := map[string]bool{}
	for _, class := range classes {
		n[class.Name] = true
	}
	return n
}

// Run handles events until ctx ends.
func (c *EventLoop) Run(ctx context.Context) {
	defer close(c.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	look := time.NewTicker(looks)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			f()
		case <-wake.C:
		case <-look.C:
			c.avoided.Store(int64(c.balancer.AvoidedServers()))
		}
		for now := time.Now(); ; {
			do, due := c.timers.due(now)
			if !due {
				break
			}
			do()
		}
		if len(c.timers) > 0 {
			wake.Reset(time.Until(c.timers[0].at))
		}
	}
}

// post hands f to Run's goroutine.
func (c *EventLoop) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// handle tells the module an event and does what it answers.
func (c *EventLoop) handle(ev balance.Event) {
	now := time.Now()
	c.actions = c.balancer.Handle(c.clock.At(now), ev, c.actions[:0])
	for _, a := range c.actions {
		c.do(now, a)
	}
}

func (c *EventLoop) do(now time.Time, action balance.Action) {
	switch a := action.(type) {
	case balance.Attempt:
		if e := c.transactions[a.ID]; e != nil {
			deadline := e.asked.Deadline
			if a.Timeout > 0 && now.Add(a.Timeout).Before(deadline) {
				deadline = now.Add(a.Timeout)
			}
			e.server = a.Server
			if e.route != nil && e.attempts > 0 {
				c.Router.AddUsage(e.route, 1, 0)
			}
			e.trace.branch(a.Server)
			e.branches.StartAttempt(e.item, e.attempts, a.Server, deadline)
			e.attempts++
		}
	case balance.Reject:
		if e := c.drop(a.ID, "refused"); e != nil {
			e.item.Reject(a.RetryAfter)
		}
	case balance.Fail:
		if e := c.drop(a.ID, "failed"); e != nil {
			e.item.Fail()
		}
	case balance.Migrate:
		if e := c.transactions[a.ID]; e != nil {
			e.trace.word("moved")
			e.item.Migrate()
		}
	case balance.Probe:
		c.prober.Probe(a.Server)
	case balance.SetTimer:
		c.timers.set(now.Add(a.Delay), func() { c.handle(balance.TimerFired{Token: a.Token}) })
	case balance.Subscribe:
		c.roster.Subscribe()
	case balance.Log:
		slog.Info("module", "says", a.Text)
	}
}

// drop forgets a transaction that is over, for good; how is for the log.
func (c *EventLoop) drop(id, how string) *entry {
	e := c.transactions[id]
	if e == nil {
		return nil
	}
	if e.route != nil {
		c.Router.Release(e.route)
	}
	e.trace.end(e.asked, how)
	delete(c.transactions, id)
	return e
}

// known returns the entry of an item, or nil if it is over or another took its id.
func (c *EventLoop) known(item Placement) *entry {
	if e := c.transactions[item.PlacementRequest().ID]; e != nil && e.item == item {
		return e
	}
	return nil
}
