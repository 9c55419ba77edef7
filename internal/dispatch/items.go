package dispatch

// How a front's items reach the module, and how they end.

import (
	"time"

	"coralrelay/balance"
)

// Request is what a front tells of an item when it brings it. Package handover sends it to
// another version of the process as JSON, so its keys must not change.
type Request struct {
	ID            string                  `json:"ID"`
	Class         string                  `json:"Class"`
	Key           string                  `json:"Key"`
	Group         string                  `json:"Group"`
	Tenant        string                  `json:"Tenant"` // whose client it is; empty where nobody says
	CurrentServer string                  `json:"At"`     // the next hop that already holds it; empty if none
	Hint          float64                 `json:"Hint"`
	Retry         bool                    `json:"Retry"`
	Returned      bool                    `json:"Returned"`
	Bound         *balance.ZoneConstraint `json:"Bound"`    // where it may be drawn; nil for anywhere
	Deadline      time.Time               `json:"Deadline"` // the final answer must be out by then
}

// Item is what is placed: a line transaction, a flow, a question of another proxy.
// It is compared by identity, so it has to be a pointer. Its methods return at once
// and may be called at any time; of Refuse, Fail and the front's own way to say that
// it is up, the first counts, and is the one final answer.
type Placement interface {
	PlacementRequest() *Request // does not change
	Reject(pause time.Duration) bool
	Fail() bool
	Migrate() // asks what stands to go elsewhere; before that it does nothing
}

// Branches makes the attempts of one front's items. Start returns at once; what
// becomes of the attempt is told to the Core by BranchUp or BranchEnded, once.
type AttemptStarter interface {
	StartAttempt(item Placement, attempt int, server string, deadline time.Time)
}

// Submit takes an item, which is then owed one final answer; its attempts are made
// by b.
func (c *EventLoop) Submit(item Placement, b AttemptStarter) {
	c.post(func() {
		r := item.PlacementRequest()
		if c.transactions[r.ID] != nil || !c.classes[r.Class] {
			// Ids are new for each connection: a second one would mix up two
			// transactions in the module. A class that the settings don't name
			// comes from nobody who may be served.
			c.bad.Warn("transaction rejected: id in use or class unknown", "id", r.ID, "class", r.Class)
			item.Fail()
			return
		}
		e := &entry{item: item, asked: r, branches: b, trace: traced()}
		c.transactions[r.ID] = e
		if r.CurrentServer != "" {
			// It runs at that next hop already: there is nothing to decide, and
			// the module hears of it when it is up.
			e.server, e.attempts = r.CurrentServer, 1
			e.trace.branch(r.CurrentServer)
			c.adopted(e)
			b.StartAttempt(item, 0, r.CurrentServer, r.Deadline)
			return
		}
		c.admit(e)
	})
}

func (c *EventLoop) request(e *entry) balance.Request {
	r, bound := e.asked, e.asked.Bound
	if e.bound != nil {
		bound = e.bound
	}
	return balance.Request{ID: r.ID, Class: r.Class, Group: r.Group, LoadHint: r.Hint,
		ClientRetry: r.Retry, Reconnecting: r.Returned, Deadline: c.clock.At(r.Deadline), Constraint: bound}
}

// CallerGone is told when a caller has left before its answer, or was turned away.
func (c *EventLoop) ClientGone(item Placement) {
	c.post(func() {
		if e := c.known(item); e != nil {
			c.drop(e.asked.ID, "its caller left")
			c.handle(balance.ClientGone{ID: e.asked.ID})
		}
	})
}

// Ended is told when what stood has ended: OK if it was served to its end, Reset if
// its next hop broke off or fell silent, else Cancelled.
func (c *EventLoop) PlacementEnded(item Placement, outcome balance.Outcome) {
	c.post(func() {
		e := c.known(item)
		if e == nil {
			return
		}
		end := func() {
			c.drop(e.asked.ID, outcomes[outcome])
			c.handle(balance.AttemptEnded{ID: e.asked.ID, Attempt: e.attempts - 1, Server: e.server,
				Outcome: outcome, Final: true, LoadReport: balance.EmptyLoadReport})
		}
		if !e.open {
			// A front may have what stands as soon as its next hop says so: it may
			// end before the branch has said that it stood.
			e.early = end
			return
		}
		end()
	})
}

// Adopt takes an item that stands at a server already, and tells whether it does: not
// if its id is in use here.
func (c *EventLoop) Adopt(item Placement, server string) bool {
	taken := make(chan bool, 1)
	c.post(func() {
		r := item.PlacementRequest()
		if c.transactions[r.ID] != nil {
			taken <- false
			return
		}
		e := &entry{item: item, asked: r, server: server, attempts: 1, open: true}
		c.transactions[r.ID] = e
		c.adopted(e)
		c.handle(balance.OpenConnection{Request: c.request(e), Server: server})
		taken <- true
	})
	select {
	case yes := <-taken:
		return yes
	case <-c.done:
		return false
	}
}
