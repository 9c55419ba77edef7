// Package decide gives the decision module its place in the node: one goroutine
// owns the Balancer, takes events from a channel and carries the actions out.
// It never waits for a socket. Nothing is decided here.
package decide

import (
	"context"
	"log/slog"
	"time"

	"coralrelay/balance"
	"coralrelay/internal/exchange"
	"coralrelay/internal/tally"
)

// homeAgain is the pause before a next hop is offered once more what it held.
const homeAgain = 100 * time.Millisecond

// Branches makes attempts and probes. Its methods return at once; what becomes
// of them is told to the Core.
type Branches interface {
	Start(t *exchange.Transaction, attempt int, server string, deadline time.Time)
	Probe(server string)
}

// Roster is asked for the list of next hops. Subscribe returns at once.
type Roster interface{ Subscribe() }

// Core owns the Balancer.
type Core struct {
	clock    Clock
	balancer *balance.Balancer
	branches Branches
	roster   Roster
	inbox    chan func()
	done     chan struct{}
	bad      tally.Tally

	// What follows belongs to Run's goroutine.
	classes      map[string]bool
	transactions map[string]*entry
	timers       timers
	delays       delays
	actions      []balance.Action
}

// entry is what the Core keeps of a transaction.
type entry struct {
	t        *exchange.Transaction
	server   string // of its latest branch
	attempts int
	open     bool
	early    func() // its end, told before its start
}

// New returns a Core for settings; Run starts it.
func New(clock Clock, seed uint64, set balance.Settings, b Branches, r Roster) (*Core, error) {
	balancer, err := balance.New(seed, set)
	if err != nil {
		return nil, err
	}
	classes := map[string]bool{}
	for _, class := range set.Classes {
		classes[class.Name] = true
	}
	return &Core{clock: clock, balancer: balancer, branches: b, roster: r,
		inbox: make(chan func(), 1024), done: make(chan struct{}),
		classes: classes, transactions: map[string]*entry{}, delays: newDelays(set.Classes)}, nil
}

