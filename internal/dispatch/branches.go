package dispatch

// What becomes of the branches that the module has asked for.

import (
	"time"

	"coralrelay/balance"
)

// homeAgain is the pause before a next hop is offered once more what it held.
const homeAgain = 100 * time.Millisecond

// BranchUp is told when a branch is up, and what it carries is the front's.
func (c *EventLoop) AttemptEstablished(item Placement, attempt int, server string, latency time.Duration) {
	c.post(func() {
		e := c.known(item)
		if e == nil {
			return
		}
		e.open = true
		e.trace.word("up")
		if e.asked.CurrentServer != "" {
			c.handle(balance.OpenConnection{Request: c.request(e), Server: server})
		} else {
			c.timed(e, server, balance.OK, latency)
			c.handle(balance.ConnectionEstablished{ID: e.asked.ID, Attempt: attempt, Server: server, Latency: latency})
		}
		if e.early != nil {
			e.early()
		}
	})
}

// BranchEnded is told when a branch has ended without coming up. Its socket is
// closed by then.
func (c *EventLoop) AttemptEnded(item Placement, attempt int, server string, outcome balance.Outcome,
	latency time.Duration, load balance.LoadReport) {
	c.post(func() {
		e := c.known(item)
		if e != nil {
			e.trace.word(outcomes[outcome])
		}
		switch {
		case e == nil:
		case e.asked.CurrentServer != "":
			c.backHome(e, server, outcome)
		default:
			c.timed(e, server, outcome, latency)
			c.handle(balance.AttemptEnded{ID: e.asked.ID, Attempt: attempt, Server: server, Outcome: outcome,
				Latency: latency, LoadReport: load})
		}
	})
}

// backHome goes on with a transaction whose next hop holds it already and did
// not take it back. There is nothing to decide, and the module never heard of
// it: it is offered again while that is harmless and there is time, as the node
// may know its next hop only a moment later, or too many came home at once. Once the
// roster has answered and doesn't name it, nobody can take it back.
func (c *EventLoop) backHome(e *entry, server string, outcome balance.Outcome) {
	next := time.Now().Add(homeAgain)
	gone := c.listed != nil && !c.listed[server]
	if gone || outcome != balance.ConnectFailed && outcome != balance.AtCapacity || !next.Before(e.asked.Deadline) {
		c.drop(e.asked.ID, "failed")
		e.item.Fail()
		return
	}
	c.timers.set(next, func() {
		if c.known(e.item) == e {
			e.branches.StartAttempt(e.item, 0, server, e.asked.Deadline)
		}
	})
}

// Probed is told a probe's result.
func (c *EventLoop) ProbeEnded(server string, outcome balance.Outcome, latency time.Duration, load balance.LoadReport) {
	c.post(func() {
		c.handle(balance.ProbeResult{Server: server, Outcome: outcome, Latency: latency, LoadReport: load})
	})
}
