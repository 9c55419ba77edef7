package refmodel

// When a change of a server counts as notified: rule 3.

import (
	"cmp"
	"slices"
	"time"
)

// outage is a time in which the node could not reach discovery.
type outage struct {
	from, to time.Duration // to is never while it lasts
}

// DiscoveryReachabilityChanged records whether the node can reach discovery from now on. While it can't, no change counts as
// notified.
func (c *Checker) DiscoveryReachabilityChanged(now time.Duration, reachable bool) {
	c.CheckDeadlines(now)
	last := len(c.outages) - 1
	isOut := last >= 0 && c.outages[last].to == never
	switch {
	case reachable && isOut:
		c.outages[last].to = now
	case !reachable && !isOut:
		c.outages = append(c.outages, outage{now, never})
	}
}

// dueAt is when a change that discovery had at a time counts as notified: after NotifyDelay in which discovery could
// be reached. It is never while an outage lasts before that.
func (c *Checker) dueAt(at time.Duration) time.Duration {
	begin := at
	for _, o := range c.outages {
		if begin+c.rules.NotifyDelay <= o.from {
			break
		}
		if o.to == never {
			return never
		}
		begin = max(begin, o.to)
	}
	return begin + c.rules.NotifyDelay
}

// toldState is a state that the node counts as notified of since a time.
type toldState struct {
	at    time.Duration
	state ServerState
}

// told are the states that the node counts as notified of by now, in order: those that it was notified of, and
// those that discovery has had for long enough, unless the last notification before had taken them in.
func (c *Checker) told(s *server) (states []toldState) {
	for _, n := range s.notifications {
		states = append(states, toldState{n.at, n.state})
	}
	for i, change := range s.changes {
		dueAt := c.dueAt(change.at)
		if dueAt != never && dueAt <= c.now && s.changesTakenIn(dueAt) <= i {
			states = append(states, toldState{dueAt, change.state})
		}
	}
	slices.SortStableFunc(states, func(a, b toldState) int { return cmp.Compare(a.at, b.at) })
	return states
}

// changesTakenIn is how many of the server's changes the last notification by a time had taken in.
func (s *server) changesTakenIn(by time.Duration) (count int) {
	for _, n := range s.notifications {
		if n.at <= by {
			count = n.changes
		}
	}
	return count
}

// leavingSince reports whether the node counts as notified that a server is leaving, and since when. A server that
// is back counts as leaving until that counts as notified too.
func (c *Checker) leavingSince(s *server) (since time.Duration, yes bool) {
	for _, told := range c.told(s) {
		switch {
		case told.state == Ready:
			yes = false
		case !yes:
			since, yes = told.at, true
		}
	}
	return since, yes
}
