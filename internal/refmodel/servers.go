package refmodel

// Rules 3 and 4: the changes and notifications of servers, and the budget of a cold server.

import (
	"math"
	"time"
)

type server struct {
	isKnown       bool // the node was notified of it
	state         ServerState
	changes       []change        // as discovery had them, in order of time
	notifications []notification  // in order of time
	startedAt     time.Duration   // start of its process, once that is or counts as notified
	sentAt        []time.Duration // the attempts sent to this process
}

// change is a change of a server in discovery.
type change struct {
	at        time.Duration
	state     ServerState
	startedAt time.Duration
}

// notification is a server state that the node was notified of.
type notification struct {
	at      time.Duration
	state   ServerState
	changes int // how many of the server's changes it includes; 0 if it is older than the last one
}

func (c *Checker) server(id string) *server {
	s := c.servers[id]
	if s == nil {
		s = &server{}
		c.servers[id] = s
	}
	return s
}

// ServerChanged records that discovery has a change of a server and would include it in its answer
// to a poll from now on. The notification of the node may come later or never. Where lists are
// pushed, the agent has the change instead of discovery. For startedAt see NodeNotified.
func (c *Checker) ServerChanged(now time.Duration, id string, state ServerState, startedAt time.Duration) {
	c.CheckDeadlines(now)
	s := c.server(id)
	s.changes = append(s.changes, change{now, state, startedAt})
	c.applyDueRestarts()
}

// NodeNotified records that the node was notified of a server's state. startedAt is when the
// server's process started; 0 means long ago.
func (c *Checker) NodeNotified(now time.Duration, id string, state ServerState, startedAt time.Duration) {
	c.CheckDeadlines(now)
	s := c.server(id)
	notified := notification{at: now, state: state}
	if last := len(s.changes) - 1; last >= 0 && s.changes[last].state == state {
		notified.changes = len(s.changes)
	}
	s.notifications = append(s.notifications, notified)
	s.applyRestart(startedAt)
	s.state, s.isKnown, c.hasEndpoints = state, true, true
	c.updateUnservable()
}

// applyRestart records when the server's process started, unless a later process is known. A new
// process has a budget of its own.
func (s *server) applyRestart(startedAt time.Duration) {
	if startedAt > s.startedAt {
		s.startedAt, s.sentAt = startedAt, nil
	}
}

// applyDueRestarts applies the restarts that count as notified by now, whether or not a notification
// has arrived.
func (c *Checker) applyDueRestarts() {
	for _, s := range c.servers {
		for _, change := range s.changes {
			if dueAt := c.dueAt(change.at); dueAt >= 0 && c.now >= dueAt {
				s.applyRestart(change.startedAt)
			}
		}
	}
}

// checkColdBudget checks the window that ends now against a cold server's budget. It is called at
// each send, so that every window that could break rule 4 is checked.
func (c *Checker) checkColdBudget(id string, s *server) {
	r := c.rules
	age := c.now - s.startedAt
	if r.ServerRate == 0 || s.startedAt <= 0 || age >= r.SlowStartDuration {
		return
	}
	sent := 0
	for _, at := range s.sentAt {
		if at > c.now-r.OverloadWindow {
			sent++
		}
	}
	capacityShare := r.SlowStartShare + (1-r.SlowStartShare)*age.Seconds()/r.SlowStartDuration.Seconds()
	budget := r.OverloadMultiple * capacityShare * r.ServerRate * r.OverloadWindow.Seconds()
	if excess := r.chanceExcess(budget); float64(sent) > budget+excess {
		c.addViolation(4, "%s, started %v ago, was sent %d requests in %v; the budget is %.1f, plus %.1f by chance",
			id, age, sent, r.OverloadWindow, budget, excess)
	}
}

// chanceExcess returns how many requests beyond a budget independent processes may send by chance:
// two standard deviations of a Poisson count, and two requests more for small budgets.
func (r Rules) chanceExcess(budget float64) float64 {
	excess := 2*math.Sqrt(budget) + 2
	if r.ChanceAllowance > 0 {
		excess = min(excess, r.ChanceAllowance)
	}
	return excess
}
