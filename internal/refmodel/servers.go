package refmodel

// When a change of a server counts as notified, and what a cold server may be sent: rules 3
// and 4.

import (
	"math"
	"time"
)

type server struct {
	isKnown       bool // the node was notified of it
	state         ServerState
	changes       []change       // as discovery had them, in order
	notifications []notification // in order
	startedAt     time.Duration  // its process, as notified or as it counts as notified
	sentAt        []time.Duration
}

// change is a change of a server as discovery has it.
type change struct {
	at        time.Duration
	state     ServerState
	startedAt time.Duration
}

// notification is a state that the node was notified of.
type notification struct {
	at      time.Duration
	state   ServerState
	changes int // how many changes it has taken in; 0 for one that is older than the last change
}

func (c *Checker) server(id string) *server {
	s := c.servers[id]
	if s == nil {
		s = &server{}
		c.servers[id] = s
	}
	return s
}

// ServerChanged records that discovery has a change of a server and would answer a poll with it
// from now on: the notification may come later, or never. Where lists are pushed it is the agent
// that has the change. For startedAt see NodeNotified.
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
	told := notification{at: now, state: state}
	if last := len(s.changes) - 1; last >= 0 && s.changes[last].state == state {
		told.changes = len(s.changes)
	}
	s.notifications = append(s.notifications, told)
	s.applyRestart(startedAt)
	s.state, s.isKnown, c.hasEndpoints = state, true, true
	c.updateUnservable()
}

// applyRestart records that the server's process started at a time, unless a later process is
// known. A new process has a budget of its own.
func (s *server) applyRestart(startedAt time.Duration) {
	if startedAt > s.startedAt {
		s.startedAt, s.sentAt = startedAt, nil
	}
}

// applyDueRestarts applies the restarts that count as notified by now, though no notification
// has come.
func (c *Checker) applyDueRestarts() {
	for _, s := range c.servers {
		for _, change := range s.changes {
			if dueAt := c.dueAt(change.at); dueAt >= 0 && c.now >= dueAt {
				s.applyRestart(change.startedAt)
			}
		}
	}
}

// checkColdBudget checks the window that ends now against a cold server's budget. It is called
// at each send, so that every window that could break the rule is checked.
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
	warmth := r.SlowStartShare + (1-r.SlowStartShare)*age.Seconds()/r.SlowStartDuration.Seconds()
	budget := r.OverloadMultiple * warmth * r.ServerRate * r.OverloadWindow.Seconds()
	if chance := r.chanceBeyond(budget); float64(sent) > budget+chance {
		c.addViolation(4, "%s, %v old, sent %d within %v; its budget is %.1f, and %.1f by chance",
			id, age, sent, r.OverloadWindow, budget, chance)
	}
}

// chanceBeyond is how many requests beyond a budget independent processes may send by chance:
// two standard deviations of a Poisson count, and two for small budgets.
func (r Rules) chanceBeyond(budget float64) float64 {
	chance := 2*math.Sqrt(budget) + 2
	if r.ChanceAllowance > 0 {
		chance = min(chance, r.ChanceAllowance)
	}
	return chance
}