// Run handles events until ctx ends.
func (c *Core) Run(ctx context.Context) {
	defer close(c.done)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.inbox:
			f()
		case <-wake.C:
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
func (c *Core) post(f func()) {
	select {
	case c.inbox <- f:
	case <-c.done:
	}
}

// handle tells the module an event and does what it answers.
func (c *Core) handle(ev balance.Event) {
	now := time.Now()
	c.actions = c.balancer.Handle(c.clock.At(now), ev, c.actions[:0])
	for _, a := range c.actions {
		c.do(now, a)
	}
}

func (c *Core) do(now time.Time, action balance.Action) {
	switch a := action.(type) {
	case balance.Attempt:
		if e := c.transactions[a.ID]; e != nil {
			deadline := e.t.Deadline
			if a.Timeout > 0 && now.Add(a.Timeout).Before(deadline) {
				deadline = now.Add(a.Timeout)
			}
			e.server = a.Server
			c.branches.Start(e.t, e.attempts, a.Server, deadline)
			e.attempts++
		}
	case balance.Refuse:
		if e := c.drop(a.ID); e != nil {
			e.t.Refuse(a.Pause)
		}
	case balance.Fail:
		if e := c.drop(a.ID); e != nil {
			e.t.Fail()
		}
	case balance.Move:
		if e := c.transactions[a.ID]; e != nil {
			e.t.Move()
		}
	case balance.Probe:
		c.branches.Probe(a.Server)
	case balance.SetTimer:
		c.timers.set(now.Add(a.Delay), func() { c.handle(balance.TimerFired{Token: a.Token}) })
	case balance.Subscribe:
		c.roster.Subscribe()
	case balance.Log:
		slog.Info("module", "says", a.Text)
	}
}

// drop forgets a transaction that is answered for good.
func (c *Core) drop(id string) *entry {
	e := c.transactions[id]
	delete(c.transactions, id)
	return e
}

// known returns the entry of t, or nil if t is over or another took its id.
func (c *Core) known(t *exchange.Transaction) *entry {
	if e := c.transactions[t.ID]; e != nil && e.t == t {
		return e
	}
	return nil
}

// ---- the caller's side ----

// Submit takes a transaction, which is then owed one final answer.
func (c *Core) Submit(t *exchange.Transaction) {
	c.post(func() {
		if c.transactions[t.ID] != nil || !c.classes[t.Class] {
			// Ids are new for each connection: a second one would mix up two
			// transactions in the module. A class that the settings don't name
			// comes from nobody who may be served.
			c.bad.Warn("transaction rejected: id in use or class unknown", "id", t.ID, "class", t.Class)
			t.Fail()
			return
		}
		e := &entry{t: t}
		c.transactions[t.ID] = e
		if t.At != "" {
			// It runs at that next hop already: there is nothing to decide, and
			// the module hears of it when it is up.
			e.server, e.attempts = t.At, 1
			c.branches.Start(t, 0, t.At, t.Deadline)
			return
		}
		c.handle(c.request(t))
	})
}

func (c *Core) request(t *exchange.Transaction) balance.Request {
	return balance.Request{ID: t.ID, Class: t.Class, Key: t.Key, Group: t.Group, Hint: t.Hint,
		Retry: t.Retry, Returned: t.Returned, Deadline: c.clock.At(t.Deadline)}
}

// CallerGone is told when a caller has left before its answer, or was turned away.
func (c *Core) CallerGone(t *exchange.Transaction) {
	c.post(func() {
		if c.known(t) != nil {
			c.drop(t.ID)
			c.handle(balance.ClientGone{ID: t.ID})
		}
	})
}

// Ended is told when a connection that stood has ended.
func (c *Core) Ended(t *exchange.Transaction, how exchange.End) {
	outcome := balance.Cancelled
	switch how {
	case exchange.Served:
		outcome = balance.OK
	case exchange.Broken, exchange.Silent:
		outcome = balance.Reset
	}
	c.post(func() {
		e := c.known(t)
		if e == nil {
			return
		}
		end := func() {
			c.drop(t.ID)
			c.handle(balance.AttemptEnded{ID: t.ID, Attempt: e.attempts - 1, Server: e.server,
				Outcome: outcome, Final: true, Load: balance.NoLoad})
		}
		if !e.open {
			// The relay runs as soon as the exchange has the leg: a connection
			// may end before the branch has said that it stood.
			e.early = end
			return
		}
		end()
	})
}

// Delayed is told how long a next hop took to answer a caller's line.
func (c *Core) Delayed(t *exchange.Transaction, delay time.Duration) {
	c.post(func() {
		if e := c.known(t); e != nil && c.delays.worthTelling(e.server, delay, time.Now()) {
			c.handle(balance.DelayNote{ID: t.ID, Server: e.server, Delay: delay})
		}
	})
}

// Loaded is told a connection's load when its next hop reports it, in
// microseconds of work a second.
func (c *Core) Loaded(t *exchange.Transaction, load float64) {
	c.post(func() {
		if e := c.known(t); e != nil {
			c.handle(balance.LoadNote{ID: t.ID, Server: e.server, Load: load / 1e6})
		}
	})
}

// ---- the next hop's side ----

// BranchUp is told when a branch is up and its leg is the exchange's.
func (c *Core) BranchUp(t *exchange.Transaction, attempt int, server string, latency time.Duration) {
	c.post(func() {
		e := c.known(t)
		if e == nil {
			return
		}
		e.open = true
		if t.At != "" {
			c.handle(balance.OpenConn{Request: c.request(t), Server: server})
		} else {
			c.handle(balance.Started{ID: t.ID, Attempt: attempt, Server: server, Latency: latency})
		}
		if e.early != nil {
			e.early()
		}
	})
}

// BranchEnded is told when a branch has ended without coming up. Its socket is
// closed by then.
func (c *Core) BranchEnded(t *exchange.Transaction, attempt int, server string, outcome balance.Outcome,
	latency time.Duration, load balance.Load) {
	c.post(func() {
		if c.known(t) == nil {
			return
		}
		if t.At != "" {
			c.backHome(t, server, outcome)
			return
		}
		c.handle(balance.AttemptEnded{ID: t.ID, Attempt: attempt, Server: server, Outcome: outcome,
			Latency: latency, Load: load})
	})
}

// backHome goes on with a transaction whose next hop holds it already and did
// not take it back. There is nothing to decide, and the module never heard of
// it: it is offered again while that is harmless and there is time, as the node
// may know its next hop only a moment later, or too many came home at once.
func (c *Core) backHome(t *exchange.Transaction, server string, outcome balance.Outcome) {
	next := time.Now().Add(homeAgain)
	if outcome != balance.ConnectFailed && outcome != balance.Full || !next.Before(t.Deadline) {
		c.drop(t.ID)
		t.Fail()
		return
	}
	c.timers.set(next, func() {
		if c.known(t) != nil {
			c.branches.Start(t, 0, server, t.Deadline)
		}
	})
}

// Probed is told a probe's result.
func (c *Core) Probed(server string, outcome balance.Outcome, latency time.Duration, load balance.Load) {
	c.post(func() {
		c.handle(balance.ProbeAnswer{Server: server, Outcome: outcome, Latency: latency, Load: load})
	})
}

// ---- the roster ----

// Listed is told what the roster says.
func (c *Core) Listed(u balance.ListUpdate) { c.post(func() { c.handle(u) }) }
